package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/shells/forwarder"
)

const (
	// orderLate is a time until an answer at which a backup is under way, but not that of
	// a backup's own answer.
	orderLate = 1830 * time.Millisecond
	// runDelay is the time after which a request runs whose connection was reset before.
	runDelay = 400 * time.Millisecond
	// connectDelay is the time of a slow connection.
	connectDelay = 120 * time.Millisecond
	// restartDelay is the time after which another incarnation has a crashed replica's address.
	restartDelay = 20 * time.Millisecond
	// orderEvents is the number of events of a stream.
	orderEvents = 3
)

var (
	errReset       = fmt.Errorf("read: %w", syscall.ECONNRESET)
	errOtherAnswer = errors.New("the response belongs to another request")
)

// fate is what becomes of one send.
type fate struct {
	name string
	// refused is true if no connection is made, and connecting is the time that it takes.
	refused    bool
	connecting time.Duration
	// runs is true if the replica runs the request, runsAfter later.
	runs      bool
	runsAfter time.Duration
	// after is the time until the head of the response or, if err is set, the end.
	after time.Duration
	err   error
	// crashes is true if the replica's process ends as well.
	crashes bool
	verdict forwarder.Verdict
	// breaksAt is the part of the response before which the connection ends; 0 means none, and
	// pause is the time before the second part.
	breaksAt int
	pause    time.Duration
	// otherAnswer is true if a second answer to an earlier request arrives first.
	otherAnswer bool
}

// fates are all that may become of a send.
var fates = []fate{
	{name: "answered", runs: true},
	{name: "answered late", runs: true, after: orderLate},
	{name: "answered in two parts", runs: true, pause: orderLate},
	{name: "answered over a slow connection", runs: true, connecting: connectDelay},
	{name: "broken off at once", runs: true, breaksAt: 1},
	{name: "broken off midway", runs: true, breaksAt: 2},
	{name: "broken off midway, late", runs: true, breaksAt: 2, pause: orderLate},
	{name: "answered late and broken off midway", runs: true, after: orderLate, breaksAt: 2},
	{name: "reset before send", refused: true},
	{name: "reset before send, late", refused: true, connecting: connectDelay},
	{name: "reset, not run", err: errReset},
	{name: "reset, run", runs: true, err: errReset},
	{name: "reset late, run", runs: true, after: orderLate, err: errReset},
	{name: "reset, run later", runs: true, runsAfter: runDelay, err: errReset},
	{name: "crash", runs: true, err: io.EOF, crashes: true},
	{name: "crash late", runs: true, after: orderLate, err: io.EOF, crashes: true},
	{name: "not run", verdict: forwarder.NotRun},
	{name: "not run, late", verdict: forwarder.NotRun, after: orderLate},
	{name: "another incarnation at the address", verdict: forwarder.WrongReplica},
	{name: "failed", runs: true, verdict: forwarder.Failed},
	{name: "failed late", runs: true, verdict: forwarder.Failed, after: orderLate},
	{name: "malformed, run", runs: true, verdict: forwarder.Invalid},
	{name: "malformed, not run", verdict: forwarder.Invalid},
	{name: "malformed late, run", runs: true, verdict: forwarder.Invalid, after: orderLate},
	{name: "second answer to another request", runs: true, otherAnswer: true},
	{name: "no answer", runs: true, after: forever},
}

// orderWorld is a Link and a Prober that choose the fate of each send, and know what has run.
type orderWorld struct {
	choices *choices
	fates   []fate
	started time.Time
	// took is the time until the request had ended.
	took time.Duration
	// restart replaces a crashed replica by another incarnation at the same address.
	restart func(id string)

	mu   sync.Mutex
	sent int
	// ranAt are the replicas that have run the request.
	ranAt []string
	open  int
	ended map[string]bool
	// history names the fates in their order, and sentAfter are the times of their sends.
	history   []string
	sentAfter []time.Duration
}

func newOrderWorld(c *choices, f []fate) *orderWorld {
	return &orderWorld{choices: c, fates: f, started: time.Now(), restart: func(string) {}, ended: make(map[string]bool)}
}

// nextFate chooses the fate of a send. All times of one send differ from those of
// the others, so that no two events coincide.
func (w *orderWorld) nextFate() fate {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.fates[w.choices.choose(len(w.fates))]
	w.sent++
	w.history, w.sentAfter = append(w.history, f.name), append(w.sentAfter, time.Since(w.started))
	offset := time.Duration(w.sent) * 7 * time.Millisecond
	f.after += offset
	f.connecting += offset / 7
	return f
}

// sentBefore returns the fates of what was sent earlier than the time.
func (w *orderWorld) sentBefore(after time.Duration) []string {
	n := 0
	for n < len(w.sentAfter) && w.sentAfter[n] < after {
		n++
	}
	return w.history[:n]
}

func (w *orderWorld) ran(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ranAt = append(w.ranAt, id)
}

func (w *orderWorld) opened(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open += n
}

// Send sends the attempt.
func (w *orderWorld) Send(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error) {
	id := a.Replica.ID
	f := w.nextFate()
	notSent := func(err error) (forwarder.Response, error) {
		return forwarder.Response{}, exchanger.ErrNotSent{Peer: id, Cause: err}
	}
	if err := sleepUntilDone(ctx, f.connecting); err != nil {
		return notSent(err)
	}
	if f.refused {
		return notSent(errReset)
	}
	if err := a.CheckSend(); err != nil {
		return notSent(err)
	}
	if f.runs {
		time.AfterFunc(f.runsAfter, func() { w.ran(id) })
	}
	return w.respond(ctx, a, f)
}

// respond returns what the Link reads after it has sent the request.
func (w *orderWorld) respond(ctx context.Context, a forwarder.Attempt, f fate) (forwarder.Response, error) {
	id, written := a.Replica.ID, time.Now()
	w.opened(1)
	lost := func(err error) (forwarder.Response, error) {
		w.opened(-1)
		return forwarder.Response{}, exchanger.ErrNoResponse{Peer: id, Cause: err, WrittenAt: written}
	}
	if err := sleepUntilDone(ctx, f.after); err != nil {
		return lost(err)
	}
	if f.crashes {
		w.crash(id)
	}
	if f.otherAnswer {
		f.err = errOtherAnswer
	}
	if f.err != nil {
		return lost(f.err)
	}
	b := &orderedBody{ctx: ctx, close: func() { w.opened(-1) }}
	out := forwarder.Response{Verdict: f.verdict, Status: 200, Head: a.Call.ID, Body: b, WrittenAt: written}
	switch f.verdict {
	case forwarder.NotRun, forwarder.WrongReplica:
		out.Status = 503
		return out, nil
	case forwarder.Failed:
		out.Status, b.parts = 500, []part{{data: "error"}}
		return out, nil
	case forwarder.Invalid:
		b.parts = []part{{data: "?"}}
		return out, nil
	case forwarder.Ran:
	}
	b.parts = []part{{data: "ans"}, {data: "wer"}}
	if out.Streamed = a.Call.Route.Kind == filbertstile.CallStream; out.Streamed {
		b.parts = nil
		for n := int(a.LastEventID.Number()) + 1; n <= orderEvents; n++ {
			b.parts = append(b.parts, part{data: events(n, n, nil).body})
		}
	}
	if len(b.parts) > 1 {
		b.parts[1].after = f.pause
	}
	if f.breaksAt > 0 && f.breaksAt <= len(b.parts) {
		b.parts[f.breaksAt-1] = part{after: b.parts[f.breaksAt-1].after, err: io.ErrUnexpectedEOF}
	}
	return out, nil
}

func (w *orderWorld) crash(id string) {
	w.mu.Lock()
	w.ended[id] = true
	w.mu.Unlock()
	time.AfterFunc(restartDelay, func() { w.restart(id) })
}

// Probe reports whether the process at the address runs. Addresses are the IDs of the first
// incarnations.
func (w *orderWorld) Probe(_ context.Context, address string) forwarder.Liveness {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended[address] {
		return forwarder.Ended
	}
	return forwarder.Alive
}

// sleepUntilDone sleeps, or returns the error of the context if that ends first.
func sleepUntilDone(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// orderedBody is the body of a response in parts.
type orderedBody struct {
	ctx   context.Context
	parts []part
	close func()
	once  sync.Once
}

func (b *orderedBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	next := b.parts[0]
	if err := sleepUntilDone(b.ctx, next.after); err != nil {
		return 0, err
	}
	b.parts = b.parts[1:]
	return copy(p, next.data), next.err
}

func (b *orderedBody) Discard() {}
func (b *orderedBody) Close()   { b.once.Do(b.close) }

// orderCaller is a ResponseWriter that records how often a request ends, and with what.
type orderCaller struct {
	ctx    context.Context
	status int
	// head is the Head of the response.
	head     any
	body     strings.Builder
	streamed bool
	failure  *filbertstile.ErrRequest
	// ends are the ends of the request, and late is what was written after the first.
	ends, late []string
}

var errAborted = errors.New("aborted")

func (c *orderCaller) write(what string) error {
	if len(c.ends) > 0 {
		c.late = append(c.late, what)
	}
	return c.ctx.Err()
}

func (c *orderCaller) end(what string) error {
	err := c.write(what)
	c.ends = append(c.ends, what)
	return err
}

// WriteResponse ends the request with a complete response.
func (c *orderCaller) WriteResponse(r forwarder.Response, b []byte) error {
	c.status, c.head = r.Status, r.Head
	c.body.Write(b)
	return c.end("response")
}

// WriteHeader begins a stream.
func (c *orderCaller) WriteHeader(r forwarder.Response) error {
	c.status, c.head, c.streamed = r.Status, r.Head, true
	return c.write("header")
}

// WriteEvent writes an event.
func (c *orderCaller) WriteEvent(e []byte) error {
	c.body.Write(e)
	return c.write("event")
}

// Flush does nothing.
func (c *orderCaller) Flush() error { return c.ctx.Err() }

// WriteError ends the request with an error.
func (c *orderCaller) WriteError(e filbertstile.ErrRequest) {
	c.failure = &e
	_ = c.end("error")
}

// Abort ends the request with its connection. It panics as that of an HTTP server does.
func (c *orderCaller) Abort() {
	if len(c.ends) == 0 || c.ends[0] != "response" {
		_ = c.end("abort") // nobody reads a response whose connection has ended
	}
	panic(errAborted)
}

// setIncarnations replaces the replicas of the placer. The keys are addresses, and the values
// count the incarnations before.
func setIncarnations(p *placer.Placer, incarnations map[string]int) {
	var rows []filbertstile.Replica
	for address, n := range incarnations {
		rows = append(rows, filbertstile.Replica{
			ID: address + strings.Repeat("'", n), Address: address, Born: time.Unix(int64(n), 0), Service: "s", Slots: 4,
		})
	}
	p.SetFleet(time.Now(), placer.Fleet{
		Replicas: filbertstile.NewTable(rows...), Pools: filbertstile.NewTable(filbertstile.PoolSpec{Service: "s"}), Entries: 1,
	})
}
