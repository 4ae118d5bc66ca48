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
	idlePeriod      = 20 * time.Second
	settlePeriod    = 8 * time.Second
	measuredChanges = 20
	pathRequests    = 400
	// addedLatencyBound bounds the ratio of the latency that an entry and a host add to the
	// latency that a minimal forwarder adds.
	addedLatencyBound = 1.5
	latencyRequests   = 3000
	warmUpRequests    = 300
	pathConcurrency   = 8
)

// measureControlTrafficSizes measures the control traffic of idle deployments of several
// sizes, and the traffic that a configuration change adds.
func measureControlTrafficSizes(ctx context.Context) ([]Figure, error) {
	var host, entry, root, change, reads, writes []point
	for _, n := range []int{14, 28, 56} {
		traffic, err := measureControlTraffic(ctx, n)
		if err != nil {
			return nil, err
		}
		size := float64(n)
		host = append(host, point{size, traffic.host})
		entry = append(entry, point{size, traffic.entry})
		root = append(root, point{size, traffic.root})
		change = append(change, point{size, traffic.change})
		reads = append(reads, point{size, traffic.reads})
		writes = append(writes, point{size, traffic.writes})
	}
	figures := fitLine("HostControl", "bytes/s", "Host", host)
	figures = append(figures, fitLine("EntryControl", "bytes/s", "Host", entry)...)
	figures = append(figures, fitLine("RootControl", "bytes/s", "Host", root)...)
	figures = append(figures, fitLine("ChangeBytes", "bytes", "Host", change)...)
	figures = append(figures, fitLine("StoreReads", "calls/s", "Host", reads)...)
	figures = append(figures, fitLine("StoreWrites", "calls/s", "Host", writes)...)
	return append(figures, messageSizes()...), nil
}

// controlTraffic is the control traffic of a deployment.
type controlTraffic struct {
	// host, entry and root are the bytes per second of the busiest process with that role in
	// an idle deployment.
	host  float64
	entry float64
	root  float64
	// change is the number of bytes that a configuration change adds at the busiest host.
	change float64
	// reads and writes are the calls per second of the object API by all processes. Watches
	// count as reads.
	reads  float64
	writes float64
}

// measureControlTraffic measures the control traffic with n replicas.
func measureControlTraffic(ctx context.Context, n int) (controlTraffic, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := stager.New(stager.Config{Deployment: newDeployment(n), Base: shaper.NewMemory(), Logger: discardLogger()})
	if err := s.Start(ctx); err != nil {
		return controlTraffic{}, err
	}
	defer s.Close()
	if err := s.AwaitReady(ctx); err != nil {
		return controlTraffic{}, err
	}
	if err := s.Install(ctx); err != nil {
		return controlTraffic{}, err
	}
	if err := sleeper.Sleep(ctx, settlePeriod); err != nil {
		return controlTraffic{}, err
	}
	before, callsBefore := siteTraffic(s), s.Objects.Calls()
	if err := sleeper.Sleep(ctx, idlePeriod); err != nil {
		return controlTraffic{}, err
	}
	idle, callsAfter := siteTraffic(s), s.Objects.Calls()
	for i := range measuredChanges {
		mark := filbertstile.Mark{Kind: filbertstile.MarkHost, Name: fmt.Sprint("trial-", i), Out: true}
		if _, err := s.Propose(ctx, s.Entries[0], newProposal(mark)); err != nil {
			return controlTraffic{}, err
		}
	}
	if err := sleeper.Sleep(ctx, idlePeriod); err != nil {
		return controlTraffic{}, err
	}
	changed := siteTraffic(s)
	roots := make(map[string]bool)
	for _, e := range s.Entries {
		roots[e.Settings.Identity.Name] = e.Entry.Node().Relay.Place().Root
	}
	var out controlTraffic
	seconds := idlePeriod.Seconds()
	for name, b := range idle {
		rate := float64(b-before[name]) / seconds
		switch {
		case roots[name]:
			out.root = max(out.root, rate)
		case strings.HasPrefix(name, "entry-"):
			out.entry = max(out.entry, rate)
		case strings.HasPrefix(name, modelService):
			out.host = max(out.host, rate)
			extra := float64(changed[name]-b) - float64(b-before[name])
			out.change = max(out.change, extra/measuredChanges)
		}
	}
	out.reads = float64(callsAfter.Reads+callsAfter.Watches-callsBefore.Reads-callsBefore.Watches) / seconds
	out.writes = float64(callsAfter.Writes-callsBefore.Writes) / seconds
	return out, nil
}

// siteTraffic returns the bytes sent and received so far by each site.
func siteTraffic(s *stager.Stage) map[string]int64 {
	out := make(map[string]int64)
	for _, t := range s.Fabric.SiteTraffic() {
		out[t.Site.Name] = t.Sent + t.Received
	}
	return out
}

// startDirectStage starts one entry and one backend server that communicate over loopback
// without simulated links.
func startDirectStage(ctx context.Context, service stager.ServiceSpec) (*stager.Stage, error) {
	d := newDeployment(1)
	d.Entries = 1
	d.Services = []stager.ServiceSpec{service}
	d.Accounts = []stager.AccountSpec{{Token: topTier, Account: filbertstile.Account{Name: topTier, Tier: topTier, RatePerSecond: 1e6, Burst: 1e6}}}
	s := stager.New(stager.Config{Deployment: d, Base: connector.NewTCP(), Logger: discardLogger(), Direct: true})
	if err := s.Start(ctx); err != nil {
		return nil, err
	}
	if err := s.AwaitReady(ctx); err != nil {
		return nil, err
	}
	return s, s.Install(ctx)
}

// cpuTime returns the CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the call cannot fail for the process itself
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measurePath measures the CPU time of complete requests, including the caller and the
// stand-ins, as a function of the number of tokens.
func measurePath(ctx context.Context) ([]Figure, error) {
	service := newDeployment(1).Services[0]
	service.TokenDelay = 0
	service.MaxRunning = 64
	s, err := startDirectStage(ctx, service)
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
	c := caller.New(caller.Config{Client: s.HTTPClient(stager.CallerSite()), InitialEntries: []string{s.Entries[0].Settings.HTTPAddress}, Token: topTier})
	for range warmUpRequests {
		c.Complete(ctx, modelService, "warm", 8, true)
	}
	var points []point
	for _, tokens := range []int{1, 32, 128} {
		start := cpuTime()
		var wg sync.WaitGroup
		for range pathConcurrency {
			wg.Go(func() {
				for range pathRequests / pathConcurrency {
					c.Complete(ctx, modelService, "path", tokens, true)
				}
			})
		}
		wg.Wait()
		points = append(points, point{float64(tokens), float64((cpuTime() - start).Microseconds()) / pathRequests})
	}
	return fitLine("Path", "us", "Token", points), nil
}

func latencyMeasurements() []Measurement {
	return []Measurement{{Name: "Entry.AddedLatency", WallClock: true, Run: measureAddedLatency}}
}

// measureAddedLatency compares the latency that an entry and a host add to a call with the
// latency that a minimal forwarder adds.
func measureAddedLatency(ctx context.Context) ([]Figure, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := startDirectStage(ctx, stager.ServiceSpec{
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
	direct := medianLatency(ctx, "http://"+backend+"/state-of-things")
	forwarded := medianLatency(ctx, "http://"+forwarder+"/state-of-things")
	viaEntry := medianLatency(ctx, "http://"+s.Entries[0].Settings.HTTPAddress+"/services/"+ledgerService+"/state-of-things")
	p := Params{{"DirectMicroseconds", direct}, {"ForwarderMicroseconds", forwarded}, {"EntryMicroseconds", viaEntry}, {"Requests", latencyRequests}}
	return []Figure{
		atMost("Entry.AddedLatency", (viaEntry-direct)/(forwarded-direct), "ratio", addedLatencyBound, p),
		unbounded("Entry.AddedLatency.Baseline", 1, "ratio", p),
	}, nil
}

// startForwarder starts a minimal HTTP forwarder and returns its address.
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

// medianLatency returns the median latency of successful calls in microseconds, or 0 if none
// succeeds.
func medianLatency(ctx context.Context, url string) float64 {
	h := metrics.NewHistogram(metrics.NewUniformSample(latencyRequests))
	var req fasthttp.Request
	req.SetRequestURI(url)
	req.Header.Set("Authorization", "Bearer "+topTier)
	for i := range latencyRequests + warmUpRequests {
		var resp fasthttp.Response
		start := time.Now()
		if err := fasthttp.Do(&req, &resp); err != nil || resp.StatusCode() != fasthttp.StatusOK || ctx.Err() != nil {
			continue
		}
		if i >= warmUpRequests {
			h.Update(time.Since(start).Microseconds())
		}
	}
	values := h.Sample().Values()
	slices.Sort(values)
	if len(values) == 0 {
		return 0
	}
	return float64(values[len(values)/2])
}
