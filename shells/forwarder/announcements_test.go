package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// entry is an entry whose requests to replicas are recorded. It is a forwarder.Link.
type entry struct {
	forwarder *forwarder.Forwarder
	log       bytes.Buffer
	// answer returns the replica's response.
	answer func(a forwarder.Attempt) forwarder.Response
	// dial waits until the connection to the replica is ready; it may be nil.
	dial func(a forwarder.Attempt)

	mu sync.Mutex
	// dials is the number of connections that dial has opened to replica 0.
	dials int
	// sent are the times of the requests to each replica, and announcedAt that of the first
	// announcement of each replica.
	sent        map[string][]time.Time
	announcedAt map[string]time.Time
}

func newEntry(fleet placer.Fleet, answer func(forwarder.Attempt) forwarder.Response) *entry {
	e := newEntryWithLink(fleet, nil)
	e.answer = answer
	return e
}

// newEntryWithLink returns an entry that sends its requests to the link; nil means the entry
// itself.
func newEntryWithLink(fleet placer.Fleet, link forwarder.Link) *entry {
	e := &entry{sent: make(map[string][]time.Time), announcedAt: make(map[string]time.Time)}
	if link == nil {
		link = e
	}
	logger := logrus.New()
	logger.SetOutput(&e.log)
	p := placer.New(placer.Config{Region: "a"})
	p.SetFleet(time.Now(), fleet)
	e.forwarder = forwarder.New(forwarder.Config{
		Placer: p, Link: link, RetryBudget: forwarder.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 1000},
		Log:          reporter.New(reporter.Config{Logger: logger}),
		VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) {},
	})
	return e
}

// Send records the request and returns the answer after 5 ms.
func (e *entry) Send(_ context.Context, a forwarder.Attempt) (forwarder.Response, error) {
	if e.dial != nil {
		e.dial(a)
	}
	if err := a.CheckSend(); err != nil {
		return forwarder.Response{}, exchanger.ErrNotSent{Peer: a.Replica.Address, Cause: err}
	}
	e.mu.Lock()
	e.sent[a.Replica.ID] = append(e.sent[a.Replica.ID], time.Now())
	e.mu.Unlock()
	resp := e.answer(a)
	time.Sleep(5 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	if resp.Announcement != (placer.Announcement{}) && e.announcedAt[a.Replica.ID].IsZero() {
		e.announcedAt[a.Replica.ID] = time.Now()
	}
	return resp, nil
}

// sentBetween returns the number of requests to the replica in the time after from and
// before to.
func (e *entry) sentBetween(replica string, from, to time.Time) int {
	n := 0
	for _, at := range e.sent[replica] {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// serve forwards a call of the kind.
func (e *entry) serve(ctx context.Context, kind filbertstile.CallKind) *caller {
	c, now := &caller{}, time.Now()
	e.forwarder.Serve(ctx, &forwarder.Call{ID: "1", Route: route(kind), Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second)}, c)
	return c
}

// replicas returns a fleet of plain replicas 0, 1 and so on.
func replicas(n, entries int) placer.Fleet {
	var rows []filbertstile.Replica
	for i := range n {
		rows = append(rows, filbertstile.Replica{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprint(i), Slots: 64})
	}
	return placer.Fleet{Replicas: filbertstile.NewTable(rows...), Pools: filbertstile.NewTable(filbertstile.PoolSpec{Service: "s"}), Entries: entries}
}

// slowStream is a stream of events, one a second.
type slowStream struct {
	events int
	next   int
}

func (s *slowStream) Read(b []byte) (int, error) {
	if s.next == s.events {
		return 0, io.EOF
	}
	time.Sleep(time.Second)
	s.next++
	return copy(b, fmt.Sprintf("id: %d\ndata: x\n\n", s.next)), nil
}

// withEntries calls f in virtual time with 1, 12 and 100 entries.
func withEntries(t *testing.T, f func(is *is.I, ctx context.Context, n int)) {
	t.Helper()
	for _, n := range []int{1, 12, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f(is.New(t), t.Context(), n) })
		})
	}
}

// TestLeavingReplicaKeepsItsStreamsOnly guards against requests to a replica after it has
// announced to the entry that it leaves, and against streams that are cut because of it.
func TestLeavingReplicaKeepsItsStreamsOnly(t *testing.T) {
	withEntries(t, func(is *is.I, ctx context.Context, n int) {
		leavesAt := time.Now().Add(time.Second)
		answer := func(a forwarder.Attempt) forwarder.Response {
			resp := forwarder.Response{Verdict: forwarder.Ran, Status: 200, Body: &body{Reader: bytes.NewReader([]byte("answer"))}}
			if a.Call.Route.Kind == filbertstile.CallStream {
				resp.Streamed, resp.Body = true, &body{Reader: &slowStream{events: 3}}
			}
			resp.Announcement.Leaving = a.Replica.ID == "0" && !time.Now().Before(leavesAt)
			return resp
		}
		var wg sync.WaitGroup
		var entries []*entry
		for range n {
			e := newEntry(replicas(2, n), answer)
			entries = append(entries, e)
			for range 10 {
				wg.Go(func() {
					c := e.serve(ctx, filbertstile.CallStream)
					is.Equal(c.body.String(), "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n")
				})
			}
			wg.Go(func() {
				for range 100 {
					is.Equal(e.serve(ctx, filbertstile.CallIdempotent).body.String(), "answer")
					time.Sleep(45 * time.Millisecond)
				}
			})
		}
		wg.Wait()
		for _, e := range entries {
			at := e.announcedAt["0"]
			is.True(!at.IsZero())
			is.Equal(e.sentBetween("0", at, time.Now()), 0)
			is.Equal(bytes.Count(e.log.Bytes(), []byte("msg=ReplicaLeaving")), 1) // one line, with the first response
		}
	})
}

// TestPausedReplicaIsLeftAlone guards against more than two requests of an entry to a replica
// between half a second after a rejection that names a time and the end of that time, and
// against callers that hear of it although another replica is free.
func TestPausedReplicaIsLeftAlone(t *testing.T) {
	const pause = 2 * time.Second
	withEntries(t, func(is *is.I, ctx context.Context, n int) {
		answer := func(a forwarder.Attempt) forwarder.Response {
			if a.Replica.ID == "0" {
				return forwarder.Response{Verdict: forwarder.NotRun, Status: 503, Body: &body{Reader: bytes.NewReader(nil)}, Announcement: placer.Announcement{RetryAfter: pause}}
			}
			return forwarder.Response{Verdict: forwarder.Ran, Status: 200, Body: &body{Reader: bytes.NewReader([]byte("answer"))}}
		}
		var wg sync.WaitGroup
		var entries []*entry
		for range n {
			e := newEntry(replicas(2, n), answer)
			entries = append(entries, e)
			for range 2 {
				wg.Go(func() {
					for range 100 {
						is.Equal(e.serve(ctx, filbertstile.CallNonIdempotent).body.String(), "answer")
						time.Sleep(45 * time.Millisecond)
					}
				})
			}
		}
		wg.Wait()
		for _, e := range entries {
			at := e.announcedAt["0"]
			is.True(!at.IsZero())
			is.Equal(e.sentBetween("0", at, at.Add(pause)), 0)
			is.True(e.sentBetween("0", at.Add(pause), time.Now()) > 0)            // asked again later
			is.True(bytes.Count(e.log.Bytes(), []byte("msg=ReplicaPaused")) <= 3) // one line for each pause
		}
	})
}

// TestOnlyReplicaPausedIsHint guards against a rejection with a shorter delay than the pause
// that the only replica has asked for.
func TestOnlyReplicaPausedIsHint(t *testing.T) {
	withEntries(t, func(is *is.I, ctx context.Context, n int) {
		for range n {
			e := newEntry(replicas(1, n), func(forwarder.Attempt) forwarder.Response {
				return forwarder.Response{Verdict: forwarder.NotRun, Status: 503, Body: &body{Reader: bytes.NewReader(nil)}, Announcement: placer.Announcement{RetryAfter: 1500 * time.Millisecond}}
			})
			for range 3 {
				started := time.Now()
				c := e.serve(ctx, filbertstile.CallNonIdempotent)
				is.True(c.failedWith(filbertstile.NotRun))
				is.Equal(c.failure.Code, forwarder.CodeOverloaded)
				is.True(time.Now().Add(c.failure.RetryAfter).Sub(e.announcedAt["0"]) >= 1500*time.Millisecond)
				is.True(time.Since(started) <= 5*time.Millisecond)
				time.Sleep(300 * time.Millisecond)
			}
			is.Equal(len(e.sent["0"]), 1)
		}
	})
}

// TestNothingIsSentAfterSlowDial guards against requests that were placed before their replica
// asked for a pause and are sent long after it, and against a cooldown because of them.
func TestNothingIsSentAfterSlowDial(t *testing.T) {
	withEntries(t, func(is *is.I, ctx context.Context, n int) {
		answer := func(a forwarder.Attempt) forwarder.Response {
			if a.Replica.ID == "0" {
				return forwarder.Response{Verdict: forwarder.NotRun, Status: 503, Body: &body{Reader: bytes.NewReader(nil)}, Announcement: placer.Announcement{RetryAfter: 5 * time.Second}}
			}
			return forwarder.Response{Verdict: forwarder.Ran, Status: 200, Body: &body{Reader: bytes.NewReader([]byte("answer"))}}
		}
		var wg sync.WaitGroup
		var entries []*entry
		for range n {
			e := newEntry(replicas(2, n), answer)
			e.dial = func(a forwarder.Attempt) {
				if a.Replica.ID != "0" {
					return
				}
				e.mu.Lock()
				e.dials++
				first := e.dials == 1
				e.mu.Unlock()
				if !first {
					time.Sleep(600 * time.Millisecond)
				}
			}
			entries = append(entries, e)
			for range 16 {
				wg.Go(func() { is.Equal(e.serve(ctx, filbertstile.CallNonIdempotent).body.String(), "answer") })
			}
		}
		wg.Wait()
		for _, e := range entries {
			is.True(e.dials > 2) // others were under way as the replica asked for the pause
			is.Equal(len(e.sent["0"]), 1)
			is.Equal(bytes.Count(e.log.Bytes(), []byte("msg=ReplicaHeld")), 0)
		}
	})
}

// TestLimitOfOtherReplicaAtAddress guards against a limit that another replica at the address
// has named, and that is kept for the one that was expected there.
func TestLimitOfOtherReplicaAtAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		other := true
		e := newEntry(replicas(2, 1), func(a forwarder.Attempt) forwarder.Response {
			resp := forwarder.Response{Verdict: forwarder.Ran, Status: 200, Body: &body{Reader: bytes.NewReader(nil)}, WrittenAt: time.Now()}
			if a.Replica.ID == "0" && other {
				resp.Verdict, resp.Status, resp.Responder = forwarder.WrongReplica, 421, "1"
			}
			if a.Replica.ID == "1" || other {
				resp.Announcement.Limit = placer.Limit{Named: true, PerSecond: 1}
			}
			return resp
		})
		for len(e.sent["0"]) == 0 {
			e.serve(t.Context(), filbertstile.CallIdempotent)
		}
		other = false
		time.Sleep(5 * time.Second) // the cooldown of replica 0 ends
		started := time.Now()
		for range 20 {
			e.serve(t.Context(), filbertstile.CallIdempotent)
		}
		is.True(e.sentBetween("1", started, time.Now()) <= 2)
		is.True(e.sentBetween("0", started, time.Now()) >= 18)
	})
}
