package measurer

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/rigs/caller"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/rigs/shaper"
	"filbertstile.example/filbertstile/rigs/stager"
	"filbertstile.example/filbertstile/transport/connector"
	"filbertstile.example/filbertstile/transport/responder"
)

const (
	idleTime       = 20 * time.Second
	settleTime     = 8 * time.Second
	trialChanges   = 20
	pathRequests   = 400
	addedBound     = 1.5
	addedRequests  = 3000
	addedWarm      = 300
	pathConcurrent = 8
)

// measureControlBytes counts what an idle system sends, and what a change adds.
func measureControlBytes(ctx context.Context) ([]Line, error) {
	var host, entry, root, change, reads, writes []point
	for _, n := range []int{14, 28, 56} {
		b, err := controlBytes(ctx, n)
		if err != nil {
			return nil, err
		}
		size := float64(n)
		host = append(host, point{size, b.host})
		entry = append(entry, point{size, b.entry})
		root = append(root, point{size, b.root})
		change = append(change, point{size, b.change})
		reads = append(reads, point{size, b.reads})
		writes = append(writes, point{size, b.writes})
	}
	lines := fit("HostControl", "bytes/s", "Host", host)
	lines = append(lines, fit("EntryControl", "bytes/s", "Host", entry)...)
	lines = append(lines, fit("RootControl", "bytes/s", "Host", root)...)
	lines = append(lines, fit("ChangeBytes", "bytes", "Host", change)...)
	lines = append(lines, fit("StoreReads", "calls/s", "Host", reads)...)
	lines = append(lines, fit("StoreWrites", "calls/s", "Host", writes)...)
	return append(lines, messageSizes()...), nil
}

// control is the traffic of one size, for the busiest process of each role.
type control struct {
	host   float64
	entry  float64
	root   float64
	change float64
	reads  float64
	writes float64
}

func controlBytes(ctx context.Context, n int) (control, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := stager.New(stager.Config{Deployment: brief(n), Base: shaper.NewMemory(), Logger: quiet()})
	if err := s.Start(ctx); err != nil {
		return control{}, err
	}
	defer s.Close()
	if err := s.AwaitReady(ctx); err != nil {
		return control{}, err
	}
	if err := s.Install(ctx); err != nil {
		return control{}, err
	}
	if err := sleeper.Sleep(ctx, settleTime); err != nil {
		return control{}, err
	}
	before, calls := traffic(s), s.Objects.Calls()
	if err := sleeper.Sleep(ctx, idleTime); err != nil {
		return control{}, err
	}
	idle, idleCalls := traffic(s), s.Objects.Calls()
	for i := range trialChanges {
		mark := filbertstile.Mark{Kind: filbertstile.MarkHost, Name: fmt.Sprint("trial-", i), Out: true}
		if _, err := s.Propose(ctx, s.Entries[0], proposalOf(mark)); err != nil {
			return control{}, err
		}
	}
	if err := sleeper.Sleep(ctx, idleTime); err != nil {
		return control{}, err
	}
	busy := traffic(s)
	roots := make(map[string]bool)
	for _, e := range s.Entries {
		roots[e.Settings.Identity.Name] = e.Entry.Node().Relay.Place().Root
	}
	var out control
	seconds := idleTime.Seconds()
	for name, b := range idle {
		rate := float64(b-before[name]) / seconds
		switch {
		case roots[name]:
			out.root = max(out.root, rate)
		case strings.HasPrefix(name, "entry-"):
			out.entry = max(out.entry, rate)
		case strings.HasPrefix(name, modelService):
			out.host = max(out.host, rate)
			extra := float64(busy[name]-b) - float64(b-before[name])
			out.change = max(out.change, extra/trialChanges)
		}
	}
	out.reads = float64(idleCalls.Reads+idleCalls.Watches-calls.Reads-calls.Watches) / seconds
	out.writes = float64(idleCalls.Writes-calls.Writes) / seconds
	return out, nil
}

func traffic(s *stager.Stage) map[string]int64 {
	out := make(map[string]int64)
	for _, t := range s.Fabric.SiteTraffic() {
		out[t.Site.Name] = t.Sent + t.Received
	}
	return out
}

// directStage is one entry and one backend server on loopback, without links.
func directStage(ctx context.Context, service stager.Served) (*stager.Stage, error) {
	d := brief(1)
	d.Entries = 1
	d.Services = []stager.Served{service}
	d.Accounts = []stager.Caller{{Token: topTier, Account: filbertstile.Account{Name: topTier, Tier: topTier, RatePerSecond: 1e6, Burst: 1e6}}}
	s := stager.New(stager.Config{Deployment: d, Base: connector.NewTCP(), Logger: quiet(), Direct: true})
	if err := s.Start(ctx); err != nil {
		return nil, err
	}
	if err := s.AwaitReady(ctx); err != nil {
		return nil, err
	}
	return s, s.Install(ctx)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the call cannot fail for the process itself
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measurePath measures the processor time of whole requests, callers and
// stand-ins included, against the number of tokens.
func measurePath(ctx context.Context) ([]Line, error) {
	service := brief(1).Services[0]
	service.TokenDelay = 0
	service.MaxRunning = 64
	s, err := directStage(ctx, service)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	if _, err := s.AddRelease(ctx, modelService, imitator.ReleaseConfig{Name: releaseName, Seed: 1, ChunkBytes: 1 << 10, Chunks: 4}); err != nil {
		return nil, err
	}
	if err := s.AwaitRelease(ctx, modelService, releaseName, 1); err != nil {
		return nil, err
	}
	c := caller.New(caller.Config{Client: s.HTTPClient(stager.CallerSite()), Seeds: []string{s.Entries[0].Settings.HTTPAddress}, Token: topTier})
	for range addedWarm {
		c.Complete(ctx, modelService, "warm", 8, true)
	}
	var points []point
	for _, tokens := range []int{1, 32, 128} {
		began := processorTime()
		var wg sync.WaitGroup
		for range pathConcurrent {
			wg.Go(func() {
				for range pathRequests / pathConcurrent {
					c.Complete(ctx, modelService, "path", tokens, true)
				}
			})
		}
		wg.Wait()
		points = append(points, point{float64(tokens), float64((processorTime() - began).Microseconds()) / pathRequests})
	}
	return fit("Path", "us", "Token", points), nil
}

func addedMeasures() []Measure {
	return []Measure{{Name: "Entry.AddedLatency", Wall: true, Run: measureAdded}}
}

// measureAdded compares a call through an entry and a host with one through a
// plain forwarder.
func measureAdded(ctx context.Context) ([]Line, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := directStage(ctx, stager.Served{
		Service: filbertstile.Service{Name: ledgerService, Kind: filbertstile.ServicePlain}, Replicas: 1, MaxRunning: 64,
	})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	backend := s.Hosts[0].Settings.Backend
	forwarder, err := startForwarder(ctx, backend)
	if err != nil {
		return nil, err
	}
	direct := p50(ctx, "http://"+backend+"/state-of-things")
	forwarded := p50(ctx, "http://"+forwarder+"/state-of-things")
	through := p50(ctx, "http://"+s.Entries[0].Settings.HTTPAddress+"/services/"+ledgerService+"/state-of-things")
	p := Params{{"DirectMicroseconds", direct}, {"ForwarderMicroseconds", forwarded}, {"EntryMicroseconds", through}, {"Requests", addedRequests}}
	return []Line{
		atMost("Entry.AddedLatency", (through-direct)/(forwarded-direct), "ratio", addedBound, p),
		plain("Entry.AddedLatency.Baseline", 1, "ratio", p),
	}, nil
}

// startForwarder runs the least forwarder that one would write.
func startForwarder(ctx context.Context, backend string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	client := &fasthttp.HostClient{Addr: backend}
	go func() {
		_ = responder.Serve(ctx, l, responder.Config{Name: "forwarder", Handler: func(rc *fasthttp.RequestCtx) {
			if err := client.Do(&rc.Request, &rc.Response); err != nil {
				rc.SetStatusCode(fasthttp.StatusBadGateway)
			}
		}})
	}()
	return l.Addr().String(), nil
}

// p50 returns the median time of a call in microseconds.
func p50(ctx context.Context, url string) float64 {
	h := metrics.NewHistogram(metrics.NewUniformSample(addedRequests))
	var req fasthttp.Request
	req.SetRequestURI(url)
	req.Header.Set("Authorization", "Bearer "+topTier)
	for i := range addedRequests + addedWarm {
		var resp fasthttp.Response
		began := time.Now()
		if err := fasthttp.Do(&req, &resp); err != nil || resp.StatusCode() != fasthttp.StatusOK || ctx.Err() != nil {
			continue
		}
		if i >= addedWarm {
			h.Update(time.Since(began).Microseconds())
		}
	}
	values := h.Sample().Values()
	slices.Sort(values)
	if len(values) == 0 {
		return 0
	}
	return float64(values[len(values)/2])
}
