package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
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

// lastEvent is the ID of the last event of the streams of pacedReplica.
const lastEvent = 6

// part is a part of a response that arrives some time after the part before it.
type part struct {
	after time.Duration
	data  string
	err   error
}

// pacedReplica is a replica whose responses arrive in parts.
type pacedReplica struct {
	// failure is the result of each send, if it is not zero.
	failure step
	// headAfter is the time until the head of a response arrives.
	headAfter time.Duration
	// silence is the time for which the replica is silent before the event silentBefore, or
	// in the middle of the body of a response that is no stream.
	silence      time.Duration
	silentBefore int64
	// breaksAt is the event before which the connection breaks; 0 means none.
	breaksAt int64
}

// forever is longer than all deadlines.
const forever = time.Hour

// parts returns the parts of the response to the attempt.
func (r pacedReplica) parts(a forwarder.Attempt) []part {
	if a.Call.Route.Kind != filbertstile.CallStream {
		return []part{{data: "ans"}, {after: r.silence, data: "wer"}}
	}
	var out []part
	for id := a.LastEventID.Number() + 1; id <= lastEvent; id++ {
		p := part{after: 50 * time.Millisecond, data: events(int(id), int(id), nil).body}
		if id == r.silentBefore {
			p.after += r.silence
		}
		if id == r.breaksAt {
			return append(out, part{after: p.after, err: io.ErrUnexpectedEOF})
		}
		out = append(out, p)
	}
	return out
}

// pacedLink sends to replicas by their IDs, and records what reaches them.
type pacedLink struct {
	replicas map[string]pacedReplica

	mu sync.Mutex
	// sent are the IDs of the replicas that requests reached, and ended those whose connection
	// the forwarder closed before the response was complete.
	sent, ended []string
}

func (l *pacedLink) Send(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error) {
	r := l.replicas[a.Replica.ID]
	if r.failure.err != nil {
		var notSent exchanger.ErrNotSent
		if !errors.As(r.failure.err, &notSent) {
			l.record(&l.sent, a.Replica.ID)
		}
		return forwarder.Response{}, r.failure.err
	}
	if err := a.CheckSend(); err != nil {
		return forwarder.Response{}, exchanger.ErrNotSent{Peer: a.Replica.ID, Cause: err}
	}
	l.record(&l.sent, a.Replica.ID)
	written := time.Now()
	select {
	case <-time.After(r.headAfter):
	case <-ctx.Done():
		l.record(&l.ended, a.Replica.ID)
		return forwarder.Response{}, exchanger.ErrNoResponse{Peer: a.Replica.ID, Cause: ctx.Err(), WrittenAt: written}
	}
	if r.failure.status != 0 {
		return forwarder.Response{Verdict: r.failure.verdict, Status: r.failure.status, Body: &body{Reader: strings.NewReader(r.failure.body)}, WrittenAt: written}, nil
	}
	b := &pacedBody{ctx: ctx, link: l, id: a.Replica.ID, parts: r.parts(a)}
	return forwarder.Response{Verdict: forwarder.Ran, Status: 200, Streamed: a.Call.Route.Kind == filbertstile.CallStream, Body: b, WrittenAt: written}, nil
}

func (l *pacedLink) record(list *[]string, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*list = append(*list, id)
}

// pacedBody is the body of a response of pacedReplica.
type pacedBody struct {
	ctx      context.Context
	link     *pacedLink
	id       string
	parts    []part
	complete bool
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		b.complete = true
		return 0, io.EOF
	}
	next := b.parts[0]
	select {
	case <-time.After(next.after):
	case <-b.ctx.Done():
		return 0, net.ErrClosed
	}
	b.parts = b.parts[1:]
	return copy(p, next.data), next.err
}

func (b *pacedBody) Discard() {}
func (b *pacedBody) Close() {
	if !b.complete {
		b.link.record(&b.link.ended, b.id)
	}
}

// paced is a request of one kind to replicas of the names that are the keys of replicas; the
// request goes to "first" first.
type paced struct {
	kind     filbertstile.CallKind
	replicas map[string]pacedReplica
	// budget is the retry budget; the default allows each retry.
	budget forwarder.RetryBudgetConfig
	// leaveAfter is the time after which the caller leaves; 0 means never.
	leaveAfter time.Duration
	// closeSideAfter is the time after which the caller closes its side; 0 means never.
	closeSideAfter time.Duration
	// stopAfter is the time after which the forwarder stops; 0 means never.
	stopAfter time.Duration
}

// serve forwards the request in virtual time.
func (q paced) serve(t *testing.T) (c *caller, l *pacedLink, took time.Duration) {
	t.Helper()
	c, l = &caller{}, &pacedLink{replicas: q.replicas}
	if q.budget == (forwarder.RetryBudgetConfig{}) {
		q.budget = forwarder.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 100}
	}
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		p := placer.New(placer.Config{Region: "a"})
		var rows []filbertstile.Replica
		for id := range q.replicas {
			rows = append(rows, filbertstile.Replica{ID: id, Service: "s", Address: id, Slots: 4})
		}
		fleet := placer.Fleet{Replicas: filbertstile.NewTable(rows...), Pools: filbertstile.NewTable(filbertstile.PoolSpec{Service: "s"}), Entries: 1}
		onlyFirst := fleet
		onlyFirst.Replicas = filbertstile.NewTable(filbertstile.Replica{ID: "first", Service: "s", Address: "first", Slots: 4})
		p.SetFleet(time.Now(), onlyFirst)
		f := forwarder.New(forwarder.Config{
			Placer: p, Link: l, RetryBudget: q.budget, Log: reporter.New(reporter.Config{Logger: log}),
			VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) {},
		})
		// Only the first replica is known when the request arrives.
		time.AfterFunc(10*time.Millisecond, func() { p.SetFleet(time.Now(), fleet) })
		ctx, leave := context.WithCancel(t.Context())
		if q.leaveAfter > 0 {
			time.AfterFunc(q.leaveAfter, leave)
		}
		sending, closeSide := context.WithCancel(t.Context())
		if q.closeSideAfter > 0 {
			time.AfterFunc(q.closeSideAfter, closeSide)
		}
		if q.stopAfter > 0 {
			time.AfterFunc(q.stopAfter, f.Stop)
		}
		r := route(q.kind)
		if q.kind == filbertstile.CallNonIdempotent {
			r.MaxAttempts = 1
		}
		now := time.Now()
		f.Serve(ctx, &forwarder.Call{ID: "1", Route: r, Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second), Sending: sending}, c)
		took = time.Since(now)
		leave()
		closeSide()
		time.Sleep(time.Second) // what goes on after the end of the request would be seen
	})
	return c, l, took
}

// whole reports whether the caller got the complete answer to a request of the kind.
func (c *caller) whole(kind filbertstile.CallKind) bool {
	want := "answer"
	if kind == filbertstile.CallStream {
		want = events(1, lastEvent, nil).body
	}
	return c.failure == nil && !c.aborted && c.body.String() == want
}

// otherReplicas are what a request may find that looks for another replica.
var otherReplicas = map[string]map[string]pacedReplica{
	"None":          {},
	"Sound":         {"b": {}},
	"Unreachable":   {"b": {failure: notSent}},
	"Reject":        {"b": {failure: notRun}, "c": {failure: notRun}, "d": {failure: notRun}, "e": {failure: notRun}},
	"Fail":          {"b": {failure: failed}, "c": {failure: failed}},
	"NoResponses":   {"b": {failure: connectionLost}, "c": {failure: connectionLost}},
	"Invalid":       {"b": {failure: invalid}, "c": {failure: invalid}},
	"SilentForever": {"b": {headAfter: forever}},
	"SilentToo":     {"b": {headAfter: 1900 * time.Millisecond}},
	"BreakOff":      {"b": {breaksAt: 1}, "c": {breaksAt: 1}},
}

func withFirst(first pacedReplica, others map[string]pacedReplica) map[string]pacedReplica {
	out := map[string]pacedReplica{"first": first}
	for id, r := range others {
		out[id] = r
	}
	return out
}

// TestSilentReplicaLosesNoAnswer guards against an answer that is lost because the entry ends an
// attempt whose replica is silent for a while, and finds no other replica.
func TestSilentReplicaLosesNoAnswer(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 1300 * time.Millisecond, 2 * time.Second, 2900 * time.Millisecond} {
		for name, first := range map[string]pacedReplica{
			"BeforeHead":       {headAfter: silence},
			"BeforeFirstEvent": {silence: silence, silentBefore: 1},
			"WithinResponse":   {silence: silence, silentBefore: 3},
			"BeforeLastEvent":  {silence: silence, silentBefore: lastEvent},
		} {
			for others, replicas := range otherReplicas {
				for _, kind := range []filbertstile.CallKind{filbertstile.CallStream, filbertstile.CallIdempotent, filbertstile.CallNonIdempotent} {
					t.Run(fmt.Sprintf("%s/%s/%s/%s", kind, name, others, silence), func(t *testing.T) {
						c, l, took := paced{kind: kind, replicas: withFirst(first, replicas)}.serve(t)
						if !c.whole(kind) {
							t.Errorf("got %q, failure %v, aborted %v after %s; want the whole answer; sent to %v", c.body.String(), c.failure, c.aborted, took, l.sent)
						}
						if kind == filbertstile.CallNonIdempotent && len(l.sent) > 1 {
							t.Errorf("not idempotent, but sent to %v", l.sent)
						}
					})
				}
			}
		}
	}
}

// TestSilentReplicaWithSpentBudgetLosesNoAnswer guards against the same while the budget for
// retries is spent.
func TestSilentReplicaWithSpentBudgetLosesNoAnswer(t *testing.T) {
	for _, before := range []int64{1, 3} {
		first := pacedReplica{silence: 1900 * time.Millisecond, silentBefore: before}
		c, l, _ := paced{
			kind: filbertstile.CallStream, replicas: withFirst(first, otherReplicas["Sound"]), budget: forwarder.RetryBudgetConfig{Window: 10 * time.Second},
		}.serve(t)
		is := is.New(t)
		is.True(c.whole(filbertstile.CallStream))
		is.Equal(l.sent, []string{"first"})
	}
}

// TestGoneReplicaIsReplacedInTime guards against callers that wait for a replica that never goes
// on. They disconnect 2 s after the last event, or four target latencies after their request.
func TestGoneReplicaIsReplacedInTime(t *testing.T) {
	for name, first := range map[string]pacedReplica{
		"BeforeHead": {headAfter: forever}, "BeforeFirstEvent": {silence: forever, silentBefore: 1}, "WithinResponse": {silence: forever, silentBefore: 3},
	} {
		for _, kind := range []filbertstile.CallKind{filbertstile.CallStream, filbertstile.CallIdempotent} {
			t.Run(fmt.Sprintf("%s/%s", kind, name), func(t *testing.T) {
				is := is.New(t)
				c, l, took := paced{kind: kind, replicas: withFirst(first, otherReplicas["Sound"])}.serve(t)
				is.True(c.whole(kind))
				is.True(took < 2*time.Second)
				is.Equal(l.sent, []string{"first", "b"})
				is.Equal(l.ended, []string{"first"}) // no later than the end of the request
			})
		}
	}
}

// TestCallerLeavesWhileReplicaIsSilent guards against replicas that go on working for a caller who
// has left.
func TestCallerLeavesWhileReplicaIsSilent(t *testing.T) {
	is := is.New(t)
	first := pacedReplica{silence: forever, silentBefore: 3}
	c, l, took := paced{
		kind: filbertstile.CallStream, replicas: withFirst(first, map[string]pacedReplica{"b": {headAfter: forever}}), leaveAfter: 2 * time.Second,
	}.serve(t)
	is.True(c.aborted)
	is.Equal(took, 2*time.Second)
	is.Equal(len(l.sent), 2)
	is.Equal(len(l.ended), 2)
}
