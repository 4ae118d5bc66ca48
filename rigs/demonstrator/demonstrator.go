// Package demonstrator runs the main job of the system from end to end on one
// machine and judges it: a release spreads, callers are served, a failure
// domain leaves and returns, a second release is rolled out, orders run once.
package demonstrator

import (
	"context"
	"encoding/json"
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
	settle        = 2 * time.Second
	outFor        = 4 * time.Second
	progressEvery = 500 * time.Millisecond
	callGap       = 40 * time.Millisecond
	orderGap      = 100 * time.Millisecond
	tokens        = 16
	callersEach   = 2
	outGrace      = 3 * time.Second
	rolloutWait   = 30 * time.Second
	samples       = 100_000
	release1      = "release-1"
	release2      = "release-2"
)

// Config describes a demonstration.
type Config struct {
	Deployment *stager.Deployment
	// Out receives progress and the table.
	Out io.Writer
	// JSON writes the table as JSON, and progress nowhere.
	JSON   bool
	Logger *logrus.Logger
	// Base replaces the machine's sockets, in tests.
	Base filbertstile.Network
}

// Row is one measure of the table.
type Row struct {
	Name  string
	Value float64
	Unit  string
	// Broken is true if a promise of the brief does not hold.
	Broken bool
}

// Report is the outcome of a demonstration.
type Report struct {
	Deployment string
	Rows       []Row
	Verdict    checker.Verdict
	Broken     int
}

// demo is a demonstration under way.
type demo struct {
	config Config
	stage  *stager.Stage
	model  stager.Served
	orders []stager.Served

	mu       sync.Mutex
	results  []caller.Result
	evidence checker.Evidence
	report   Report
}

// Run demonstrates, and returns the report.
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
			d.orders = append(d.orders, s)
		}
	}
	if err := d.stage.Start(ctx); err != nil {
		return Report{}, err
	}
	defer d.stage.Close()
	if err := d.scenario(ctx); err != nil {
		return Report{}, err
	}
	d.judge()
	return d.report, d.write()
}

func (d *demo) say(format string, args ...any) {
	if !d.config.JSON {
		fmt.Fprintf(d.config.Out, format+"\n", args...)
	}
}

func (d *demo) row(name string, value float64, unit string, broken bool) {
	d.report.Rows = append(d.report.Rows, Row{Name: name, Value: value, Unit: unit, Broken: broken})
}

func (d *demo) scenario(ctx context.Context) error {
	dep := d.config.Deployment
	d.say("%s: %d entries, %d backend servers in %d failure domains", dep.Name, dep.Entries, len(d.stage.Hosts), len(dep.Domains))
	if err := d.stage.AwaitReady(ctx); err != nil {
		return err
	}
	if err := d.stage.Install(ctx); err != nil {
		return err
	}
	w := dep.Weights
	first := imitator.ReleaseConfig{Name: release1, Seed: 1, ChunkBytes: w.ChunkBytes, Chunks: w.Chunks}
	if err := d.rollOut(ctx, first); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load sync.WaitGroup
	d.startLoad(loadCtx, ctx, &load)
	steps := []func(context.Context) error{
		func(ctx context.Context) error { return d.steady(ctx, "Steady") },
		d.domainOutAndIn,
		func(ctx context.Context) error {
			second := first
			second.Name, second.ChangedChunks = release2, w.Changed
			return d.rollOut(ctx, second)
		},
		func(ctx context.Context) error { return sleeper.Sleep(ctx, settle) },
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	stopLoad()
	load.Wait()
	return nil
}

// rollOut applies the release and shows how it spreads.
func (d *demo) rollOut(ctx context.Context, r imitator.ReleaseConfig) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutWait)
	defer cancel()
	service := d.model.Service.Name
	replicas := len(d.stage.HostsOf(service))
	before := d.stage.Weights.Bytes()
	links := d.linkBytes()
	begin := time.Now()
	m, err := d.stage.AddRelease(ctx, service, r)
	if err != nil {
		return err
	}
	d.evidence.Releases = append(d.evidence.Releases, checker.Release{Name: r.Name, Whole: m.Whole})
	d.say("\nrelease notes add %s (%d bytes in %d chunks)", r.Name, m.Size, len(m.Chunks))
	var last time.Time
	for d.stage.Serving(service, r.Name) < replicas {
		if time.Since(last) >= progressEvery {
			last = time.Now()
			d.progress(r.Name, before, links)
		}
		if err := sleeper.Sleep(ctx, progressEvery/25); err != nil {
			return fmt.Errorf("wait for %s on %d replicas: %w", r.Name, replicas, err)
		}
	}
	took := time.Since(begin)
	d.progress(r.Name, before, links)
	copies := float64(d.stage.Weights.Bytes()-before) / float64(m.Size)
	d.row(r.Name+": time until all replicas run it", took.Seconds(), "s", false)
	d.row(r.Name+": copies drawn from the origin", copies, "copies", false)
	return nil
}

func (d *demo) linkBytes() map[string]int64 {
	out := make(map[string]int64)
	for _, l := range d.stage.Fabric.RegionTraffic() {
		out[l.From+">"+l.To] = l.Bytes
	}
	return out
}

func (d *demo) progress(release string, origin int64, links map[string]int64) {
	service := d.model.Service.Name
	now := d.linkBytes()
	line := fmt.Sprintf("  %2d of %d replicas run %s, origin %5.1f MB, links", d.stage.Serving(service, release),
		len(d.stage.HostsOf(service)), release, float64(d.stage.Weights.Bytes()-origin)/1e6)
	for _, name := range slices.Sorted(maps.Keys(now)) {
		if moved := now[name] - links[name]; moved > 100_000 {
			line += fmt.Sprintf(" %s %.1f MB", name, float64(moved)/1e6)
		}
	}
	d.say("%s", line)
}

// startLoad sends requests of every account until the context ends; calls in
// hand are finished under the outer context.
func (d *demo) startLoad(ctx, outer context.Context, wg *sync.WaitGroup) {
	client := d.stage.HTTPClient(stager.CallerSite())
	var seeds []string
	for _, e := range d.stage.Entries {
		seeds = append(seeds, e.Settings.HTTPAddress)
	}
	for i, a := range d.config.Deployment.Accounts {
		for j := range callersEach {
			c := caller.New(caller.Config{Client: client, Seeds: seeds, Token: a.Token, Seed: uint64(i*callersEach + j)})
			models := a.Account.MayCall(d.model.Service.Name)
			wg.Go(func() { d.call(ctx, outer, c, models, j) })
		}
	}
}

func (d *demo) call(ctx, outer context.Context, c *caller.Caller, models bool, seed int) {
	for n := 0; ; n++ {
		gap := callGap
		var r caller.Result
		if models {
			r = c.Complete(outer, d.model.Service.Name, "prompt "+uuid.NewString(), tokens, (n+seed)%2 == 0)
		} else {
			gap = orderGap
			s := d.orders[n%len(d.orders)].Service.Name
			if n%len(d.orders) > 0 {
				s = d.orders[0].Service.Name
			}
			r = c.Order(outer, s, uuid.NewString(), "pay "+uuid.NewString())
		}
		d.mu.Lock()
		d.results = append(d.results, r)
		d.mu.Unlock()
		if sleeper.Sleep(ctx, gap) != nil {
			return
		}
	}
}

// window returns the p95 latency of the answers of a time.
func (d *demo) window(from, to time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := metrics.NewHistogram(metrics.NewUniformSample(samples))
	for _, r := range d.results {
		if r.OK() && r.Kind == caller.KindCompletion && r.At.After(from) && r.At.Before(to) {
			h.Update(r.Latency.Microseconds())
		}
	}
	return h.Percentile(0.95) / 1e3
}

func (d *demo) steady(ctx context.Context, name string) error {
	// Cold replicas warm up under the first requests.
	if err := sleeper.Sleep(ctx, settle); err != nil {
		return err
	}
	from := time.Now()
	if err := sleeper.Sleep(ctx, outFor); err != nil {
		return err
	}
	d.row(name+": p95 latency", d.window(from, time.Now()), "ms", false)
	return nil
}

// domainOutAndIn takes the last failure domain out under load, and back in.
func (d *demo) domainOutAndIn(ctx context.Context) error {
	domains := d.config.Deployment.Domains
	name := domains[len(domains)-1].Name
	mark := func(out bool) error {
		began := time.Now()
		a, err := d.stage.Propose(ctx, d.stage.Entries[0], relayer.Proposal{Marks: []filbertstile.Mark{{Kind: filbertstile.MarkDomain, Name: name, Out: out}}})
		if err != nil {
			return err
		}
		if err := d.awaitEverywhere(ctx, a.Revision); err != nil {
			return err
		}
		d.row(fmt.Sprintf("%s out=%v: in force everywhere after", name, out), time.Since(began).Seconds(), "s", time.Since(began) > outGrace)
		return nil
	}
	d.say("\nfailure domain %s goes out under load", name)
	from := time.Now()
	if err := mark(true); err != nil {
		return err
	}
	if err := sleeper.Sleep(ctx, outFor); err != nil {
		return err
	}
	to := time.Now()
	d.evidence.Outages = append(d.evidence.Outages, checker.Outage{Domain: name, From: from, To: to})
	d.say("failure domain %s comes back", name)
	if err := mark(false); err != nil {
		return err
	}
	if err := sleeper.Sleep(ctx, settle); err != nil {
		return err
	}
	d.row("p95 latency while the domain left and returned", d.window(from, time.Now()), "ms", false)
	return nil
}

func (d *demo) awaitEverywhere(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutWait)
	defer cancel()
	for !d.stage.Entries[0].Entry.Node().Relay.Propagation(ctx).Complete(revision) {
		if err := sleeper.Sleep(ctx, progressEvery/25); err != nil {
			return fmt.Errorf("wait until revision %d is in force everywhere: %w", revision, err)
		}
	}
	return nil
}

func (d *demo) judge() {
	e := d.evidence
	e.Results = d.results
	e.OutGrace = outGrace
	for _, h := range d.stage.Hosts {
		e.Hosts = append(e.Hosts, h.Host.Node().Self())
		if h.Engine != nil {
			e.Executions = append(e.Executions, h.Engine.Journal()...)
			e.Overborne += h.Engine.Overloads()
			continue
		}
		e.Executions = append(e.Executions, h.Plain.Journal()...)
	}
	v := checker.Check(e)
	d.report.Deployment = d.config.Deployment.Name
	d.report.Verdict = v
	count := func(name string, n int, broken bool) { d.row(name, float64(n), "", broken) }
	count("requests", v.Requests, v.Requests == 0)
	count("answered whole", v.Answered, v.Answered == 0)
	count("refused as NotRun", v.Refused, false)
	count("failed or cut off", v.Failed, v.Failed > 0)
	count("orders with unknown outcome", v.Unknown, v.Unknown > 0)
	count("wrong answers", v.WrongAnswers, v.WrongAnswers > 0)
	count("answers from partial or mixed weights", v.MixedWeights, v.MixedWeights > 0)
	count("orders that ran twice", v.Duplicates, v.Duplicates > 0)
	count("orders lost", v.Lost, v.Lost > 0)
	count("told NotRun but ran", v.FalseNotRun, v.FalseNotRun > 0)
	d.row("last new work in the domain after it went out", v.LastWorkAfter.Seconds(), "s", v.WorkInOutDomain > 0)
	count("requests past what a cold server bears", v.Overborne, v.Overborne > 0)
	for _, r := range d.report.Rows {
		if r.Broken {
			d.report.Broken++
		}
	}
}

func (d *demo) write() error {
	if d.config.JSON {
		enc := json.NewEncoder(d.config.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(d.report)
	}
	d.say("")
	for _, r := range d.report.Rows {
		note := ""
		if r.Broken {
			note = "  BROKEN"
		}
		d.say("%-52s %10.3f %-7s%s", r.Name, r.Value, r.Unit, note)
	}
	for _, detail := range d.report.Verdict.Details {
		d.say("  %s", detail)
	}
	return nil
}
