// Package demonstrator runs the main scenario of the system from end to end in one process
// and checks its guarantees: a release is distributed, callers are served, a failure domain
// is taken out of service and back, a second release is rolled out, and orders run once.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/rigs/caller"
	"filbertstile.example/filbertstile/rigs/checker"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/rigs/stager"
	"filbertstile.example/filbertstile/shells/relayer"
	"filbertstile.example/filbertstile/transport/connector"
)

const (
	// settleTime is how long replicas warm up before latencies are measured, and how long
	// the load continues after a failure domain returns and at the end.
	settleTime = 2 * time.Second
	// phaseTime is the duration of the steady phase and of the outage.
	phaseTime = 4 * time.Second
	// progressInterval is the interval of progress lines during a rollout.
	progressInterval = 500 * time.Millisecond
	// completionInterval and orderInterval are the pauses of a caller between two calls.
	completionInterval = 40 * time.Millisecond
	orderInterval      = 100 * time.Millisecond
	completionTokens   = 16
	callersPerAccount  = 2
	// outageGrace is the maximum time until a mark of a failure domain is in force
	// everywhere, and until no new work reaches a domain that was taken out of service.
	outageGrace = 3 * time.Second
	// rolloutTimeout is the timeout of a rollout, and of the propagation of a mark.
	rolloutTimeout = 30 * time.Second
	// maxLatencySamples is the size of the sample from which percentiles are computed.
	maxLatencySamples = 100_000
	firstRelease      = "release-1"
	secondRelease     = "release-2"
)

// Config is the configuration of a demonstration.
type Config struct {
	Deployment *stager.Deployment
	// Out receives progress lines and the table of results.
	Out io.Writer
	// JSON makes Run write the report as JSON and no progress lines.
	JSON   bool
	Logger *logrus.Logger
	// Base is the network below the simulated links; nil means TCP. Tests use an
	// in-memory network.
	Base filbertstile.Network
}

// demo is a running demonstration.
type demo struct {
	config Config
	stage  *stager.Stage
	// model is the service that completions are requested from, and orderServices are the
	// services with non-idempotent methods, of which the first one gets all orders.
	model         stager.ServiceSpec
	orderServices []stager.ServiceSpec

	mu       sync.Mutex
	results  []caller.Result
	evidence checker.Evidence
	report   Report
}

// Run runs the demonstration, writes the report and returns it.
func Run(ctx context.Context, c Config) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c.Base == nil {
		c.Base = connector.NewTCP()
	}
	d := &demo{config: c, stage: stager.New(stager.Config{Deployment: c.Deployment, Base: c.Base, Logger: c.Logger})}
	for _, s := range c.Deployment.Services {
		switch {
		case s.Service.Kind == filbertstile.ServiceModel:
			d.model = s
		case len(s.Service.NonIdempotentMethods) > 0:
			d.orderServices = append(d.orderServices, s)
		}
	}
	if err := d.stage.Start(ctx); err != nil {
		return Report{}, err
	}
	defer d.stage.Close()
	if err := d.runScenario(ctx); err != nil {
		return Report{}, err
	}
	d.evaluate()
	return d.report, d.writeReport()
}

// printf prints a line to Config.Out, or nothing if the report is written as JSON.
func (d *demo) printf(format string, args ...any) {
	if !d.config.JSON {
		fmt.Fprintf(d.config.Out, format+"\n", args...)
	}
}

// addRow adds a row to the report.
func (d *demo) addRow(name string, value float64, unit string, broken bool) {
	d.report.Rows = append(d.report.Rows, Row{Name: name, Value: value, Unit: unit, Broken: broken})
}

// runScenario runs all phases of the demonstration.
func (d *demo) runScenario(ctx context.Context) error {
	dep := d.config.Deployment
	d.printf("%s: %d entries, %d backend servers in %d failure domains", dep.Name, dep.Entries, len(d.stage.Hosts), len(dep.Domains))
	if err := d.stage.AwaitReady(ctx); err != nil {
		return err
	}
	if err := d.stage.Install(ctx); err != nil {
		return err
	}
	w := dep.Weights
	first := imitator.ReleaseConfig{Name: firstRelease, Seed: 1, ChunkBytes: w.ChunkBytes, Chunks: w.Chunks}
	if err := d.rollOut(ctx, first); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load sync.WaitGroup
	d.startLoad(loadCtx, ctx, &load)
	phases := []func(context.Context) error{
		func(ctx context.Context) error { return d.measureSteady(ctx, "Steady") },
		d.takeDomainOutAndBack,
		func(ctx context.Context) error {
			second := first
			second.Name, second.ChangedChunks = secondRelease, w.Changed
			return d.rollOut(ctx, second)
		},
		func(ctx context.Context) error { return sleeper.Sleep(ctx, settleTime) },
	}
	for _, phase := range phases {
		if err := phase(ctx); err != nil {
			return err
		}
	}
	stopLoad()
	load.Wait()
	return nil
}

// rollOut applies the release and prints its progress until all replicas serve it.
func (d *demo) rollOut(ctx context.Context, r imitator.ReleaseConfig) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	service := d.model.Service.Name
	replicas := len(d.stage.HostsOf(service))
	originBefore := d.stage.Weights.Bytes()
	linksBefore := d.linkTraffic()
	begin := time.Now()
	m, err := d.stage.AddRelease(ctx, service, r)
	if err != nil {
		return err
	}
	d.evidence.Releases = append(d.evidence.Releases, checker.Release{Name: r.Name, Whole: m.Whole})
	d.printf("\nrelease notes add %s (%d bytes in %d chunks)", r.Name, m.Size, len(m.Chunks))
	var lastPrinted time.Time
	for d.stage.CountServing(service, r.Name) < replicas {
		if time.Since(lastPrinted) >= progressInterval {
			lastPrinted = time.Now()
			d.printProgress(r.Name, originBefore, linksBefore)
		}
		if err := sleeper.Sleep(ctx, progressInterval/25); err != nil {
			return fmt.Errorf("wait until %s runs on %d replicas: %w", r.Name, replicas, err)
		}
	}
	took := time.Since(begin)
	d.printProgress(r.Name, originBefore, linksBefore)
	copies := float64(d.stage.Weights.Bytes()-originBefore) / float64(m.Size)
	d.addRow(r.Name+": time until all replicas run it", took.Seconds(), "s", false)
	d.addRow(r.Name+": copies drawn from the origin", copies, "copies", false)
	return nil
}

// linkTraffic returns the bytes so far over each link between regions.
func (d *demo) linkTraffic() map[string]int64 {
	out := make(map[string]int64)
	for _, l := range d.stage.Fabric.RegionTraffic() {
		out[l.From+">"+l.To] = l.Bytes
	}
	return out
}

// printProgress prints how many replicas run the release, and the bytes from the origin and
// over each link since originBefore and linksBefore were read. It leaves out links that
// carried at most 100 kB.
func (d *demo) printProgress(release string, originBefore int64, linksBefore map[string]int64) {
	service := d.model.Service.Name
	now := d.linkTraffic()
	line := fmt.Sprintf("  %2d of %d replicas run %s, origin %5.1f MB, links", d.stage.CountServing(service, release),
		len(d.stage.HostsOf(service)), release, float64(d.stage.Weights.Bytes()-originBefore)/1e6)
	for _, name := range slices.Sorted(maps.Keys(now)) {
		if moved := now[name] - linksBefore[name]; moved > 100_000 {
			line += fmt.Sprintf(" %s %.1f MB", name, float64(moved)/1e6)
		}
	}
	d.printf("%s", line)
}

// startLoad starts callers of every account, which run until ctx ends. Their calls use
// callCtx, so that calls in flight are not cancelled when ctx ends.
func (d *demo) startLoad(ctx, callCtx context.Context, wg *sync.WaitGroup) {
	client := d.stage.HTTPClient(stager.CallerSite())
	var entries []string
	for _, e := range d.stage.Entries {
		entries = append(entries, e.Settings.HTTPAddress)
	}
	for i, a := range d.config.Deployment.Accounts {
		for j := range callersPerAccount {
			c := caller.New(caller.Config{Client: client, InitialEntries: entries, Token: a.Token, Seed: uint64(i*callersPerAccount + j)})
			mayCallModel := a.Account.MayCall(d.model.Service.Name)
			wg.Go(func() { d.runCaller(ctx, callCtx, c, mayCallModel, j) })
		}
	}
}

// runCaller sends completions if the caller may call the model, and orders otherwise. Every
// second completion is streamed, starting with the first one if offset is even.
func (d *demo) runCaller(ctx, callCtx context.Context, c *caller.Caller, mayCallModel bool, offset int) {
	for n := 0; ; n++ {
		interval := completionInterval
		var r caller.Result
		if mayCallModel {
			r = c.Complete(callCtx, d.model.Service.Name, "prompt "+uuid.NewString(), completionTokens, (n+offset)%2 == 0)
		} else {
			interval = orderInterval
			s := d.orderServices[n%len(d.orderServices)].Service.Name
			if n%len(d.orderServices) > 0 {
				s = d.orderServices[0].Service.Name
			}
			r = c.Order(callCtx, s, uuid.NewString(), "pay "+uuid.NewString())
		}
		d.mu.Lock()
		d.results = append(d.results, r)
		d.mu.Unlock()
		if sleeper.Sleep(ctx, interval) != nil {
			return
		}
	}
}

// latencyP95 returns the 95th percentile of the latency, in milliseconds, of the successful
// completions that started in the period.
func (d *demo) latencyP95(from, to time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := metrics.NewHistogram(metrics.NewUniformSample(maxLatencySamples))
	for _, r := range d.results {
		if r.OK() && r.Kind == caller.KindCompletion && r.At.After(from) && r.At.Before(to) {
			h.Update(r.Latency.Microseconds())
		}
	}
	return h.Percentile(0.95) / 1e3
}

// measureSteady measures the latency under load without any change.
func (d *demo) measureSteady(ctx context.Context, name string) error {
	// Cold replicas warm up with the first requests.
	if err := sleeper.Sleep(ctx, settleTime); err != nil {
		return err
	}
	from := time.Now()
	if err := sleeper.Sleep(ctx, phaseTime); err != nil {
		return err
	}
	d.addRow(name+": p95 latency", d.latencyP95(from, time.Now()), "ms", false)
	return nil
}

// takeDomainOutAndBack takes the last failure domain out of service under load, and back.
func (d *demo) takeDomainOutAndBack(ctx context.Context) error {
	domains := d.config.Deployment.Domains
	name := domains[len(domains)-1].Name
	setOut := func(out bool) error {
		begin := time.Now()
		a, err := d.stage.Propose(ctx, d.stage.Entries[0], relayer.Proposal{Marks: []filbertstile.Mark{{Kind: filbertstile.MarkDomain, Name: name, Out: out}}})
		if err != nil {
			return err
		}
		if err := d.awaitPropagation(ctx, a.Revision); err != nil {
			return err
		}
		d.addRow(fmt.Sprintf("%s out=%v: in force everywhere after", name, out), time.Since(begin).Seconds(), "s", time.Since(begin) > outageGrace)
		return nil
	}
	d.printf("\ntaking failure domain %s out of service under load", name)
	from := time.Now()
	if err := setOut(true); err != nil {
		return err
	}
	if err := sleeper.Sleep(ctx, phaseTime); err != nil {
		return err
	}
	to := time.Now()
	d.evidence.Outages = append(d.evidence.Outages, checker.Outage{Domain: name, From: from, To: to})
	d.printf("taking failure domain %s back into service", name)
	if err := setOut(false); err != nil {
		return err
	}
	if err := sleeper.Sleep(ctx, settleTime); err != nil {
		return err
	}
	d.addRow("p95 latency while the domain left and returned", d.latencyP95(from, time.Now()), "ms", false)
	return nil
}

// awaitPropagation waits until the revision is in force everywhere.
func (d *demo) awaitPropagation(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	for !d.stage.Entries[0].Entry.Node().Relay.Propagation(ctx).Complete(revision) {
		if err := sleeper.Sleep(ctx, progressInterval/25); err != nil {
			return fmt.Errorf("wait until revision %d is in force everywhere: %w", revision, err)
		}
	}
	return nil
}
