package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/decisions/router"
)

// TestExplainAgreesWithDispatch guards against an explanation that names another decision than the one that
// is made, shows an obstacle at the replica that is chosen, or changes what is decided afterwards.
func TestExplainAgreesWithDispatch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is, m := is.New(t), newModel(rt)
		m.domainOut = rapid.Bool().Draw(rt, "out")
		m.updateView()
		for _, h := range m.hosts {
			m.tick(dispatcher.LoadReported{Host: h.Name, Load: router.Load{
				Limit: 4, Running: rapid.IntRange(0, 5).Draw(rt, "running"), Waiting: rapid.IntRange(0, 4).Draw(rt, "waiting"), Serving: rapid.IntRange(0, 4).Draw(rt, "serving") > 0, Cold: rapid.Bool().Draw(rt, "cold"),
			}})
		}
		for i := range 300 { // until the queue of the service is full
			r := dispatcher.Request{ID: fmt.Sprint(i), Account: rapid.SampledFrom([]string{"low", "top", "unknown"}).Draw(rt, "account"), Service: "s", Deadline: m.now.Add(time.Minute)}
			first, second := m.core.Explain(m.now, r), m.core.Explain(m.now, r)
			is.Equal(first, second)
			decision := placer.WouldQueue
			for _, cmd := range m.core.Tick(m.now, []dispatcher.Event{dispatcher.Arrived{Request: r}}) {
				switch cmd := cmd.(type) {
				case dispatcher.Send:
					is.Equal(cmd.ID, r.ID)
					decision = placer.WouldPlace
					for _, to := range cmd.Targets {
						for _, c := range first.Placement.Candidates {
							is.True(c.Replica != to.Host.Name || c.Obstacle == "")
						}
					}
				case dispatcher.Reject:
					if cmd.ID != r.ID {
						continue // a request of a lower rank gives way
					}
					decision = placer.WouldReject
					if first.Rejected.Code != "" {
						is.Equal(first.Rejected.Code, cmd.Err.Code)
						decision = ""
					}
				}
			}
			is.Equal(first.Placement.Decision, decision)
		}
	})
}
