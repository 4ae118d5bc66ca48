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
	megabyte         = 1 << 20
	defaultChunk     = 64 << 10
	distributionWait = 10 * time.Minute
	faultEvery       = 10
	timeBound        = 1.15
	faultTimeBound   = 1.5
	copiesBound      = 1.05
	faultCopies      = 1.5
	deltaBound       = 0.12
	deltaShare       = 10
)

// spreadCase is one run of the distribution.
type spreadCase struct {
	hosts      int
	bytes      int
	chunkBytes int
	faults     bool
	limits     distributor.Limits
}

func (c spreadCase) params() Params {
	return Params{
		{"Hosts", c.hosts}, {"Regions", 3}, {"Bytes", c.bytes}, {"ChunkBytes", c.chunkBytes},
		{"RegionBytesPerSecond", regionRate}, {"HostBytesPerSecond", hostRate}, {"OriginBytesPerSecond", originRate},
	}
}

// limit is the physical limit: the time that some link needs in any case.
func (c spreadCase) limit() float64 {
	s, n := float64(c.bytes), float64(c.hosts)
	return max(s/originRate, s/hostRate, n*s/(originRate+n*hostRate), s/regionRate)
}

func distributionMeasures() []Measure {
	cases := []spreadCase{{hosts: 14, bytes: 64 * megabyte}, {hosts: 64, bytes: 32 * megabyte}, {hosts: 256, bytes: 16 * megabyte}}
	var out []Measure
	for _, c := range cases {
		c.chunkBytes = defaultChunk
		out = append(out, Measure{
			Name: fmt.Sprintf("Distribution.%dHosts", c.hosts),
			Run:  func(ctx context.Context) ([]Line, error) { return measureSpread(ctx, c) },
		})
	}
	faulty := spreadCase{hosts: 64, bytes: 32 * megabyte, chunkBytes: defaultChunk, faults: true}
	out = append(out, Measure{
		Name: "Distribution.UnderFaults",
		Run:  func(ctx context.Context) ([]Line, error) { return measureSpread(ctx, faulty) },
	})
	for _, chunk := range []int{16 << 10, 32 << 10, 128 << 10, 256 << 10} {
		c := spreadCase{hosts: 14, bytes: 64 * megabyte, chunkBytes: chunk}
		out = append(out, Measure{
			Name: fmt.Sprintf("Distribution.ChunkSweep%d", chunk),
			Run:  func(ctx context.Context) ([]Line, error) { return sweepChunk(ctx, c) },
		})
	}
	return out
}

// spreadResult is what a run showed.
type spreadResult struct {
	seconds     float64
	originCopy  float64
	regionCopy  float64
	deltaCopies float64
}

func stageFor(c spreadCase) *stager.Stage {
	return stager.New(stager.Config{Deployment: brief(c.hosts), Base: shaper.NewMemory(), Logger: quiet(), Distribution: c.limits})
}

// runSpread applies a release and waits until every replica that lives runs it.
func runSpread(ctx context.Context, c spreadCase, delta bool) (spreadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, distributionWait)
	defer cancel()
	s := stageFor(c)
	if err := s.Start(ctx); err != nil {
		return spreadResult{}, err
	}
	defer s.Close()
	if err := s.AwaitReady(ctx); err != nil {
		return spreadResult{}, err
	}
	if err := s.Install(ctx); err != nil {
		return spreadResult{}, err
	}
	// Cold sessions are no part of a release's time.
	if err := sleeper.Sleep(ctx, 3*time.Second); err != nil {
		return spreadResult{}, err
	}
	release := imitator.ReleaseConfig{Name: "release-1", Seed: 1, ChunkBytes: c.chunkBytes, Chunks: c.bytes / c.chunkBytes}
	links := regionBytes(s)
	if c.faults {
		s.Weights.CorruptOneIn(100)
	}
	begin := time.Now()
	if _, err := s.AddRelease(ctx, modelService, release); err != nil {
		return spreadResult{}, err
	}
	want := c.hosts
	if c.faults {
		killed, err := breakThings(ctx, s, c)
		if err != nil {
			return spreadResult{}, err
		}
		want -= killed
	}
	if err := s.AwaitRelease(ctx, modelService, release.Name, want); err != nil {
		return spreadResult{}, err
	}
	r := spreadResult{seconds: time.Since(begin).Seconds(), originCopy: float64(s.Weights.Bytes()) / float64(c.bytes)}
	for _, l := range s.Fabric.RegionTraffic() {
		r.regionCopy = max(r.regionCopy, float64(l.Bytes-links[l.LinkKey])/float64(c.bytes))
	}
	if !delta {
		return r, nil
	}
	before := s.Weights.Bytes()
	release.Name, release.ChangedChunks = "release-2", release.Chunks/deltaShare
	if _, err := s.AddRelease(ctx, modelService, release); err != nil {
		return r, err
	}
	err := s.AwaitRelease(ctx, modelService, release.Name, want)
	r.deltaCopies = float64(s.Weights.Bytes()-before) / float64(c.bytes)
	return r, err
}

func regionBytes(s *stager.Stage) map[shaper.LinkKey]int64 {
	out := make(map[shaper.LinkKey]int64)
	for _, l := range s.Fabric.RegionTraffic() {
		out[l.LinkKey] = l.Bytes
	}
	return out
}

// breakThings kills one host in ten over the time that a copy takes, stalls one
// for a while and halves the origin's rate; it returns the number killed.
func breakThings(ctx context.Context, s *stager.Stage, c spreadCase) (int, error) {
	hosts := s.HostsOf(modelService)
	span := time.Duration(c.limit() * float64(time.Second))
	victims := len(hosts) / faultEvery
	stalled := hosts[1].Settings.Identity.Name
	for i := range victims {
		if err := sleeper.Sleep(ctx, span/time.Duration(2*victims)); err != nil {
			return 0, err
		}
		h := hosts[3+i*faultEvery]
		s.Fabric.SetStalled(h.Settings.Identity.Name, true)
		h.Kill()
		s.List.Remove(h.Settings.Identity.Name)
		if i == victims/2 {
			s.Fabric.SetStalled(stalled, true)
			s.Fabric.SetSiteRate("weight-store", originRate/2)
		}
	}
	err := sleeper.Sleep(ctx, span/8)
	s.Fabric.SetStalled(stalled, false)
	return victims, err
}

func measureSpread(ctx context.Context, c spreadCase) ([]Line, error) {
	r, err := runSpread(ctx, c, !c.faults)
	if err != nil {
		return nil, err
	}
	base, err := baselineSpread(ctx, c)
	if err != nil {
		return nil, err
	}
	suffix, bound, copies := "", timeBound, copiesBound
	if c.faults {
		suffix, bound, copies = "UnderFaults", faultTimeBound, faultCopies
	}
	p := c.params()
	name := func(part string) string { return "Distribution." + part + suffix }
	lines := []Line{
		atMost(name("TimeToLimit"), r.seconds/c.limit(), "ratio", bound, p),
		plain(name("TimeToLimit")+".Baseline", base.seconds/c.limit(), "ratio", p),
		plain(name("TimeToLimit")+".Limit", c.limit(), "s", p),
		atMost(name("OriginCopies"), r.originCopy, "copies", copies, p),
		plain(name("OriginCopies")+".Baseline", base.originCopy, "copies", p),
		plain(name("OriginCopies")+".Limit", 1, "copies", p),
	}
	if c.faults {
		return lines, nil
	}
	return append(lines,
		atMost(name("RegionLinkCopies"), r.regionCopy, "copies", copiesBound, p),
		plain(name("RegionLinkCopies")+".Baseline", base.regionCopy, "copies", p),
		plain(name("RegionLinkCopies")+".Limit", 1, "copies", p),
		atMost(name("ReleaseDeltaCopies"), r.deltaCopies, "copies", deltaBound, p),
		plain(name("ReleaseDeltaCopies")+".Limit", 1.0/deltaShare, "copies", p),
	), nil
}

func sweepChunk(ctx context.Context, c spreadCase) ([]Line, error) {
	r, err := runSpread(ctx, c, false)
	if err != nil {
		return nil, err
	}
	return []Line{plain("Distribution.ChunkSweep.TimeToLimit", r.seconds/c.limit(), "ratio", c.params())}, nil
}

// baselineSpread has every host read everything from the origin.
func baselineSpread(ctx context.Context, c spreadCase) (spreadResult, error) {
	// The time grows with the number of hosts alone; a small copy shows it.
	small := c
	small.bytes = min(c.bytes, 2*megabyte)
	d := brief(c.hosts)
	f := shaper.New(shaper.Config{
		DomainDelay: time.Duration(d.Links.DomainDelay), RegionDelay: time.Duration(d.Links.RegionDelay),
		RegionBytesPerSecond: d.Links.RegionBytesPerSecond, Base: shaper.NewMemory(),
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	store := imitator.NewWeightStore()
	l, err := f.Network(shaper.Site{Name: "weight-store", Region: d.SourceRegion, BytesPerSecond: originRate}).Listen("127.0.0.1:0")
	if err != nil {
		return spreadResult{}, err
	}
	var serving sync.WaitGroup
	serving.Go(func() { _ = store.Serve(ctx, l) })
	defer serving.Wait()
	defer cancel()
	_, m := store.AddRelease(imitator.ReleaseConfig{Name: "release-1", Seed: 1, ChunkBytes: c.chunkBytes, Chunks: small.bytes / c.chunkBytes})
	begin := time.Now()
	var wg sync.WaitGroup
	failed := make(chan error, c.hosts)
	for i := range c.hosts {
		dom := d.Domains[i%len(d.Domains)]
		site := shaper.Site{Name: fmt.Sprint("host-", i), Domain: dom.Name, Region: dom.Region, BytesPerSecond: hostRate}
		wg.Go(func() {
			src := sourcer.New(sourcer.Config{Addresses: []string{l.Addr().String()}, Network: f.Network(site)})
			defer src.Close()
			for _, ref := range m.Chunks {
				// A copy that times out in the queue at the origin is asked for again.
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
		return spreadResult{}, err
	default:
	}
	scale := float64(c.bytes) / float64(small.bytes)
	r := spreadResult{seconds: time.Since(begin).Seconds() * scale, originCopy: float64(store.Bytes()) / float64(small.bytes)}
	for _, t := range f.RegionTraffic() {
		r.regionCopy = max(r.regionCopy, float64(t.Bytes)/float64(small.bytes))
	}
	return r, nil
}
