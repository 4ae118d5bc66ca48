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
	"filbertstile.example/filbertstile/decisions/evaluator"
	"filbertstile.example/filbertstile/decisions/router"
	"filbertstile.example/filbertstile/rigs/bubbler"
)

func TestMain(m *testing.M) { os.Exit(bubbler.Main(m)) }

// trackedRequest is a request with the state that the test expects it to have.
type trackedRequest struct {
	request dispatcher.Request
	// hosts lists the hosts that have the request.
	hosts []string
	// mayHaveRun is true once an attempt that may have run has failed.
	mayHaveRun bool
	done       bool
}

// model sends events to a core and checks each command against the state that it
// tracks itself.
type model struct {
	t     *rapid.T
	core  *dispatcher.Core
	now   time.Time
	hosts []filbertstile.Member
	// domainOut is true if the failure domain d0 is out of service.
	domainOut bool
	requests  map[string]*trackedRequest
	// ids lists the request IDs in order of arrival.
	ids []string
}

func newModel(t *rapid.T) *model {
	self := filbertstile.Member{Name: "e1", Role: filbertstile.RoleEntry, Domain: "d1", Region: "r1"}
	m := &model{t: t, core: dispatcher.New(dispatcher.DefaultConfig(self)), now: time.Unix(1e9, 0), requests: make(map[string]*trackedRequest)}
	for i := range 4 {
		m.hosts = append(m.hosts, filbertstile.Member{Name: fmt.Sprint("h", i), Role: filbertstile.RoleHost, Service: "s", Domain: fmt.Sprint("d", i%2), Region: fmt.Sprint("r", i%2)})
	}
	m.updateView()
	for _, h := range m.hosts {
		m.tick(dispatcher.LoadReported{Host: h.Name, Load: router.Load{Limit: 2, Serving: true}})
	}
	return m
}

func (m *model) updateView() {
	c := filbertstile.Config{
		Services: filbertstile.NewTable(filbertstile.Service{Name: "s", Kind: filbertstile.ServicePlain}),
		Tiers:    filbertstile.NewTable(filbertstile.Tier{Name: "low", Rank: 1, Weight: 1}, filbertstile.Tier{Name: "top", Rank: 2, Weight: 4}),
		Accounts: filbertstile.NewTable(
			filbertstile.Account{Name: "low", Tier: "low", RatePerSecond: 1e6, Burst: 1e6}, filbertstile.Account{Name: "top", Tier: "top", RatePerSecond: 1e6, Burst: 1e6}),
		Marks: filbertstile.NewTable(filbertstile.Mark{Kind: filbertstile.MarkDomain, Name: "d0", Out: m.domainOut}),
	}
	v := viewer.View{Config: c, Members: filbertstile.NewTable(append(slices.Clone(m.hosts), filbertstile.Member{Name: "e1", Role: filbertstile.RoleEntry})...)}
	m.tick(dispatcher.ViewUpdated{View: v, Trust: evaluator.Current, Hosts: m.hosts})
}

func (m *model) tick(events ...dispatcher.Event) {
	m.now = m.now.Add(time.Millisecond)
	for _, cmd := range m.core.Tick(m.now, events) {
		switch cmd := cmd.(type) {
		case dispatcher.Send:
			m.checkSend(cmd)
		case dispatcher.Reject:
			m.checkReject(cmd)
		}
	}
}

func (m *model) checkSend(cmd dispatcher.Send) {
	req := m.requests[cmd.ID]
	switch {
	case req.done || len(req.hosts) > 0:
		m.t.Fatalf("%s was sent while at hosts %v, done %v", cmd.ID, req.hosts, req.done)
	case req.mayHaveRun && req.request.Once:
		m.t.Fatalf("%s may run at most once and may have run, but was sent again", cmd.ID)
	case req.mayHaveRun && !req.request.Idempotent:
		m.t.Fatalf("%s is not idempotent and may have run, but was sent again", cmd.ID)
	}
	for _, to := range cmd.Targets {
		if m.domainOut && to.Host.Domain == "d0" {
			m.t.Fatalf("%s was sent to a failure domain that is out of service", cmd.ID)
		}
		req.hosts = append(req.hosts, to.Host.Name)
	}
}

func (m *model) checkReject(cmd dispatcher.Reject) {
	req := m.requests[cmd.ID]
	if req.done || len(req.hosts) > 0 {
		m.t.Fatalf("%s was rejected while at hosts %v, done %v", cmd.ID, req.hosts, req.done)
	}
	if req.mayHaveRun && cmd.Err.Run == filbertstile.NotRun {
		m.t.Fatalf("%s may have run, but was rejected with NotRun: %v", cmd.ID, cmd.Err)
	}
	req.done = true
}

// pickInFlight returns a random request that a host has, and whether there is one.
func (m *model) pickInFlight() (string, *trackedRequest, bool) {
	var inFlight []string
	for _, id := range m.ids {
		if len(m.requests[id].hosts) > 0 {
			inFlight = append(inFlight, id)
		}
	}
	if len(inFlight) == 0 {
		return "", nil, false
	}
	id := rapid.SampledFrom(inFlight).Draw(m.t, "request")
	return id, m.requests[id], true
}

// TestEveryRequestEndsOnce guards against requests that end twice or never, that run
// again although they must not, or that are sent to a failure domain out of service.
// Events arrive in any order, and then time passes until all deadlines
// are over.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				id := fmt.Sprint("q", len(m.ids))
				once := rapid.Bool().Draw(t, "once")
				r := dispatcher.Request{
					ID: id, Account: rapid.SampledFrom([]string{"low", "top"}).Draw(t, "account"), Service: "s", Once: once, Idempotent: !once,
					Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond),
				}
				m.ids = append(m.ids, id)
				m.requests[id] = &trackedRequest{request: r}
				m.tick(dispatcher.Arrived{Request: r})
			},
			"refuse": func(t *rapid.T) {
				id, req, ok := m.pickInFlight()
				if !ok {
					return
				}
				host := req.hosts[0]
				req.hosts = req.hosts[1:]
				m.tick(dispatcher.Refused{ID: id, Host: host, Code: "Busy", Reached: rapid.Bool().Draw(t, "reached"), RetryAfter: 10 * time.Millisecond})
			},
			"break": func(t *rapid.T) {
				id, req, ok := m.pickInFlight()
				if !ok {
					return
				}
				host := req.hosts[0]
				for _, other := range req.hosts[1:] {
					m.tick(dispatcher.OfferDeclined{ID: id, Host: other})
				}
				req.hosts = nil
				notRun := rapid.Bool().Draw(t, "not run")
				req.mayHaveRun = req.mayHaveRun || !notRun
				m.tick(dispatcher.AttemptFailed{ID: id, Host: host, NotRun: notRun})
			},
			"end": func(t *rapid.T) {
				id, req, ok := m.pickInFlight()
				if !ok {
					return
				}
				for _, other := range req.hosts[1:] {
					m.tick(dispatcher.OfferDeclined{ID: id, Host: other})
				}
				host := req.hosts[0]
				req.hosts, req.done = nil, true
				m.tick(dispatcher.Ended{ID: id, Host: host, OK: true})
			},
			"mark": func(t *rapid.T) {
				m.domainOut = rapid.Bool().Draw(t, "out")
				m.updateView()
			},
			"load": func(t *rapid.T) {
				h := rapid.SampledFrom(m.hosts).Draw(t, "host").Name
				m.tick(dispatcher.LoadReported{Host: h, Load: router.Load{Limit: 2, Running: rapid.IntRange(0, 3).Draw(t, "running"), Serving: rapid.Bool().Draw(t, "serving")}})
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
		for _, id := range m.ids {
			if req := m.requests[id]; !req.done && len(req.hosts) == 0 {
				t.Fatalf("%s has not ended, and no host has it", id)
			}
		}
	})
}
