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

// model drives a gate and keeps what a test needs to know of it.
type model struct {
	core    *gatekeeper.Core
	now     time.Time
	started map[string]int
	refused map[string]int
	running map[string]bool
	sealed  map[string]bool
	out     bool
}

func newModel(kind filbertstile.ServiceKind) *model {
	m := &model{
		core: gatekeeper.New(gatekeeper.Config{Kind: kind, MaxRunning: maxRunning, MaxWaiting: maxWaiting, KeepResults: time.Hour}),
		now:  time.Unix(1e9, 0), started: make(map[string]int), refused: make(map[string]int),
		running: make(map[string]bool), sealed: make(map[string]bool),
	}
	m.tick(gatekeeper.StandingSeen{})
	return m
}

// first returns the first request that runs, in the order of names.
func (m *model) first() (string, bool) {
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

func request(t *rapid.T, n int, now time.Time) gatekeeper.Request {
	rank := rapid.IntRange(1, 3).Draw(t, "rank")
	return gatekeeper.Request{
		ID: fmt.Sprint("r", n), Class: gatekeeper.Class{Tier: fmt.Sprint("t", rank), Rank: rank, Weight: rank * rank},
		Deadline: now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "deadline")) * time.Millisecond), Once: once(n),
	}
}

// once makes every other request non-idempotent. Entries seal only those.
func once(n int) bool { return n%2 == 0 }

// TestGateKeepsItsPromises runs any order of events: a request is started at
// most once and never after a refusal or a seal, never more run than the
// server bears, and nothing starts while the domain is out.
func TestGateKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(filbertstile.ServicePlain)
		requests := 0
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				requests++
				before := len(m.running)
				m.tick(gatekeeper.Arrived{Request: request(t, requests, m.now)})
				if m.out && len(m.running) > before {
					t.Fatal("work started in a domain that is out")
				}
			},
			"finish": func(t *rapid.T) {
				if id, ok := m.first(); ok {
					delete(m.running, id)
					m.tick(gatekeeper.Finished{ID: id, Served: 10 * time.Millisecond, Result: gatekeeper.Result{Run: filbertstile.Ran}})
				}
			},
			"overload": func(t *rapid.T) {
				if id, ok := m.first(); ok {
					delete(m.running, id)
					// The server refused it: it was started, and did not run.
					m.started[id]--
					m.tick(gatekeeper.Finished{ID: id, Failure: gatekeeper.FailureOverloaded, Result: gatekeeper.Result{Run: filbertstile.NotRun}})
				}
			},
			"seal": func(t *rapid.T) {
				id := fmt.Sprint("r", 2*rapid.IntRange(1, requests/2+1).Draw(t, "id"))
				m.tick(gatekeeper.SealAsked{RequestID: id, Ticket: id})
			},
			"abandon": func(t *rapid.T) {
				m.tick(gatekeeper.Abandoned{ID: fmt.Sprint("r", rapid.IntRange(1, requests+1).Draw(t, "id"))})
			},
			"standing": func(t *rapid.T) {
				m.out = rapid.Bool().Draw(t, "out")
				m.tick(gatekeeper.StandingSeen{Standing: gatekeeper.Standing{DomainOut: m.out}})
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
					t.Fatalf("%d run, the server bears %d", len(m.running), maxRunning)
				}
				if g := m.core.Gate(); g.Waiting > maxWaiting {
					t.Fatalf("%d wait, %d may", g.Waiting, maxWaiting)
				}
			},
		})
	})
}

// TestColdServerRamp checks that a cold server never gets more at once than one
// and one more for each answer it has given.
func TestColdServerRamp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(filbertstile.ServicePlain)
		answered := 0
		for n := range rapid.IntRange(1, 100).Draw(t, "steps") {
			m.tick(gatekeeper.Arrived{Request: gatekeeper.Request{ID: fmt.Sprint(n), Deadline: m.now.Add(time.Hour)}})
			if len(m.running) > 1+answered {
				t.Fatalf("%d run after %d answers", len(m.running), answered)
			}
			if rapid.Bool().Draw(t, "finish") {
				for id := range m.running {
					delete(m.running, id)
					answered++
					m.tick(gatekeeper.Finished{ID: id, Served: 10 * time.Millisecond})
					break
				}
			}
		}
	})
}

func withWarmGate(t *testing.T, f func(m *model)) {
	t.Helper()
	m := newModel(filbertstile.ServicePlain)
	for n := 0; m.core.Gate().Limit < maxRunning; n++ {
		id := fmt.Sprint("warm", n)
		m.tick(gatekeeper.Arrived{Request: gatekeeper.Request{ID: id, Deadline: m.now.Add(time.Hour)}})
		if len(m.running) == m.core.Gate().Limit {
			for id := range m.running {
				delete(m.running, id)
				m.tick(gatekeeper.Finished{ID: id, Served: 10 * time.Millisecond})
				break
			}
		}
		if n > 1000 {
			t.Fatal("the gate does not warm up")
		}
	}
	for id := range m.running {
		delete(m.running, id)
		m.tick(gatekeeper.Finished{ID: id, Served: 10 * time.Millisecond})
	}
	f(m)
}

func TestLatencyJumpTurnsCold(t *testing.T) {
	withWarmGate(t, func(m *model) {
		is := is.New(t)
		is.Equal(m.core.Gate().Cold, false)
		for n := range 3 {
			id := fmt.Sprint("slow", n)
			m.tick(gatekeeper.Arrived{Request: gatekeeper.Request{ID: id, Deadline: m.now.Add(time.Hour)}})
			m.tick(gatekeeper.Finished{ID: id, Served: 100 * time.Millisecond})
		}
		is.Equal(m.core.Gate().Cold, true)
		is.Equal(m.core.Gate().Limit, 1)
	})
}

func TestFailingServerIsLeftAlone(t *testing.T) {
	withWarmGate(t, func(m *model) {
		is := is.New(t)
		for n := range 3 {
			id := fmt.Sprint("bad", n)
			m.tick(gatekeeper.Arrived{Request: gatekeeper.Request{ID: id, Deadline: m.now.Add(time.Hour)}})
			m.tick(gatekeeper.Finished{ID: id, Failure: gatekeeper.FailureBroken})
		}
		is.Equal(m.core.Gate().Serving, false)
		m.now = m.now.Add(time.Second)
		m.tick()
		is.Equal(m.core.Gate().Serving, true)
		is.Equal(m.core.Gate().Limit, 1)
	})
}

func TestPermitOfAnOldEpochIsRefused(t *testing.T) {
	is := is.New(t)
	m := newModel(filbertstile.ServiceModel)
	target := filbertstile.Release{Name: "r1", Service: "s"}
	m.tick(gatekeeper.StandingSeen{Standing: gatekeeper.Standing{Target: target}}, gatekeeper.WeightsReady{Release: "r1", Whole: "w1"})
	permit := func(epoch uint64) bool {
		for _, cmd := range m.tick(gatekeeper.PermitAsked{Release: "r1", Epoch: epoch, Until: m.now.Add(time.Second), Ticket: "t"}) {
			if p, ok := cmd.(gatekeeper.Permitted); ok {
				return p.Accepted
			}
		}
		return false
	}
	is.True(permit(5))
	is.Equal(permit(4), false)
	m.tick(gatekeeper.LoadEnded{Release: "r1", State: filbertstile.EngineState{Loaded: "other"}})
	is.Equal(m.core.Gate().Serving, false) // the engine's own answer decides
	is.True(permit(5))
	m.tick(gatekeeper.LoadEnded{Release: "r1", State: filbertstile.EngineState{Loaded: "w1"}})
	is.Equal(m.core.Gate().Serving, true)
	m.tick(gatekeeper.EngineSeen{State: filbertstile.EngineState{Loaded: "other"}, AskedAt: m.now.Add(time.Second)})
	is.Equal(m.core.Gate().Serving, false) // an engine with other weights serves nobody
}
