package edgerunner_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/outside/tracker"
	"filbertstile.example/filbertstile/shells/edgerunner"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// datagrams connects the entries of a test.
type datagrams struct {
	mu      sync.Mutex
	inboxes map[string]chan []byte
	// largest is the size of the largest datagram.
	largest int
	// cut holds the addresses whose datagrams are lost, in both directions.
	cut map[string]bool
	// sent counts the datagrams by the addresses of sender and receiver.
	sent map[[2]string]int
}

// datagramConn is the connection of one entry.
type datagramConn struct {
	network *datagrams
	address string
	inbox   chan []byte
	closed  chan struct{}
}

func (n *datagrams) connect(address string) datagramConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := datagramConn{network: n, address: address, inbox: make(chan []byte, 1024), closed: make(chan struct{})}
	n.inboxes[address] = c.inbox
	return c
}

// setCut sets whether the datagrams from and to the address are lost.
func (n *datagrams) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = make(map[string]bool)
	}
	n.cut[address] = cut
}

func (n *datagrams) largestSent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.largest
}

func (c datagramConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case data := <-c.inbox:
		time.Sleep(time.Millisecond)
		return copy(b, data), &net.UDPAddr{}, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c datagramConn) WriteTo(b []byte, to net.Addr) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.largest = max(c.network.largest, len(b))
	if c.network.sent != nil {
		c.network.sent[[2]string{c.address, to.String()}]++
	}
	if c.network.cut[c.address] || c.network.cut[to.String()] {
		return len(b), nil
	}
	select {
	case c.network.inboxes[to.String()] <- append([]byte(nil), b...):
	default: // lost
	}
	return len(b), nil
}

func (c datagramConn) Close() error { close(c.closed); return nil }

// listedStore lists a number of objects under each prefix.
type listedStore struct {
	filbertstile.Store
	counts map[string]int
	// late holds the time that the list of a prefix takes.
	late map[string]time.Duration
}

func (s *listedStore) List(_ context.Context, prefix, _ string) (filbertstile.Batch, error) {
	time.Sleep(s.late[prefix])
	b := filbertstile.Batch{Revision: 1}
	for i := range s.counts[prefix] {
		b.Objects = append(b.Objects, filbertstile.Object{Key: fmt.Sprintf("%s%d", prefix, i)})
	}
	return b, nil
}

func (s *listedStore) Watch(ctx context.Context, _ string, after uint64) (filbertstile.Batch, error) {
	select {
	case <-time.After(watchTimeout):
		return filbertstile.Batch{Revision: after}, nil
	case <-ctx.Done():
		return filbertstile.Batch{}, ctx.Err()
	}
}

func newListedTracker[T filbertstile.Row](s *listedStore, prefix string, log *reporter.Log, onChange func(), decode func(name string) T) *tracker.Tracker[T] {
	started := time.Now()
	return tracker.New(tracker.Config[T]{
		Store: s, Prefix: prefix, WatchTimeout: watchTimeout, Log: log, OnChange: onChange,
		Clock:  func() time.Duration { return time.Since(started) },
		Decode: func(o filbertstile.Object) (T, error) { return decode(strings.TrimPrefix(o.Key, prefix)), nil },
	})
}

// badKey is the key of the request that ends replicas.
const badKey = uint64(1<<63 + 7)

// crashingReplicas is a Link whose replicas end under requests with the part 7 or with badKey,
// and a Prober that finds all of them ended.
type crashingReplicas struct {
	mu    sync.Mutex
	sends int
	// ended holds the replicas that have ended; none is started again.
	ended map[string]bool
}

func (c *crashingReplicas) Send(_ context.Context, a forwarder.Attempt) (forwarder.Response, error) {
	time.Sleep(100 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended[a.Replica.ID] {
		return forwarder.Response{}, exchanger.ErrNotSent{Cause: syscall.ECONNREFUSED}
	}
	if a.Call.Key == badKey || len(a.Call.PromptParts) > 1 && a.Call.PromptParts[1] == 7 {
		c.sends++
		c.ended[a.Replica.ID] = true
		return forwarder.Response{}, exchanger.ErrNoResponse{Cause: io.ErrUnexpectedEOF}
	}
	return forwarder.Response{Verdict: forwarder.Ran, Status: 200, Body: soundBody{strings.NewReader("answer")}}, nil
}

func (c *crashingReplicas) sent() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sends
}

func (*crashingReplicas) Probe(context.Context, string) forwarder.Liveness { return forwarder.Ended }

type soundBody struct{ io.Reader }

func (soundBody) SetReadDeadline(time.Time) {}
func (soundBody) Close()                    {}
func (soundBody) Discard()                  {}

// errorWriter is a ResponseWriter that keeps the error.
type errorWriter struct{ failure *filbertstile.ErrRequest }

func (*errorWriter) WriteResponse(forwarder.Response, []byte) error { return nil }
func (*errorWriter) WriteHeader(forwarder.Response) error           { return nil }
func (*errorWriter) WriteEvent([]byte) error                        { return nil }
func (*errorWriter) Flush() error                                   { return nil }
func (w *errorWriter) WriteError(e filbertstile.ErrRequest)         { w.failure = &e }
func (*errorWriter) Abort()                                         {}

// evidenceRig is a system of entries that exchange heartbeats.
type evidenceRig struct {
	network  *datagrams
	store    *listedStore
	replicas *crashingReplicas
	// link replaces replicas; nil if replicas takes the requests.
	link    forwarder.Link
	entries int
	// engine is the model engine of the replicas; nil if they are plain services.
	engine *filbertstile.EngineSpec
	// slots is the number of slots of each replica.
	slots int
	// coldRate is the rate limit of cold replicas; 0 is none.
	coldRate float64
	// domains is the number of failure domains of the entries; 0 is one.
	domains int
}

// member returns the entry with the index.
func (r *evidenceRig) member(i int) filbertstile.Member {
	domain := "d"
	if r.domains > 0 {
		domain = fmt.Sprint("d", i%r.domains)
	}
	return filbertstile.Member{Name: fmt.Sprint("e", i), Role: filbertstile.RoleEntry, Domain: domain, Region: "r1", Address: fmt.Sprintf("10.0.0.%d:80", i)}
}

// start starts the entry with the index, and returns a function that stops it.
func (r *evidenceRig) start(ctx context.Context, i int, incarnation int64) (*edgerunner.Edge, func()) {
	ctx, cancel := context.WithCancel(ctx)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := reporter.New(reporter.Config{Logger: logger})
	member := func(name string) filbertstile.Member {
		index, err := strconv.Atoi(name)
		if err != nil {
			panic(err)
		}
		return r.member(index)
	}
	self := r.member(i)
	link := r.link
	if link == nil {
		link = r.replicas
	}
	e := edgerunner.New(edgerunner.Config{
		Self: self, Log: log, Metrics: metrics.NewRegistry(), CloseExpiredConns: func() {}, Link: link, Prober: r.replicas,
		RetryBudget: forwarder.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 1000},
		Placer:      placer.Config{ColdBurst: 1.5, ColdSlack: 5},
		Bounds:      edgerunner.Bounds{RevokeTimeout: 5 * time.Second, RolloutTimeout: 8 * time.Second, StopTimeout: 8 * time.Second, SettleTime: 3 * time.Second},
	})
	e.Connect(edgerunner.Sources{
		Routing: newListedTracker(r.store, "config/", log, e.Refresh, func(string) filbertstile.Routing {
			out := routing()
			out.Pools = filbertstile.NewTable(filbertstile.PoolSpec{Service: "s", Engine: r.engine, ColdRequestsPerSecond: r.coldRate})
			return out
		}),
		Replicas: newListedTracker(r.store, "servers/", log, e.Refresh, func(name string) filbertstile.Replica {
			return filbertstile.Replica{ID: name, Service: "s", Address: name, Slots: r.slots, Version: 1}
		}),
		Marks:   newListedTracker(r.store, "evacuations/", log, e.Refresh, func(string) filbertstile.Mark { return filbertstile.Mark{} }),
		Weights: newListedTracker(r.store, "versions/", log, e.Refresh, func(string) filbertstile.WeightsVersion { return filbertstile.WeightsVersion{} }),
		Members: newListedTracker(r.store, "members/", log, e.Refresh, member),
	}, r.network.connect(self.Address), incarnation)
	done := make(chan struct{})
	go func() { e.Run(ctx); close(done) }()
	return e, func() { cancel(); <-done }
}

// send sends a request with the parts and returns the code of its error.
func (r *evidenceRig) send(ctx context.Context, is *is.I, e *edgerunner.Edge, parts ...uint64) string {
	return r.sendWithKey(ctx, is, e, 0, parts...)
}

// sendWithKey is like send, with the key of the request.
func (r *evidenceRig) sendWithKey(ctx context.Context, is *is.I, e *edgerunner.Edge, key uint64, parts ...uint64) string {
	c, err := e.Admit(edgerunner.Request{ID: "1", HostName: "a", Path: "/public/x", PromptParts: parts, Arrived: time.Now()})
	is.NoErr(err)
	c.Route.TargetLatency, c.Key = 500*time.Millisecond, key
	w := &errorWriter{}
	e.Serve(ctx, c, w)
	if w.failure == nil {
		return ""
	}
	return w.failure.Code
}

// TestAllEntriesLearnBlockedRequest guards against entries, in other groups and after a restart
// too, that send a request that has crashed replicas of others.
func TestAllEntriesLearnBlockedRequest(t *testing.T) {
	for _, entries := range []int{2, 12, 100} {
		t.Run(fmt.Sprintf("entries=%d", entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &evidenceRig{
					network: &datagrams{inboxes: make(map[string]chan []byte)}, replicas: &crashingReplicas{ended: make(map[string]bool)}, entries: entries, slots: 4,
					store: &listedStore{counts: map[string]int{"config/": 1, "servers/": 40, "members/": entries}},
				}
				edges, stops := make([]*edgerunner.Edge, entries), make([]func(), entries)
				for i := range entries {
					edges[i], stops[i] = r.start(t.Context(), i, 1)
				}
				defer func() {
					for _, stop := range stops {
						stop()
					}
					advance(time.Second)
				}()
				advance(3 * time.Second)
				for i := range 200 {
					r.sendWithKey(t.Context(), is, edges[i*7%entries], badKey)
					advance(100 * time.Millisecond)
				}
				sends := r.replicas.sent()
				t.Logf("sent %d times; largest datagram %d bytes", sends, r.network.largestSent())
				is.True(sends <= 6) // three later than 3 s after the third
				is.True(r.network.largestSent() < 1400)
				stops[0]()
				edges[0], stops[0] = r.start(t.Context(), 0, 2)
				advance(2 * time.Second)
				for i, e := range edges {
					is.Equal(r.sendWithKey(t.Context(), is, e, badKey), forwarder.CodeRequest)
					is.Equal(r.sendWithKey(t.Context(), is, e, badKey+1+uint64(i)), "")
				}
				is.Equal(r.replicas.sent(), sends)
			})
		})
	}
}

// TestAllEntriesLearnBlockedPart guards against entries, in other groups and after a restart
// too, that send requests with a part that has crashed replicas of others.
func TestAllEntriesLearnBlockedPart(t *testing.T) {
	for _, entries := range []int{2, 12, 100} {
		t.Run(fmt.Sprintf("entries=%d", entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &evidenceRig{
					network: &datagrams{inboxes: make(map[string]chan []byte)}, replicas: &crashingReplicas{ended: make(map[string]bool)}, entries: entries, slots: 4,
					store: &listedStore{counts: map[string]int{"config/": 1, "servers/": 40, "members/": entries}},
				}
				edges, stops := make([]*edgerunner.Edge, entries), make([]func(), entries)
				for i := range entries {
					edges[i], stops[i] = r.start(t.Context(), i, 1)
				}
				defer func() {
					for _, stop := range stops {
						stop()
					}
					advance(time.Second)
				}()
				advance(3 * time.Second)
				for i := range 60 {
					r.send(t.Context(), is, edges[i*7%entries], uint64(50+i), 7)
					advance(100 * time.Millisecond)
				}
				sends := r.replicas.sent()
				t.Logf("sent %d times; largest datagram %d bytes", sends, r.network.largestSent())
				is.True(sends <= 5)
				is.True(r.network.largestSent() < 1400) // no fragments
				advance(800 * time.Millisecond)
				stops[0]()
				edges[0], stops[0] = r.start(t.Context(), 0, 2)
				advance(2 * time.Second)
				for _, e := range edges {
					is.Equal(r.send(t.Context(), is, e, 1, 7), forwarder.CodePromptPart)
					is.Equal(r.send(t.Context(), is, e, 1, 8), "")
				}
				is.Equal(r.replicas.sent(), sends)
				is.True(slices.ContainsFunc(edges[entries-1].Dump().Suspects, func(x edgerunner.Suspect) bool { return x.Part == "7" && x.State == "Blocked" }))
			})
		})
	}
}
