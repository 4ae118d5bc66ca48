package edgerunner_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/shells/edgerunner"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// arrival is a request that reached the limited replica.
type arrival struct {
	at    time.Time
	entry string
}

// limitedReplicas is a Link whose replica 0 names a limit in all responses from a time until
// another one.
type limitedReplicas struct {
	limit       float64
	from, until time.Time

	mu       sync.Mutex
	arrivals []arrival
	// endHeardAt is the time of the first response without the limit after until.
	endHeardAt time.Time
}

// of returns the Link of the entry with the name.
func (l *limitedReplicas) of(entry string) forwarder.Link { return limitedLink{l, entry} }

type limitedLink struct {
	replicas *limitedReplicas
	entry    string
}

func (l limitedLink) Send(_ context.Context, a forwarder.Attempt) (forwarder.Response, error) {
	time.Sleep(time.Millisecond)
	if err := a.CheckSend(); err != nil {
		return forwarder.Response{}, exchanger.ErrNotSent{Cause: err}
	}
	out := forwarder.Response{Verdict: forwarder.Ran, Status: 200, Body: soundBody{strings.NewReader("answer")}, WrittenAt: time.Now()}
	if a.Replica.ID != "0" {
		time.Sleep(20 * time.Millisecond)
		return out, nil
	}
	l.replicas.arrive(l.entry)
	time.Sleep(20 * time.Millisecond)
	out.Announcement = l.replicas.announce()
	return out, nil
}

func (l *limitedReplicas) arrive(entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, arrival{time.Now(), entry})
}

func (l *limitedReplicas) announce() placer.Announcement {
	now := time.Now()
	if !now.Before(l.from) && now.Before(l.until) {
		return placer.Announcement{Limit: placer.Limit{Named: true, PerSecond: l.limit}}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.until) && l.endHeardAt.IsZero() {
		l.endHeardAt = now
	}
	return placer.Announcement{}
}

// between returns the number of arrivals in the time.
func (l *limitedReplicas) between(from, until time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, a := range l.arrivals {
		if !a.at.Before(from) && a.at.Before(until) {
			n++
		}
	}
	return n
}

// most returns the highest number of arrivals in a window that lies in the time.
func (l *limitedReplicas) most(from, until time.Time, window time.Duration) int {
	l.mu.Lock()
	arrivals := l.arrivals
	l.mu.Unlock()
	out := 0
	for _, a := range arrivals {
		if !a.at.Before(from) && a.at.Before(until) {
			end := a.at.Add(window)
			if end.After(until) {
				end = until
			}
			out = max(out, l.between(a.at, end))
		}
	}
	return out
}

// recentSenders returns the entries of which requests have arrived since the time.
func (l *limitedReplicas) recentSenders(since time.Time) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]bool)
	for _, a := range l.arrivals {
		if a.at.After(since) {
			out[a.entry] = true
		}
	}
	return out
}

// limitRig is a system of entries before three replicas, of which replica 0 names a limit.
type limitRig struct {
	evidenceRig
	replicas *limitedReplicas
	edges    []*edgerunner.Edge
	stops    []func()
	// callers is the number of entries that get requests.
	callers int
	sent    int
	mu      sync.Mutex
	// failed counts the requests that ended with an error.
	failed int
}

func newLimitRig(ctx context.Context, entries int, limit, coldRate float64, engine bool) *limitRig {
	return newLimitRigWith(ctx, entries, limit, coldRate, engine, 0)
}

// newLimitRigWith is like newLimitRig, with a store that takes a time to list the members.
func newLimitRigWith(ctx context.Context, entries int, limit, coldRate float64, engine bool, membersLate time.Duration) *limitRig {
	r := &limitRig{
		evidenceRig: evidenceRig{
			network: &datagrams{inboxes: make(map[string]chan []byte)}, entries: entries, slots: 16, coldRate: coldRate,
			store: &listedStore{counts: map[string]int{"config/": 1, "servers/": 3, "members/": entries}, late: map[string]time.Duration{"members/": membersLate}},
		},
		replicas: &limitedReplicas{limit: limit}, callers: entries,
	}
	if engine {
		r.engine = &filbertstile.EngineSpec{StepTime: 2 * time.Millisecond, PrefillTokensPerSecond: 20000}
	}
	r.edges, r.stops = make([]*edgerunner.Edge, entries), make([]func(), entries)
	for i := range entries {
		r.restart(ctx, i, 1)
	}
	return r
}

// restart starts the entry with the index.
func (r *limitRig) restart(ctx context.Context, i int, incarnation int64) {
	r.link = r.replicas.of(fmt.Sprint(i))
	r.edges[i], r.stops[i] = r.start(ctx, i, incarnation)
}

// end ends the entry with the index.
func (r *limitRig) end(i int) {
	r.stops[i]()
	r.edges[i] = nil
}

func (r *limitRig) stop() {
	for i, e := range r.edges {
		if e != nil {
			r.end(i)
		}
	}
	advance(3 * time.Second)
}

// play sends 250 requests a second, to the entries that have callers and are ready in turn,
// for the time.
func (r *limitRig) play(ctx context.Context, is *is.I, d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); advance(4 * time.Millisecond) {
		r.sent++
		if e := r.edges[r.sent%r.callers]; e != nil && e.Ready() {
			go func() {
				if code := r.send(ctx, is, e); code != "" {
					r.mu.Lock()
					r.failed++
					r.mu.Unlock()
				}
			}()
		}
	}
}

// limitWindow is the time over which requests to a limited replica are counted.
const limitWindow = 4 * time.Second

// limitSettleTime is the time after the first response that names a limit from which its
// requests count: 200 ms until all entries know it, and half a second.
const limitSettleTime = 700 * time.Millisecond

// allowedByLimit returns the number of requests that a replica with the limit may get in
// limitWindow.
func allowedByLimit(limit float64) int { return int(limit*limitWindow.Seconds()*1.5) + 5 }

// TestNamedLimitHoldsOverAllEntries guards against a replica that has named a limit and gets
// more requests from all entries together.
func TestNamedLimitHoldsOverAllEntries(t *testing.T) {
	for _, c := range []struct {
		entries int
		limit   float64
		// ended and restarted are the numbers of entries that end or start again, those that
		// send to the replica first.
		ended, restarted int
		// callers is the number of entries that get requests; 0 means all.
		callers int
		// engine is true if the replicas run a model engine, so that each belongs to a group,
		// and coldRate is the rate limit while they are cold.
		engine   bool
		coldRate float64
	}{
		{entries: 1, limit: 0}, {entries: 1, limit: 1}, {entries: 1, limit: 30},
		{entries: 7, limit: 0.25}, {entries: 7, limit: 1}, {entries: 7, limit: 4, ended: 3}, {entries: 7, limit: 4, restarted: 3}, {entries: 7, limit: 30},
		{entries: 7, limit: 4, callers: 1}, {entries: 24, limit: 30, callers: 3}, {entries: 24, limit: 1}, {entries: 24, limit: 10, engine: true}, {entries: 24, limit: 30, engine: true, coldRate: 400}, {entries: 100, limit: 20, engine: true, coldRate: 400}, {entries: 24, limit: 30, ended: 8}, {entries: 24, limit: 30, restarted: 8}, {entries: 100, limit: 1}, {entries: 100, limit: 30},
	} {
		t.Run(fmt.Sprintf("entries=%d/limit=%v/ended=%d/restarted=%d/callers=%d/engine=%v/cold=%v", c.entries, c.limit, c.ended, c.restarted, c.callers, c.engine, c.coldRate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newLimitRig(t.Context(), c.entries, c.limit, c.coldRate, c.engine)
				defer r.stop()
				if c.callers > 0 {
					r.callers = c.callers
				}
				advance(12 * time.Second) // the replicas are no longer new
				l := r.replicas
				l.from = time.Now().Add(2 * time.Second)
				l.until = l.from.Add(10 * time.Second)
				r.play(t.Context(), is, 6*time.Second)
				r.disturb(t.Context(), l.recentSenders(time.Now().Add(-2*time.Second)), c.ended, c.restarted)
				r.play(t.Context(), is, 11*time.Second)
				from := l.from.Add(limitSettleTime)
				most, used := l.most(from, l.until, limitWindow), l.between(from, l.until)
				t.Logf("at most %d requests in %v, %d allowed; %d in all; %d of %d failed", most, limitWindow, allowedByLimit(c.limit), used, r.failed, r.sent)
				is.True(most <= allowedByLimit(c.limit))
				is.True(used >= int(0.4*c.limit*l.until.Sub(from).Seconds()))
				is.True(!l.endHeardAt.IsZero()) // someone asks again
				is.True(l.between(l.endHeardAt.Add(time.Second), l.endHeardAt.Add(2*time.Second)) >= 20)
				is.Equal(r.failed, 0)
			})
		})
	}
}

// disturb ends some entries and restarts others, those in first before the rest.
func (r *limitRig) disturb(ctx context.Context, first map[string]bool, ended, restarted int) {
	for _, wanted := range []bool{true, false} {
		for i := range r.edges {
			if r.edges[i] == nil || first[fmt.Sprint(i)] != wanted || ended+restarted == 0 {
				continue
			}
			r.end(i)
			if ended > 0 {
				ended--
				continue
			}
			restarted--
			r.restart(ctx, i, 2)
		}
	}
}

// TestColdLimitAsAllEntriesStart guards against a cold replica that gets more requests than its
// limit from entries that have just started, and do not hear each other yet.
func TestColdLimitAsAllEntriesStart(t *testing.T) {
	const coldRate = 17
	for _, c := range []struct {
		entries int
		// membersLate is the time until the members are listed.
		membersLate time.Duration
	}{{7, 0}, {24, 0}, {44, 0}, {100, 0}, {24, 300 * time.Millisecond}, {100, 50 * time.Millisecond}, {100, 300 * time.Millisecond}} {
		t.Run(fmt.Sprintf("entries=%d/late=%v", c.entries, c.membersLate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newLimitRigWith(t.Context(), c.entries, 0, coldRate, true, c.membersLate)
				defer r.stop()
				started := time.Now()
				r.play(t.Context(), is, 4*time.Second)
				most := r.replicas.most(started, time.Now(), time.Second)
				t.Logf("at most %d requests in one second", most)
				is.True(most <= coldRate*3/2+5)
				is.True(r.replicas.between(started, time.Now()) >= 2*coldRate)
			})
		})
	}
}
