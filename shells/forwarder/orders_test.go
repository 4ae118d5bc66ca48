package forwarder_test

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/decisions/suspector"
	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// instants are times at which several things happen to a request at once.
var instants = []time.Duration{0, 5 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond, 1700 * time.Millisecond, 2700 * time.Millisecond, 3 * time.Second, forever}

// orderedReplica is a replica whose responses, announcements and end are drawn.
type orderedReplica struct {
	result       step
	head         time.Duration
	gaps         []time.Duration
	breaksAt     int
	unframed     bool
	announcement placer.Announcement
	connectTime  time.Duration
}

// orderLink is a Link that records sends and closes per replica.
type orderLink struct {
	replicas map[string]orderedReplica
	mu       sync.Mutex
	// sent and open count what was sent to each replica and the connections that are open.
	sent, open map[string]int
	runs       int
	// closedAt is the time at which the last connection was closed.
	closedAt time.Time
}

func (l *orderLink) count(id string, sent, open, runs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] += sent
	l.open[id] += open
	l.runs += runs
	if open < 0 {
		l.closedAt = time.Now()
	}
}

func (l *orderLink) Send(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error) {
	id := a.Replica.ID
	r := l.replicas[id]
	select {
	case <-time.After(r.connectTime):
	case <-ctx.Done():
		return forwarder.Response{}, exchanger.ErrNotSent{Peer: id, Cause: ctx.Err()}
	}
	var notSent exchanger.ErrNotSent
	if errors.As(r.result.err, &notSent) {
		return forwarder.Response{}, r.result.err
	}
	if err := a.CheckSend(); err != nil {
		return forwarder.Response{}, exchanger.ErrNotSent{Peer: id, Cause: err}
	}
	written, mayRun := time.Now(), 1
	if r.result.verdict == forwarder.NotRun || r.result.verdict == forwarder.WrongReplica {
		mayRun = 0
	}
	l.count(id, 1, 1, mayRun)
	select {
	case <-time.After(r.head):
	case <-ctx.Done():
		l.count(id, 0, -1, 0)
		return forwarder.Response{}, exchanger.ErrNoResponse{Peer: id, Cause: ctx.Err(), WrittenAt: written}
	}
	if r.result.err != nil {
		l.count(id, 0, -1, 0)
		return forwarder.Response{}, r.result.err
	}
	out := forwarder.Response{Verdict: r.result.verdict, Status: r.result.status, Announcement: r.announcement, WrittenAt: written}
	if r.result.status != 0 {
		out.Body = &orderBody{ctx: ctx, link: l, id: id, parts: []part{{data: r.result.body}}}
		return out, nil
	}
	out.Status, out.EndsWithConnection, out.Streamed = 200, r.unframed, a.Call.Route.Kind == filbertstile.CallStream
	parts := []part{{data: "ans", after: r.gaps[0]}, {data: "wer", after: r.gaps[1]}}
	if out.Streamed {
		parts = nil
		for n := a.LastEventID.Number() + 1; n <= lastEvent; n++ {
			parts = append(parts, part{after: r.gaps[n-1], data: events(int(n), int(n), nil).body})
		}
	}
	if r.breaksAt > 0 && r.breaksAt <= len(parts) {
		parts[r.breaksAt-1] = part{after: parts[r.breaksAt-1].after, err: io.ErrUnexpectedEOF}
	}
	out.Body = &orderBody{ctx: ctx, link: l, id: id, parts: parts}
	return out, nil
}

type orderBody struct {
	ctx   context.Context
	link  *orderLink
	id    string
	parts []part
	once  sync.Once
}

func (b *orderBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	next := b.parts[0]
	select {
	case <-time.After(next.after):
	case <-b.ctx.Done():
		b.Close()
		return 0, b.ctx.Err()
	}
	b.parts = b.parts[1:]
	return copy(p, next.data), next.err
}
func (b *orderBody) Discard() {}
func (b *orderBody) Close()   { b.once.Do(func() { b.link.count(b.id, 0, -1, 0) }) }

func drawOrdered(t *rapid.T, name string) orderedReplica {
	at := rapid.SampledFrom(instants)
	return orderedReplica{
		result:       rapid.SampledFrom([]step{{}, {}, {}, {}, {}, notSent, notRun, wrongReplica, failed, invalid, connectionLost}).Draw(t, name+" result"),
		head:         at.Draw(t, name+" head"),
		gaps:         rapid.SliceOfN(rapid.SampledFrom([]time.Duration{0, 0, 0, 50 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond, 1700 * time.Millisecond, forever}), lastEvent, lastEvent).Draw(t, name+" gaps"),
		breaksAt:     rapid.SampledFrom([]int{0, 0, 0, 1, 2, 4}).Draw(t, name+" breaks at"),
		unframed:     rapid.Bool().Draw(t, name+" unframed"),
		connectTime:  rapid.SampledFrom([]time.Duration{0, 0, 300 * time.Millisecond}).Draw(t, name+" connect time"),
		announcement: rapid.SampledFrom([]placer.Announcement{{}, {}, {Leaving: true}, {RetryAfter: time.Second}, {Limit: placer.Limit{PerSecond: 1, Named: true}}}).Draw(t, name+" announcement"),
	}
}

// TestOrdersOfBackups guards against grants that are not released, wrong counts of runs, requests
// that end twice or never, and connections that stay open, when events of a request and of its
// backup happen at the same instants.
func TestOrdersOfBackups(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := &orderLink{replicas: map[string]orderedReplica{}, sent: map[string]int{}, open: map[string]int{}}
		ids := []string{"first", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(rt, "replicas")]
		for _, id := range ids {
			l.replicas[id] = drawOrdered(rt, id)
		}
		r := route(rapid.SampledFrom([]filbertstile.CallKind{filbertstile.CallStream, filbertstile.CallStream, filbertstile.CallIdempotent, filbertstile.CallNonIdempotent}).Draw(rt, "kind"))
		r.MaxAttempts = rapid.IntRange(1, 3).Draw(rt, "max attempts")
		if r.Kind == filbertstile.CallNonIdempotent {
			r.MaxAttempts = 1
		}
		leaveAt := rapid.SampledFrom(append(slices.Clone(instants[2:]), forever, forever)).Draw(rt, "leave at")
		deadline := rapid.SampledFrom([]time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second}).Draw(rt, "deadline")
		due := rapid.SampledFrom([]time.Duration{0, 0, 0, 1200 * time.Millisecond, 1500 * time.Millisecond, 2700 * time.Millisecond}).Draw(rt, "version due")
		tokens := rapid.SampledFrom([]float64{0, 1, 100}).Draw(rt, "retry tokens")
		prober := rapid.SampledFrom([]*prober{&ended, &alive, &silent}).Draw(rt, "prober")
		parts := rapid.Bool().Draw(rt, "prompt parts")
		gone := rapid.SampledFrom([]time.Duration{forever, forever, 1200 * time.Millisecond, 1500 * time.Millisecond}).Draw(rt, "fleet empty at")
		var c caller
		var ends atomic.Int32
		var left map[string]placer.EntryLoad
		var took, lateClose time.Duration
		synctest.Test(t, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			start := time.Now()
			p := placer.New(placer.Config{Region: "a"})
			var rows []filbertstile.Replica
			for _, id := range ids {
				rows = append(rows, filbertstile.Replica{ID: id, Service: "s", Address: id, Slots: 1, Version: 1})
			}
			pool := filbertstile.PoolSpec{Service: "s"}
			var floor placer.VersionFloor
			if due > 0 {
				pool.Engine = &filbertstile.EngineSpec{Model: "m", Layers: 1, Chunks: 1, ChunkBytes: 1, PrefillTokensPerSecond: 1e6, StepTime: time.Millisecond, StepsPerEvent: 1}
				floor = placer.VersionFloor{Version: 1, Next: []placer.DueVersion{{Version: 2, At: start.Add(due + placer.WithdrawMargin)}}}
			}
			fleet := placer.Fleet{Replicas: filbertstile.NewTable(rows...), Pools: filbertstile.NewTable(pool), Entries: 1}
			only := fleet
			only.Replicas = filbertstile.NewTable(rows[0])
			p.SetFleet(start, only)
			time.AfterFunc(10*time.Millisecond, func() { p.SetFleet(time.Now(), fleet) })
			if gone < forever {
				empty := fleet
				empty.Replicas = filbertstile.NewTable[filbertstile.Replica]()
				time.AfterFunc(gone, func() { p.SetFleet(time.Now(), empty) })
				time.AfterFunc(gone+10*time.Millisecond, func() { p.SetFleet(time.Now(), fleet) })
			}
			f := forwarder.New(forwarder.Config{
				Placer: p, Link: l, RetryBudget: forwarder.RetryBudgetConfig{Window: 1000 * time.Second, Slack: tokens / 0.3}, Log: reporter.New(reporter.Config{Logger: log}),
				Suspector: suspector.New(suspector.Config{Self: "e"}), Prober: prober,
				VersionFloor: func(string) placer.VersionFloor { return floor }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) { ends.Add(1) },
			})
			ctx, leave := context.WithCancel(t.Context())
			if leaveAt < forever {
				time.AfterFunc(leaveAt, leave)
			}
			call := &forwarder.Call{ID: "1", Route: r, Service: "s", Arrived: start, Deadline: start.Add(deadline), PromptTokens: 10}
			if parts {
				call.PromptParts = []uint64{1, 2}
			}
			f.Serve(ctx, call, &c)
			took = time.Since(start)
			end := time.Now()
			leave()
			time.Sleep(2 * time.Second)
			l.mu.Lock()
			lateClose = l.closedAt.Sub(end)
			l.mu.Unlock()
			left = p.LocalLoads(true)
		})
		if gone == forever {
			for id, x := range left {
				if x != (placer.EntryLoad{}) {
					rt.Errorf("grant not released: %s %+v", id, x)
				}
			}
		}
		if ends.Load() != 1 {
			rt.Errorf("the request ended %d times", ends.Load())
		}
		total := 0
		for id, n := range maps.All(l.open) {
			if n != 0 {
				rt.Errorf("%d connections to %s still open", n, id)
			}
			total += l.sent[id]
		}
		if lateClose > 500*time.Millisecond {
			rt.Errorf("a connection was closed %s after the end", lateClose)
		}
		if l.runs > r.MaxAttempts {
			rt.Errorf("may have run %d times of %d", l.runs, r.MaxAttempts)
		}
		if total > 4 {
			rt.Errorf("sent %d times", total)
		}
		if total > 1+int(tokens) {
			rt.Errorf("sent %d times with %v retry tokens", total, tokens)
		}
		if c.failedWith(filbertstile.NotRun) && l.runs > 0 {
			rt.Errorf("reported as not run, but may have run")
		}
		limit := min(deadline, leaveAt) + 251*time.Millisecond
		if took > limit {
			rt.Errorf("took %s, more than %s", took, limit)
		}
		whole := events(1, lastEvent, nil).body
		if got := c.body.String(); r.Kind == filbertstile.CallStream && got != "error" && !strings.HasPrefix(whole, got) {
			rt.Errorf("the caller got %q", got)
		}
		if r.Kind == filbertstile.CallStream && c.status == 200 && !c.aborted && c.body.String() != whole {
			rt.Errorf("a part of the stream looks complete: %q", c.body.String())
		}
		if c.status == 0 && c.failure == nil && !c.aborted {
			rt.Error("neither an answer nor an error")
		}
		if leaveAt == forever && c.aborted && c.status == 0 {
			rt.Error("aborted without a caller who left")
		}
	})
}
