package measurer

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/decisions/distributor"
	"filbertstile.example/filbertstile/outside/sourcer"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/rigs/shaper"
	"filbertstile.example/filbertstile/rigs/stager"
)

const (
	megabyte            = 1 << 20
	defaultChunkBytes   = 64 << 10
	distributionTimeout = 10 * time.Minute
	// hostsPerKill is the number of hosts of which one is killed.
	hostsPerKill = 10
	// Bounds of the distribution time, as ratios to the physical limit.
	timeBound      = 1.15
	faultTimeBound = 1.5
	// Bounds of the traffic on a link, in copies of the release.
	copiesBound      = 1.05
	faultCopiesBound = 1.5
	deltaCopiesBound = 0.12
	// deltaDivisor is the number of chunks of which one changes in the second release.
	deltaDivisor = 10
)

// distributionCase describes the distribution of a release.
type distributionCase struct {
	hosts      int
	bytes      int
	chunkBytes int
	// faults is true if faults are injected; see injectFaults.
	faults bool
	limits distributor.Limits
}

// params returns the parameters that are reported with the figures of the case.
func (c distributionCase) params() Params {
	return Params{
		{"Hosts", c.hosts}, {"Regions", 3}, {"Bytes", c.bytes}, {"ChunkBytes", c.chunkBytes},
		{"RegionBytesPerSecond", regionBytesPerSecond}, {"HostBytesPerSecond", hostBytesPerSecond}, {"OriginBytesPerSecond", originBytesPerSecond},
	}
}

// minSeconds returns the physical limit of the distribution time: the maximum of the times
// in which the origin sends one copy, a host receives one, all links together send one for
// each host, and a link between regions carries one.
func (c distributionCase) minSeconds() float64 {
	size, n := float64(c.bytes), float64(c.hosts)
	return max(size/originBytesPerSecond, size/hostBytesPerSecond, n*size/(originBytesPerSecond+n*hostBytesPerSecond), size/regionBytesPerSecond)
}

func distributionMeasurements() []Measurement {
	cases := []distributionCase{{hosts: 14, bytes: 64 * megabyte}, {hosts: 64, bytes: 32 * megabyte}, {hosts: 256, bytes: 16 * megabyte}}
	var out []Measurement
	for _, c := range cases {
		c.chunkBytes = defaultChunkBytes
		out = append(out, Measurement{
			Name: fmt.Sprintf("Distribution.%dHosts", c.hosts),
			Run:  func(ctx context.Context) ([]Figure, error) { return measureDistribution(ctx, c) },
		})
	}
	faulty := distributionCase{hosts: 64, bytes: 32 * megabyte, chunkBytes: defaultChunkBytes, faults: true}
	out = append(out, Measurement{
		Name: "Distribution.UnderFaults",
		Run:  func(ctx context.Context) ([]Figure, error) { return measureDistribution(ctx, faulty) },
	})
	for _, chunk := range []int{16 << 10, 32 << 10, 128 << 10, 256 << 10} {
		c := distributionCase{hosts: 14, bytes: 64 * megabyte, chunkBytes: chunk}
		out = append(out, Measurement{
			Name: fmt.Sprintf("Distribution.ChunkSweep%d", chunk),
			Run:  func(ctx context.Context) ([]Figure, error) { return measureChunkSize(ctx, c) },
		})
	}
	return out
}

// distributionResult is the result of a distribution. Traffic is in copies of the release.
type distributionResult struct {
	seconds      float64
	originCopies float64
	// regionCopies is the traffic of the busiest link between regions.
	regionCopies float64
	// deltaCopies is the origin's traffic for a second release that differs in one chunk in
	// deltaDivisor.
	deltaCopies float64
}

// newStage returns a stage for the case. It is not started.
func newStage(c distributionCase) *stager.Stage {
	return stager.New(stager.Config{Deployment: newDeployment(c.hosts), Base: shaper.NewMemory(), Logger: discardLogger(), Distribution: c.limits})
}

// distribute adds a release, waits until all replicas that were not killed serve it and, if
// delta is true, does the same with a second release.
func distribute(ctx context.Context, c distributionCase, delta bool) (distributionResult, error) {
	ctx, cancel := context.WithTimeout(ctx, distributionTimeout)
	defer cancel()
	s := newStage(c)
	if err := s.Start(ctx); err != nil {
		return distributionResult{}, err
	}
	defer s.Close()
	if err := s.AwaitReady(ctx); err != nil {
		return distributionResult{}, err
	}
	if err := s.Install(ctx); err != nil {
		return distributionResult{}, err
	}
	// The time to establish sessions is not part of the distribution time.
	if err := sleeper.Sleep(ctx, 3*time.Second); err != nil {
		return distributionResult{}, err
	}
	release := imitator.ReleaseConfig{Name: "release-1", Seed: 1, ChunkBytes: c.chunkBytes, Chunks: c.bytes / c.chunkBytes}
	trafficBefore := regionTraffic(s)
	if c.faults {
		s.Weights.CorruptOneIn(100)
	}
	start := time.Now()
	if _, err := s.AddRelease(ctx, modelService, release); err != nil {
		return distributionResult{}, err
	}
	remaining := c.hosts
	if c.faults {
		killed, err := injectFaults(ctx, s, c)
		if err != nil {
			return distributionResult{}, err
		}
		remaining -= killed
	}
	if err := s.AwaitRelease(ctx, modelService, release.Name, remaining); err != nil {
		return distributionResult{}, err
	}
	r := distributionResult{seconds: time.Since(start).Seconds(), originCopies: float64(s.Weights.Bytes()) / float64(c.bytes)}
	for _, l := range s.Fabric.RegionTraffic() {
		r.regionCopies = max(r.regionCopies, float64(l.Bytes-trafficBefore[l.LinkKey])/float64(c.bytes))
	}
	if !delta {
		return r, nil
	}
	originBefore := s.Weights.Bytes()
	release.Name, release.ChangedChunks = "release-2", release.Chunks/deltaDivisor
	if _, err := s.AddRelease(ctx, modelService, release); err != nil {
		return r, err
	}
	err := s.AwaitRelease(ctx, modelService, release.Name, remaining)
	r.deltaCopies = float64(s.Weights.Bytes()-originBefore) / float64(c.bytes)
	return r, err
}

// regionTraffic returns the bytes sent so far over each link between regions.
func regionTraffic(s *stager.Stage) map[shaper.LinkKey]int64 {
	out := make(map[shaper.LinkKey]int64)
	for _, l := range s.Fabric.RegionTraffic() {
		out[l.LinkKey] = l.Bytes
	}
	return out
}

// injectFaults kills one host in ten during the first half of the physical limit of the
// distribution time. Halfway through the kills it halves the origin's rate and stalls another
// host, which resumes an eighth of that limit after the last kill. It returns the number of
// hosts killed.
func injectFaults(ctx context.Context, s *stager.Stage, c distributionCase) (int, error) {
	hosts := s.HostsOf(modelService)
	minTime := time.Duration(c.minSeconds() * float64(time.Second))
	kills := len(hosts) / hostsPerKill
	stalled := hosts[1].Settings.Identity.Name
	for i := range kills {
		if err := sleeper.Sleep(ctx, minTime/time.Duration(2*kills)); err != nil {
			return 0, err
		}
		h := hosts[3+i*hostsPerKill]
		s.Fabric.SetStalled(h.Settings.Identity.Name, true)
		h.Kill()
		s.List.Remove(h.Settings.Identity.Name)
		if i == kills/2 {
			s.Fabric.SetStalled(stalled, true)
			s.Fabric.SetSiteRate("weight-store", originBytesPerSecond/2)
		}
	}
	err := sleeper.Sleep(ctx, minTime/8)
	s.Fabric.SetStalled(stalled, false)
	return kills, err
}

// measureDistribution measures a distribution and its baseline.
func measureDistribution(ctx context.Context, c distributionCase) ([]Figure, error) {
	r, err := distribute(ctx, c, !c.faults)
	if err != nil {
		return nil, err
	}
	baseline, err := distributeFromOrigin(ctx, c)
	if err != nil {
		return nil, err
	}
	suffix, maxTimeRatio, maxCopies := "", timeBound, copiesBound
	if c.faults {
		suffix, maxTimeRatio, maxCopies = "UnderFaults", faultTimeBound, faultCopiesBound
	}
	p := c.params()
	name := func(part string) string { return "Distribution." + part + suffix }
	figures := []Figure{
		atMost(name("TimeToLimit"), r.seconds/c.minSeconds(), "ratio", maxTimeRatio, p),
		unbounded(name("TimeToLimit")+".Baseline", baseline.seconds/c.minSeconds(), "ratio", p),
		unbounded(name("TimeToLimit")+".Limit", c.minSeconds(), "s", p),
		atMost(name("OriginCopies"), r.originCopies, "copies", maxCopies, p),
		unbounded(name("OriginCopies")+".Baseline", baseline.originCopies, "copies", p),
		unbounded(name("OriginCopies")+".Limit", 1, "copies", p),
	}
	if c.faults {
		return figures, nil
	}
	return append(figures,
		atMost(name("RegionLinkCopies"), r.regionCopies, "copies", copiesBound, p),
		unbounded(name("RegionLinkCopies")+".Baseline", baseline.regionCopies, "copies", p),
		unbounded(name("RegionLinkCopies")+".Limit", 1, "copies", p),
		atMost(name("ReleaseDeltaCopies"), r.deltaCopies, "copies", deltaCopiesBound, p),
		unbounded(name("ReleaseDeltaCopies")+".Limit", 1.0/deltaDivisor, "copies", p),
	), nil
}

// measureChunkSize measures the distribution time with the case's chunk size.
func measureChunkSize(ctx context.Context, c distributionCase) ([]Figure, error) {
	r, err := distribute(ctx, c, false)
	if err != nil {
		return nil, err
	}
	return []Figure{unbounded("Distribution.ChunkSweep.TimeToLimit", r.seconds/c.minSeconds(), "ratio", c.params())}, nil
}

// distributeFromOrigin is the baseline, in which each host reads all chunks from the origin.
func distributeFromOrigin(ctx context.Context, c distributionCase) (distributionResult, error) {
	// The time per byte depends only on the number of hosts, so a small release suffices.
	small := c
	small.bytes = min(c.bytes, 2*megabyte)
	d := newDeployment(c.hosts)
	f := shaper.New(shaper.Config{
		DomainDelay: time.Duration(d.Links.DomainDelay), RegionDelay: time.Duration(d.Links.RegionDelay),
		RegionBytesPerSecond: d.Links.RegionBytesPerSecond, Base: shaper.NewMemory(),
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := imitator.NewWeightStore()
	l, err := f.Network(shaper.Site{Name: "weight-store", Region: d.SourceRegion, BytesPerSecond: originBytesPerSecond}).Listen("127.0.0.1:0")
	if err != nil {
		return distributionResult{}, err
	}
	var serving sync.WaitGroup
	serving.Go(func() { _ = store.Serve(ctx, l) })
	defer serving.Wait()
	defer cancel()
	_, m := store.AddRelease(imitator.ReleaseConfig{Name: "release-1", Seed: 1, ChunkBytes: c.chunkBytes, Chunks: small.bytes / c.chunkBytes})
	start := time.Now()
	var wg sync.WaitGroup
	failed := make(chan error, c.hosts)
	for i := range c.hosts {
		domain := d.Domains[i%len(d.Domains)]
		site := shaper.Site{Name: fmt.Sprint("host-", i), Domain: domain.Name, Region: domain.Region, BytesPerSecond: hostBytesPerSecond}
		wg.Go(func() {
			src := sourcer.New(sourcer.Config{Addresses: []string{l.Addr().String()}, Network: f.Network(site)})
			defer src.Close()
			for _, ref := range m.Chunks {
				// Requests that time out in the queue at the origin are retried.
				for {
					_, err := src.Chunk(ctx, ref.Digest)
					if err == nil {
						break
					}
					if !strings.Contains(err.Error(), "timeout") {
						failed <- err
						return
					}
				}
			}
		})
	}
	wg.Wait()
	select {
	case err := <-failed:
		return distributionResult{}, err
	default:
	}
	scale := float64(c.bytes) / float64(small.bytes)
	r := distributionResult{seconds: time.Since(start).Seconds() * scale, originCopies: float64(store.Bytes()) / float64(small.bytes)}
	for _, t := range f.RegionTraffic() {
		r.regionCopies = max(r.regionCopies, float64(t.Bytes)/float64(small.bytes))
	}
	return r, nil
}
