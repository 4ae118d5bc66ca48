package gatekeeper_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/gatekeeper"
)

const (
	maxRunning = 6
	maxWaiting = 4
)

// model drives a gate and records the commands that it returns.
type model struct {
	core    *gatekeeper.Core
	now     time.Time
	started map[string]int
	refused map[string]int
	running map[string]bool
	sealed  map[string]bool
	// domainOutOfService is true while the failure domain is out of service.
	domainOutOfService bool
}

func newModel(kind filbertstile.ServiceKind) *model {
	m := &model{
		core: gatekeeper.New(gatekeeper.Config{Kind: kind, MaxRunning: maxRunning, MaxWaiting: maxWaiting, ResultRetention: time.Hour}),
		now:  time.Unix(1e9, 0), started: make(map[string]int), refused: make(map[string]int),
		running: make(map[string]bool), sealed: make(map[string]bool),
	}
	m.tick(gatekeeper.HostStatusChanged{})
	return m
}

// firstRunning returns the running request with the lowest ID.
func (m *model) firstRunning() (string, bool) {
	ids := slices.Sorted(maps.Keys(m.running))
	if len(ids) == 0 {
		return "", false
	}
	return ids[0], true
}

func (m *model) tick(events ...gatekeeper.Event) []gatekeeper.Command {
	m.now = m.now.Add(time.Millisecond)
	out := m.core.Tick(m.now, events)
	for _, cmd := range out {
		switch cmd := cmd.(type) {
		case gatekeeper.Start:
			m.started[cmd.ID]++
			m.running[cmd.ID] = true
		case gatekeeper.Refuse:
			m.refused[cmd.ID]++
		case gatekeeper.Sealed:
			if cmd.Result.Run == filbertstile.NotRun {
				m.sealed[cmd.Ticket] = true
			}
		}
	}
	return out
}

// drawRequest returns request n with a random priority and deadline.
func drawRequest(t *rapid.T, n int, now time.Time) gatekeeper.Request {
	rank := rapid.IntRange(1, 3).Draw(t, "rank")
	return gatekeeper.Request{
		ID: fmt.Sprint("r", n), Class: gatekeeper.Class{Tier: fmt.Sprint("t", rank), Rank: rank, Weight: rank * rank},
		Deadline: now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "deadline")) * time.Millisecond), Once: nonIdempotent(n),
	}
}

// nonIdempotent reports whether request n is non-idempotent, as every other one is.
// Entries seal only those.
func nonIdempotent(n int) bool { return n%2 == 0 }

// TestStartsRequestsAtMostOnceWithinLimits guards against requests that are started
// twice, or are both started and refused or sealed as not run, against more running
// or queued requests than the limits allow, and against requests that start on
// arrival while the failure domain is out of service. The events are random.
func TestStartsRequestsAtMostOnceWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(filbertstile.ServicePlain)
		requests := 0
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				requests++
				before := len(m.running)
				m.tick(gatekeeper.Arrived{Request: drawRequest(t, requests, m.now)})
				if m.domainOutOfService && len(m.running) > before {
					t.Fatal("a request started while the failure domain was out of service")
				}
			},
			"finish": func(t *rapid.T) {
				if id, ok := m.firstRunning(); ok {
					delete(m.running, id)
					m.tick(gatekeeper.Finished{ID: id, Latency: 10 * time.Millisecond, Result: gatekeeper.Result{Run: filbertstile.Ran}})
				}
			},
			"overload": func(t *rapid.T) {
				if id, ok := m.firstRunning(); ok {
					delete(m.running, id)
					// The backend server refused the request, so it did not run.
					m.started[id]--
					m.tick(gatekeeper.Finished{ID: id, Failure: gatekeeper.FailureOverloaded, Result: gatekeeper.Result{Run: filbertstile.NotRun}})
				}
			},
			"seal": func(t *rapid.T) {
				id := fmt.Sprint("r", 2*rapid.IntRange(1, requests/2+1).Draw(t, "id"))
				m.tick(gatekeeper.SealRequested{RequestID: id, Ticket: id})
			},
			"abandon": func(t *rapid.T) {
				m.tick(gatekeeper.Abandoned{ID: fmt.Sprint("r", rapid.IntRange(1, requests+1).Draw(t, "id"))})
			},
			"status": func(t *rapid.T) {
				m.domainOutOfService = rapid.Bool().Draw(t, "domain out of service")
				m.tick(gatekeeper.HostStatusChanged{Status: gatekeeper.HostStatus{DomainOutOfService: m.domainOutOfService}})
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				m.tick()
			},
			"": func(t *rapid.T) {
				for id, n := range m.started {
					if n > 1 {
						t.Fatalf("%s was started %d times", id, n)
					}
					if m.refused[id] > 0 {
						t.Fatalf("%s was started and refused", id)
					}
					if m.sealed[id] && m.started[id] > 0 {
						t.Fatalf("%s was sealed as not run, and started", id)
					}
				}
				if len(m.running) > maxRunning {
					t.Fatalf("%d requests run, want at most %d", len(m.running), maxRunning)
				}
				if s := m.core.State(); s.Waiting > maxWaiting {
					t.Fatalf("%d requests are queued, want at most %d", s.Waiting, maxWaiting)
				}
			},
		})
	})
}

// TestColdServerLimitGrowsByResponses guards against a cold backend server that gets
// more requests at once than 1 plus the number of its responses.
func TestColdServerLimitGrowsByResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(filbertstile.ServicePlain)
		responses := 0
		for n := range rapid.IntRange(1, 100).Draw(t, "steps") {
			m.tick(gatekeeper.Arrived{Request: gatekeeper.Request{ID: fmt.Sprint(n), Deadline: m.now.Add(time.Hour)}})
			if len(m.running) > 1+responses {
				t.Fatalf("%d requests run after %d responses", len(m.running), responses)
			}
			if rapid.Bool().Draw(t, "finish") {
				for id := range m.running {
					delete(m.running, id)
					responses++
					m.tick(gatekeeper.Finished{ID: id, Latency: 10 * time.Millisecond})
					break
				}
			}
		}
	})
}

// withWarmGate calls f with a gate that has reached its maximum limit and has no
// running requests.
func withWarmGate(t *testing.T, f func(m *model)) {
	t.Helper()
	m := newModel(filbertstile.ServicePlain)
	for n := 0; m.core.State().Limit < maxRunning; n++ {
		id := fmt.Sprint("warm", n)
		m.tick(gatekeeper.Arrived{Request: gatekeeper.Request{ID: id, Deadline: m.now.Add(time.Hour)}})
		if len(m.running) == m.core.State().Limit {
			for id := range m.running {
				delete(m.running, id)
				m.tick(gatekeeper.Finished{ID: id, Latency: 10 * time.Millisecond})
				break
			}
		}
		if n > 1000 {
			t.Fatal("the limit did not reach its maximum after 1000 requests")
		}
	}
	for id := range m.running {
		delete(m.running, id)
		m.tick(gatekeeper.Finished{ID: id, Latency: 10 * time.Millisecond})
	}
	f(m)
}

func TestSlowResponsesResetLimit(t *testing.T) {
	withWarmGate(t, func(m *model) {
		is := is.New(t)
		is.Equal(m.core.State().Cold, false)
		for n := range 3 {
			id := fmt.Sprint("slow", n)
			m.tick(gatekeeper.Arrived{Request: gatekeeper.Request{ID: id, Deadline: m.now.Add(time.Hour)}})
			m.tick(gatekeeper.Finished{ID: id, Latency: 100 * time.Millisecond})
		}
		is.Equal(m.core.State().Cold, true)
		is.Equal(m.core.State().Limit, 1)
	})
}

// TestFailingServerGetsCooldown guards against a gate that still accepts requests
// after consecutive failures, or that starts more than one after the cooldown.
func TestFailingServerGetsCooldown(t *testing.T) {
	withWarmGate(t, func(m *model) {
		is := is.New(t)
		for n := range 3 {
			id := fmt.Sprint("bad", n)
			m.tick(gatekeeper.Arrived{Request: gatekeeper.Request{ID: id, Deadline: m.now.Add(time.Hour)}})
			m.tick(gatekeeper.Finished{ID: id, Failure: gatekeeper.FailureBroken})
		}
		is.Equal(m.core.State().Serving, false)
		m.now = m.now.Add(time.Second)
		m.tick()
		is.Equal(m.core.State().Serving, true)
		is.Equal(m.core.State().Limit, 1)
	})
}

// TestRejectsOldEpochAndWrongWeights guards against a gate that accepts a permit with
// an old epoch, or accepts requests while the engine reports the digest of other
// weights.
func TestRejectsOldEpochAndWrongWeights(t *testing.T) {
	is := is.New(t)
	m := newModel(filbertstile.ServiceModel)
	target := filbertstile.Release{Name: "r1", Service: "s"}
	m.tick(gatekeeper.HostStatusChanged{Status: gatekeeper.HostStatus{Target: target}}, gatekeeper.WeightsReady{Release: "r1", Whole: "w1"})
	sendPermit := func(epoch uint64) bool {
		for _, cmd := range m.tick(gatekeeper.PermitReceived{Release: "r1", Epoch: epoch, Until: m.now.Add(time.Second), Ticket: "t"}) {
			if p, ok := cmd.(gatekeeper.Permitted); ok {
				return p.Accepted
			}
		}
		return false
	}
	is.True(sendPermit(5))
	is.Equal(sendPermit(4), false)
	m.tick(gatekeeper.LoadEnded{Release: "r1", State: filbertstile.EngineState{Loaded: "other"}})
	is.Equal(m.core.State().Serving, false) // the engine reports other weights than ordered
	is.True(sendPermit(5))
	m.tick(gatekeeper.LoadEnded{Release: "r1", State: filbertstile.EngineState{Loaded: "w1"}})
	is.Equal(m.core.State().Serving, true)
	m.tick(gatekeeper.EngineReported{State: filbertstile.EngineState{Loaded: "other"}, RequestedAt: m.now.Add(time.Second)})
	is.Equal(m.core.State().Serving, false) // the engine has lost the weights
}
