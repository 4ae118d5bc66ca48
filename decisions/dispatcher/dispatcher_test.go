package dispatcher_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/decisions/router"
	"filbertstile.example/filbertstile/decisions/voucher"
	"filbertstile.example/filbertstile/rigs/bubbler"
)

func TestMain(m *testing.M) { os.Exit(bubbler.Main(m)) }

// tracked is a request as a test knows it.
type tracked struct {
	request dispatcher.Request
	hosts   []string
	lost    bool
	done    bool
}

// model drives an entry's core and checks each command against what it knows.
type model struct {
	t        *rapid.T
	core     *dispatcher.Core
	now      time.Time
	hosts    []filbertstile.Member
	out      bool
	requests map[string]*tracked
	order    []string
}

func newModel(t *rapid.T) *model {
	self := filbertstile.Member{Name: "e1", Role: filbertstile.RoleEntry, Domain: "d1", Region: "r1"}
	m := &model{t: t, core: dispatcher.New(dispatcher.DefaultConfig(self)), now: time.Unix(1e9, 0), requests: make(map[string]*tracked)}
	for i := range 4 {
		m.hosts = append(m.hosts, filbertstile.Member{Name: fmt.Sprint("h", i), Role: filbertstile.RoleHost, Service: "s", Domain: fmt.Sprint("d", i%2), Region: fmt.Sprint("r", i%2)})
	}
	m.view()
	for _, h := range m.hosts {
		m.tick(dispatcher.LoadSeen{Host: h.Name, Load: router.Load{Limit: 2, Serving: true}})
	}
	return m
}

func (m *model) view() {
	c := filbertstile.Config{
		Services: filbertstile.NewTable(filbertstile.Service{Name: "s", Kind: filbertstile.ServicePlain}),
		Tiers:    filbertstile.NewTable(filbertstile.Tier{Name: "low", Rank: 1, Weight: 1}, filbertstile.Tier{Name: "top", Rank: 2, Weight: 4}),
		Accounts: filbertstile.NewTable(
			filbertstile.Account{Name: "low", Tier: "low", RatePerSecond: 1e6, Burst: 1e6}, filbertstile.Account{Name: "top", Tier: "top", RatePerSecond: 1e6, Burst: 1e6}),
		Marks: filbertstile.NewTable(filbertstile.Mark{Kind: filbertstile.MarkDomain, Name: "d0", Out: m.out}),
	}
	v := viewer.View{Config: c, Members: filbertstile.NewTable(append(slices.Clone(m.hosts), filbertstile.Member{Name: "e1", Role: filbertstile.RoleEntry})...)}
	m.tick(dispatcher.ViewSeen{View: v, Trust: voucher.Current, Hosts: m.hosts})
}

func (m *model) tick(events ...dispatcher.Event) {
	m.now = m.now.Add(time.Millisecond)
	for _, cmd := range m.core.Tick(m.now, events) {
		switch cmd := cmd.(type) {
		case dispatcher.Send:
			m.sent(cmd)
		case dispatcher.Reject:
			m.rejected(cmd)
		}
	}
}

func (m *model) sent(cmd dispatcher.Send) {
	x := m.requests[cmd.ID]
	switch {
	case x.done || len(x.hosts) > 0:
		m.t.Fatalf("%s was sent although it is with %v, done %v", cmd.ID, x.hosts, x.done)
	case x.lost && x.request.Once:
		m.t.Fatalf("%s may have run, and was sent again", cmd.ID)
	case x.lost && !x.request.Idempotent:
		m.t.Fatalf("%s is not idempotent, and was sent again", cmd.ID)
	}
	for _, to := range cmd.Targets {
		if m.out && to.Host.Domain == "d0" {
			m.t.Fatalf("%s was sent into a domain that is out", cmd.ID)
		}
		x.hosts = append(x.hosts, to.Host.Name)
	}
}

func (m *model) rejected(cmd dispatcher.Reject) {
	x := m.requests[cmd.ID]
	if x.done || len(x.hosts) > 0 {
		m.t.Fatalf("%s was rejected although it is with %v, done %v", cmd.ID, x.hosts, x.done)
	}
	if x.lost && cmd.Err.Run == filbertstile.NotRun {
		m.t.Fatalf("%s may have run, and was told NotRun: %v", cmd.ID, cmd.Err)
	}
	x.done = true
}

// pick returns a request that is with a host.
func (m *model) pick() (string, *tracked, bool) {
	var with []string
	for _, id := range m.order {
		if len(m.requests[id].hosts) > 0 {
			with = append(with, id)
		}
	}
	if len(with) == 0 {
		return "", nil, false
	}
	id := rapid.SampledFrom(with).Draw(m.t, "request")
	return id, m.requests[id], true
}

// TestEveryRequestHasOneEnd plays any order of events, and then lets time pass.
func TestEveryRequestHasOneEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				id := fmt.Sprint("q", len(m.order))
				once := rapid.Bool().Draw(t, "once")
				r := dispatcher.Request{
					ID: id, Account: rapid.SampledFrom([]string{"low", "top"}).Draw(t, "account"), Service: "s", Once: once, Idempotent: !once,
					Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond),
				}
				m.order = append(m.order, id)
				m.requests[id] = &tracked{request: r}
				m.tick(dispatcher.Arrived{Request: r})
			},
			"refuse": func(t *rapid.T) {
				id, x, ok := m.pick()
				if !ok {
					return
				}
				host := x.hosts[0]
				x.hosts = x.hosts[1:]
				m.tick(dispatcher.Refused{ID: id, Host: host, Code: "Busy", Reached: rapid.Bool().Draw(t, "reached"), RetryAfter: 10 * time.Millisecond})
			},
			"break": func(t *rapid.T) {
				id, x, ok := m.pick()
				if !ok {
					return
				}
				host := x.hosts[0]
				for _, other := range x.hosts[1:] {
					m.tick(dispatcher.Declined{ID: id, Host: other})
				}
				x.hosts = nil
				notRun := rapid.Bool().Draw(t, "not run")
				x.lost = x.lost || !notRun
				m.tick(dispatcher.Broke{ID: id, Host: host, NotRun: notRun})
			},
			"end": func(t *rapid.T) {
				id, x, ok := m.pick()
				if !ok {
					return
				}
				for _, other := range x.hosts[1:] {
					m.tick(dispatcher.Declined{ID: id, Host: other})
				}
				host := x.hosts[0]
				x.hosts, x.done = nil, true
				m.tick(dispatcher.Ended{ID: id, Host: host, OK: true})
			},
			"mark": func(t *rapid.T) {
				m.out = rapid.Bool().Draw(t, "out")
				m.view()
			},
			"load": func(t *rapid.T) {
				h := rapid.SampledFrom(m.hosts).Draw(t, "host").Name
				m.tick(dispatcher.LoadSeen{Host: h, Load: router.Load{Limit: 2, Running: rapid.IntRange(0, 3).Draw(t, "running"), Serving: rapid.Bool().Draw(t, "serving")}})
			},
			"lose": func(t *rapid.T) {
				m.tick(dispatcher.HostLost{Host: rapid.SampledFrom(m.hosts).Draw(t, "host").Name})
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
				m.tick()
			},
		})
		for range 100 {
			m.now = m.now.Add(100 * time.Millisecond)
			m.tick()
		}
		for _, id := range m.order {
			if x := m.requests[id]; !x.done && len(x.hosts) == 0 {
				t.Fatalf("%s has no end", id)
			}
		}
	})
}
