package forwarder_test

import (
	"context"
	"fmt"
	"slices"
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
	"filbertstile.example/filbertstile/decisions/suspector"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// choices goes through all sequences of choices, depth first.
type choices struct {
	// taken are the choices so far, and options the numbers of options that each had.
	taken, options []int
	// at is the number of choices made in the current run.
	at int
}

// choose returns a number below n.
func (c *choices) choose(n int) int {
	if c.at == len(c.taken) {
		c.taken, c.options = append(c.taken, 0), append(c.options, n)
	}
	c.at++
	return c.taken[c.at-1]
}

// repeated returns choices that begin with those of the last run.
func (c *choices) repeated() *choices {
	return &choices{taken: slices.Clone(c.taken), options: slices.Clone(c.options)}
}

// next begins the run of the next sequence, and returns false if there is none.
func (c *choices) next() bool {
	c.taken, c.options, c.at = c.taken[:c.at], c.options[:c.at], 0
	for last := len(c.taken) - 1; last >= 0; last-- {
		if c.taken[last]++; c.taken[last] < c.options[last] {
			c.taken, c.options = c.taken[:last+1], c.options[:last+1]
			return true
		}
	}
	return false
}

// interruption is what ends a request from outside.
type interruption struct {
	name  string
	after time.Duration
	// leaves is true if the caller leaves; otherwise the entry stops.
	leaves bool
}

// interruptions lie before the first send, beside it, and while a backup is under way.
var interruptions = []interruption{
	{name: "caller leaves at once", leaves: true},
	{name: "caller leaves while a connection is made", after: 500 * time.Microsecond, leaves: true},
	{name: "caller leaves during the first send", after: 5 * time.Millisecond, leaves: true},
	{name: "caller leaves during the second send", after: 12 * time.Millisecond, leaves: true},
	{name: "caller leaves as a backup begins", after: 1507 * time.Millisecond, leaves: true},
	{name: "caller leaves beside a backup", after: 1620 * time.Millisecond, leaves: true},
	{name: "entry stops during the first send", after: 5 * time.Millisecond},
	{name: "entry stops during the second send", after: 12 * time.Millisecond},
	{name: "entry stops beside a backup", after: 1620 * time.Millisecond},
}

// orderRoute is a kind of request to explore, and what may become of its sends.
type orderRoute struct {
	name  string
	route filbertstile.Route
	fates []fate
}

// maxRuns returns how often a request may run.
func maxRuns(r filbertstile.Route) int {
	if r.Retryable() {
		return r.MaxAttempts
	}
	return 1
}

var (
	once             = filbertstile.Route{Kind: filbertstile.CallNonIdempotent, MaxAttempts: 2, TargetLatency: 500 * time.Millisecond}
	onceStream       = filbertstile.Route{Kind: filbertstile.CallStream, MaxAttempts: 2, TargetLatency: 500 * time.Millisecond}
	repeatable       = filbertstile.Route{Kind: filbertstile.CallIdempotent, MaxAttempts: 2, TargetLatency: 500 * time.Millisecond}
	repeatableStream = filbertstile.Route{Kind: filbertstile.CallStream, MaxAttempts: 2, Resumable: true, TargetLatency: 500 * time.Millisecond}
)

// orderRoutes are explored. A request with three attempts may have a backup of its backup.
var orderRoutes = []orderRoute{
	{"Once", once, fates},
	{"OnceStream", onceStream, fates},
	{"Repeatable", repeatable, fates},
	{"RepeatableStream", repeatableStream, fates},
	{"ThreeAttempts", withAttempts(repeatable, 3), lateFates()},
	{"ThreeAttemptsStream", withAttempts(repeatableStream, 3), lateFates()},
}

func withAttempts(r filbertstile.Route, n int) filbertstile.Route {
	r.MaxAttempts = n
	return r
}

// lateFates are those in which a backup is begun, and the answer.
func lateFates() (out []fate) {
	for _, f := range fates {
		if f.name == "answered" || max(f.after, f.pause) >= orderLate {
			out = append(out, f)
		}
	}
	return out
}

const (
	orderDeadline = 4 * time.Second
	// orderEndSlack is how long a request may go on after its caller has left.
	orderEndSlack = 251 * time.Millisecond
)

// exploration goes through all orders of events of one request.
type exploration struct {
	route    orderRoute
	replicas int
	// wrapLink and wrapWriter put a fault in; nil means none.
	wrapLink   func(l forwarder.Link, w *orderWorld) forwarder.Link
	wrapWriter func(w forwarder.ResponseWriter) forwarder.ResponseWriter
	// declared is the route that the forwarder is told, if it is not the one of the request.
	declared *filbertstile.Route
}

// violations plays orders until enough returns true for the violations found so far. It returns
// them and the number of orders.
func (x exploration) violations(t *testing.T, enough func(found []string) bool) (orders int, out []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &choices{}
		interrupted := make(map[string]bool)
		play := func(c *choices, i interruption) *orderWorld {
			orders++
			w, broken := x.play(t.Context(), c, i)
			if len(broken) > 0 {
				out = append(out, fmt.Sprintf("%s: %s: %s", i.name, strings.Join(w.history, "; "), strings.Join(broken, ", ")))
			}
			return w
		}
		for more := true; more && !enough(out); more = c.next() {
			w := play(c, interruption{name: "no interruption", after: forever})
			for _, i := range interruptions {
				// Orders that differ only after the interruption are the same.
				key := i.name + fmt.Sprint(w.sentBefore(i.after))
				if i.after < w.took && !interrupted[key] {
					interrupted[key] = true
					play(c.repeated(), i)
				}
			}
		}
	})
	return orders, out
}

// play plays one order, and returns what it violates.
func (x exploration) play(ctx context.Context, choices *choices, i interruption) (*orderWorld, []string) {
	w := newOrderWorld(choices, x.route.fates)
	p := placer.New(placer.Config{Region: "a"})
	incarnations := map[string]int{}
	for _, id := range []string{"a", "b", "c"}[:x.replicas] {
		incarnations[id] = 0
	}
	setIncarnations(p, incarnations)
	var mu sync.Mutex
	w.restart = func(id string) {
		mu.Lock()
		defer mu.Unlock()
		incarnations[strings.TrimRight(id, "'")]++
		setIncarnations(p, incarnations)
	}
	var link forwarder.Link = w
	if x.wrapLink != nil {
		link = x.wrapLink(w, w)
	}
	log, reported := discardLog(), 0
	log.SetLevel(logrus.PanicLevel) // most of the time of an order would go into its log
	f := forwarder.New(forwarder.Config{
		Placer: p, Link: link, Prober: w, Suspector: suspector.New(suspector.Config{Self: "e"}),
		RetryBudget:  forwarder.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 100},
		Log:          reporter.New(reporter.Config{Logger: log}),
		VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) { reported++ },
	})
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	interrupt := leave
	if !i.leaves {
		interrupt = f.Stop
	}
	timer := time.AfterFunc(i.after, interrupt)
	defer timer.Stop()
	callerCtx := context.Background()
	if i.leaves {
		callerCtx = ctx
	}
	c := &orderCaller{ctx: callerCtx}
	started := time.Now()
	var panicked any
	func() {
		defer func() { panicked = recover() }()
		route := x.route.route
		if x.declared != nil {
			route = *x.declared
		}
		var writer forwarder.ResponseWriter = c
		if x.wrapWriter != nil {
			writer = x.wrapWriter(c)
		}
		f.Serve(ctx, &forwarder.Call{ID: "1", Route: route, Service: "s", Arrived: started, Deadline: started.Add(orderDeadline), Key: suspector.RequestKey(1)}, writer)
	}()
	w.took = time.Since(started)
	leave()
	time.Sleep(2 * time.Second) // whatever runs later has run
	v := orderVerdict{route: x.route.route, interruption: i, world: w, caller: c, panicked: panicked, reported: reported}
	out := v.violations()
	for id, load := range p.LocalLoads(true) {
		if load != (placer.EntryLoad{}) {
			out = append(out, "slot still taken at "+id)
		}
	}
	return w, out
}

// orderVerdict is how a request has ended.
type orderVerdict struct {
	route        filbertstile.Route
	interruption interruption
	world        *orderWorld
	caller       *orderCaller
	panicked     any
	// reported is the number of ends that the forwarder has reported.
	reported int
}

func (v orderVerdict) violations() (out []string) {
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	c, runs := v.caller, len(v.world.ranAt)
	add := func(broken bool, what string) {
		if broken {
			out = append(out, what)
		}
	}
	add(runs > maxRuns(v.route), fmt.Sprintf("ran %d times", runs))
	promised := c.failure != nil && c.failure.Run == filbertstile.NotRun || c.status == 503
	add(promised && runs > 0, "reported as not run, but ran")
	add(v.panicked != nil && v.panicked != errAborted, fmt.Sprintf("panic: %v", v.panicked))
	ends := slices.Clone(c.ends)
	if c.streamed && v.panicked == nil {
		ends = append(ends, "stream")
	}
	add(len(ends) != 1, fmt.Sprintf("ended %d times: %v", len(ends), ends))
	add(!v.interruption.leaves && !c.streamed && slices.Contains(ends, "abort"), "closed without an answer though the caller waits")
	add(v.reported != 1, fmt.Sprintf("reported %d ends", v.reported))
	add(len(c.late) > 0, fmt.Sprintf("written after the end: %v", c.late))
	add(c.head != nil && c.head != "1", "got the answer to another request")
	v.checkContent(add)
	add(v.world.took > min(orderDeadline, v.interruption.after)+orderEndSlack, fmt.Sprintf("ended after %s", v.world.took))
	add(v.world.open != 0, "connection still open")
	return out
}

// checkContent checks that the caller has only whole answers, or the beginning of a stream that
// does not look complete.
func (v orderVerdict) checkContent(add func(broken bool, what string)) {
	c, got := v.caller, v.caller.body.String()
	want := "answer"
	if v.route.Kind == filbertstile.CallStream {
		want = events(1, orderEvents, nil).body
	}
	switch {
	case c.status == 0:
		add(got != "", "content without a response")
	case c.status == 500:
		add(got != "error", fmt.Sprintf("failed with %q", got))
	case c.streamed && v.panicked != nil:
		add(!strings.HasPrefix(want, got), fmt.Sprintf("got %q", got))
	default:
		add(got != want, fmt.Sprintf("complete with %q", got))
	}
}

// TestEveryOrderOfEvents guards against a request that runs twice though it may run once, one that
// is reported as not run though it ran, and one that does not end exactly once, in any order of
// what can happen to its sends and of what ends it from outside.
func TestEveryOrderOfEvents(t *testing.T) {
	for _, r := range orderRoutes {
		for replicas := 1; replicas <= 3; replicas++ {
			t.Run(fmt.Sprintf("%s/%dReplicas", r.name, replicas), func(t *testing.T) {
				t.Parallel()
				orders, violations := exploration{route: r, replicas: replicas}.violations(t, func(found []string) bool { return len(found) >= 3 })
				for _, v := range violations {
					t.Error(v)
				}
				t.Logf("%d orders", orders)
			})
		}
	}
}

// TestChoicesAreComplete guards against sequences of choices that are left out or repeated.
func TestChoicesAreComplete(t *testing.T) {
	is := is.New(t)
	var got []string
	for c := (&choices{}); ; {
		s := fmt.Sprint(c.choose(3))
		if s == "1" {
			s += fmt.Sprint(c.choose(2))
		}
		if got = append(got, s); !c.next() {
			break
		}
	}
	is.Equal(got, []string{"0", "10", "11", "2"})
}
