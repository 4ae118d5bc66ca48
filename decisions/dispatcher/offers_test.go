package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/decisions/evaluator"
	"filbertstile.example/filbertstile/decisions/router"
)

// TestEndReleasesAllOffers guards against hosts that count a request as theirs for good, as it has
// ended at another host before they were told that their offers are not needed.
func TestEndReleasesAllOffers(t *testing.T) {
	for name, end := range map[string]func(id, host string) dispatcher.Event{
		"ended":  func(id, host string) dispatcher.Event { return dispatcher.Ended{ID: id, Host: host} },
		"failed": func(id, host string) dispatcher.Event { return dispatcher.AttemptFailed{ID: id, Host: host} },
	} {
		for _, disconnected := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/disconnected=%v", name, disconnected), func(t *testing.T) {
				is := is.New(t)
				now := time.Unix(1e9, 0)
				core, hosts := newOfferingCore(now)
				cmds := core.Tick(now, []dispatcher.Event{dispatcher.Arrived{Request: dispatcher.Request{ID: "q", Account: "top", Service: "s", Once: true, Deadline: now.Add(time.Second)}}})
				var sent dispatcher.Send
				for _, cmd := range cmds {
					if s, ok := cmd.(dispatcher.Send); ok {
						sent = s
					}
				}
				is.Equal(len(sent.Targets), len(hosts))
				is.Equal(inFlight(core), len(hosts))
				if disconnected {
					core.Tick(now, []dispatcher.Event{dispatcher.CallerDisconnected{ID: "q"}})
				}
				core.Tick(now, []dispatcher.Event{end("q", sent.Targets[0].Host.Name)})
				is.Equal(core.State().Requests, 0)
				is.Equal(inFlight(core), 0)
				core.Tick(now, []dispatcher.Event{dispatcher.OfferDeclined{ID: "q", Host: sent.Targets[1].Host.Name}})
				is.Equal(inFlight(core), 0)
			})
		}
	}
}

// newOfferingCore returns a core that sends a request to all of its hosts, as each may be full.
func newOfferingCore(now time.Time) (*dispatcher.Core, []filbertstile.Member) {
	core := dispatcher.New(dispatcher.DefaultConfig(filbertstile.Member{Name: "e1", Role: filbertstile.RoleEntry}))
	hosts := []filbertstile.Member{{Name: "h0", Role: filbertstile.RoleHost, Service: "s"}, {Name: "h1", Role: filbertstile.RoleHost, Service: "s"}}
	core.Tick(now, []dispatcher.Event{dispatcher.ViewUpdated{Trust: evaluator.Current, Hosts: hosts, View: viewer.View{
		Config: filbertstile.Config{
			Services: filbertstile.NewTable(filbertstile.Service{Name: "s", Kind: filbertstile.ServicePlain}),
			Tiers:    filbertstile.NewTable(filbertstile.Tier{Name: "top", Rank: 1, Weight: 1}),
			Accounts: filbertstile.NewTable(filbertstile.Account{Name: "top", Tier: "top", RatePerSecond: 1e6, Burst: 1e6}),
		},
		Members: filbertstile.NewTable(append(hosts, filbertstile.Member{Name: "e1", Role: filbertstile.RoleEntry})...),
	}}})
	for _, h := range hosts {
		core.Tick(now, []dispatcher.Event{dispatcher.LoadReported{Host: h.Name, Load: router.Load{Limit: 4, Running: 3, Serving: true}}})
	}
	return core, hosts
}

// inFlight returns the number of requests that the core counts at all hosts together.
func inFlight(core *dispatcher.Core) int {
	n := 0
	for _, r := range core.State().Replicas {
		n += r.InFlight
	}
	return n
}
