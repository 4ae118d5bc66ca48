// Package faulter runs the fault matrix: it injects every fault during every step on a small
// deployment in virtual time, and checks the results of all calls against the journals of the
// backend servers.
package faulter

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/configurer"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/rigs/caller"
	"filbertstile.example/filbertstile/rigs/checker"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/rigs/shaper"
	"filbertstile.example/filbertstile/rigs/stager"
	"filbertstile.example/filbertstile/shells/relayer"
)

const (
	modelService  = "model"
	ledgerService = "ledger"
	// outageDomain is the failure domain that is taken out of service.
	outageDomain  = "c"
	firstRelease  = "release-1"
	secondRelease = "release-2"
	// faultDuration is how long a fault lasts that does not end by itself.
	faultDuration = 3 * time.Second
	// outageGrace is how long new work may reach a failure domain after it was taken out of
	// service.
	outageGrace = 3 * time.Second
	// completionInterval and orderInterval are the pauses between two calls of the load.
	completionInterval = 60 * time.Millisecond
	orderInterval      = 80 * time.Millisecond
	// recoveryTimeout is the maximum time until the system has recovered after the step.
	recoveryTimeout  = 2 * time.Minute
	completionTokens = 6
	// requiredSuccesses is the number of consecutive rounds of a completion and an order that
	// must succeed after the step.
	requiredSuccesses = 10
	chunks            = 48
	chunkBytes        = 32 << 10
)

// Cell is a running cell of the fault matrix: a system with load, a step and faults.
type Cell struct {
	Stage *stager.Stage
	// Rand makes all random choices of the cell.
	Rand    *rand.Rand
	callers []*caller.Caller

	mu       sync.Mutex
	results  []caller.Result
	releases []checker.Release
	outages  []checker.Outage
	// wg counts the goroutines of the load and of faults.
	wg sync.WaitGroup
}

// deployment returns the deployment on which all cells run.
func deployment() *stager.Deployment {
	ms := func(n int) configurer.Duration { return configurer.Duration(time.Duration(n) * time.Millisecond) }
	d := &stager.Deployment{
		Name: "matrix", SourceRegion: "ra", Entries: 4,
		Domains: []stager.Domain{{Name: "a", Region: "ra"}, {Name: "b", Region: "rb"}, {Name: outageDomain, Region: "rc"}},
		Services: []stager.ServiceSpec{
			{Service: filbertstile.Service{Name: modelService, Kind: filbertstile.ServiceModel, CapacityFloorPercent: 50, ChecksFencing: true}, Replicas: 5, MaxRunning: 4, TokenDelay: ms(15)},
			{Service: filbertstile.Service{Name: ledgerService, Kind: filbertstile.ServicePlain, NonIdempotentMethods: []string{"POST"}}, Replicas: 3, MaxRunning: 16, Delay: ms(30)},
		},
		Links: stager.Links{DomainDelay: ms(1), RegionDelay: ms(2), RegionBytesPerSecond: 2.5e6, HostBytesPerSecond: 5e6, OriginBytesPerSecond: 1e7},
		Tiers: []filbertstile.Tier{{Name: "high", Rank: 2, Weight: 4, FloorPercent: 20}, {Name: "low", Rank: 1, Weight: 1, FloorPercent: 5}},
	}
	for _, tier := range []string{"high", "low"} {
		d.Accounts = append(d.Accounts, stager.AccountSpec{Token: tier, Account: filbertstile.Account{Name: tier, Tier: tier, RatePerSecond: 1e5, Burst: 1e4}})
	}
	return d
}

// Run runs the step under load while it injects the faults, waits until the system has
// recovered, and returns the verdict. It returns an error with the verdict if the system does
// not recover in time.
func Run(ctx context.Context, step Step, faults []Fault, seed uint64) (checker.Verdict, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := &Cell{Rand: rand.New(rand.NewPCG(seed, uint64(len(step.Name))))}
	c.Stage = stager.New(stager.Config{Deployment: deployment(), Base: shaper.NewMemory(), Logger: log, EntriesValid: time.Second})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := c.Stage.Start(ctx); err != nil {
		return checker.Verdict{}, err
	}
	defer c.Stage.Close()
	if err := c.setUp(ctx); err != nil {
		return checker.Verdict{}, err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	c.startLoad(loadCtx, ctx)
	if err := sleeper.Sleep(ctx, time.Second); err != nil {
		return checker.Verdict{}, err
	}
	if err := c.runStep(ctx, step, faults); err != nil {
		return checker.Verdict{}, err
	}
	stopLoad()
	c.wg.Wait()
	if err := c.awaitRecovery(ctx); err != nil {
		return c.verdict(), err
	}
	return c.verdict(), nil
}

// setUp installs the deployment and the first release, and creates the callers.
func (c *Cell) setUp(ctx context.Context) error {
	if err := c.Stage.AwaitReady(ctx); err != nil {
		return err
	}
	if err := c.Stage.Install(ctx); err != nil {
		return err
	}
	if err := c.AddRelease(ctx, firstRelease, 1); err != nil {
		return err
	}
	if err := c.Stage.AwaitRelease(ctx, modelService, firstRelease, len(c.Stage.HostsOf(modelService))); err != nil {
		return err
	}
	client := c.Stage.HTTPClient(stager.CallerSite())
	var entries []string
	for _, e := range c.Stage.Entries {
		entries = append(entries, e.Settings.HTTPAddress)
	}
	for i, token := range []string{"high", "low"} {
		c.callers = append(c.callers, caller.New(caller.Config{Client: client, InitialEntries: entries, Token: token, Seed: uint64(i)}))
	}
	return nil
}

// AddRelease generates a release from the seed and makes it the release of the model service.
func (c *Cell) AddRelease(ctx context.Context, name string, seed uint64) error {
	m, err := c.Stage.AddRelease(ctx, modelService, imitator.ReleaseConfig{Name: name, Seed: seed, ChunkBytes: chunkBytes, Chunks: chunks})
	c.releases = append(c.releases, checker.Release{Name: name, Whole: m.Whole})
	return err
}

// startLoad starts goroutines that send completions and orders until ctx ends. Their calls
// use callCtx, so that calls in flight are not cancelled when ctx ends.
func (c *Cell) startLoad(ctx, callCtx context.Context) {
	for i, client := range c.callers {
		c.wg.Go(func() {
			for n := 0; ; n++ {
				c.addResult(client.Complete(callCtx, modelService, fmt.Sprintf("ask %d %d", i, n), completionTokens, n%2 == 0))
				if sleeper.Sleep(ctx, completionInterval) != nil {
					return
				}
			}
		})
		c.wg.Go(func() {
			for n := 0; ; n++ {
				c.sendOrder(callCtx, client, fmt.Sprintf("key-%d-%d", i, n))
				if sleeper.Sleep(ctx, orderInterval) != nil {
					return
				}
			}
		})
	}
}

// sendOrder sends an order. As a client would, it retries the order with the same idempotency
// key until it succeeds, with at most three attempts.
func (c *Cell) sendOrder(ctx context.Context, client *caller.Caller, key string) {
	for range 3 {
		r := client.Order(ctx, ledgerService, key, "pay "+key)
		c.addResult(r)
		if r.OK() {
			return
		}
		if sleeper.Sleep(ctx, orderInterval) != nil {
			return
		}
	}
}

// addResult records the result of a call.
func (c *Cell) addResult(r caller.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// runStep runs the step and injects each fault at a random time within the fault window.
func (c *Cell) runStep(ctx context.Context, step Step, faults []Fault) error {
	var wg sync.WaitGroup
	stepErr := make(chan error, 1)
	wg.Go(func() { stepErr <- step.Run(ctx, c) })
	for _, f := range faults {
		delay := time.Duration(c.Rand.Int64N(int64(step.FaultWindow)))
		wg.Go(func() {
			if sleeper.Sleep(ctx, delay) != nil {
				return
			}
			f.Inject(ctx, c)
		})
	}
	wg.Wait()
	return <-stepErr
}

// awaitRecovery waits until all replicas serve the latest release and requiredSuccesses
// consecutive rounds of calls succeed.
func (c *Cell) awaitRecovery(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	latest := c.releases[len(c.releases)-1].Name
	if err := c.Stage.AwaitRelease(ctx, modelService, latest, len(c.Stage.HostsOf(modelService))); err != nil {
		return err
	}
	for streak := 0; streak < requiredSuccesses; {
		r := c.callers[0].Complete(ctx, modelService, fmt.Sprint("after ", streak), completionTokens, true)
		o := c.callers[0].Order(ctx, ledgerService, fmt.Sprint("after-", time.Now().UnixNano()), "pay after")
		c.addResult(r)
		c.addResult(o)
		streak++
		if !r.OK() || !o.OK() {
			streak = 0
		}
		if err := sleeper.Sleep(ctx, completionInterval); err != nil {
			return fmt.Errorf("calls still fail after the step: %+v %+v: %w", r, o, err)
		}
	}
	return nil
}

// verdict checks all results against the journals of the backend servers.
func (c *Cell) verdict() checker.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := checker.Evidence{Results: c.results, Releases: c.releases, Outages: c.outages, OutageGrace: outageGrace}
	for _, h := range c.Stage.Hosts {
		e.Hosts = append(e.Hosts, h.Host.Node().Self())
		if h.Engine != nil {
			e.Executions = append(e.Executions, h.Engine.Journal()...)
			continue
		}
		e.Executions = append(e.Executions, h.Plain.Journal()...)
	}
	return checker.Check(e)
}

// propose tries all entries in turn until one accepts the change, in up to 40 rounds.
func (c *Cell) propose(ctx context.Context, p relayer.Proposal) error {
	var err error
	for range 40 {
		for _, e := range c.Stage.Entries {
			if _, err = c.Stage.Propose(ctx, e, p); err == nil {
				return nil
			}
		}
		if sleeper.Sleep(ctx, 500*time.Millisecond) != nil {
			break
		}
	}
	return err
}

// Markdown returns the page docs/FAULTS.md, which describes the matrix.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# The fault matrix\n\nGenerated by `make docs` from package faulter. `make test` injects every fault during every step, and pairs\n")
	b.WriteString("of faults, on 4 entries and 8 backend servers in 3 regions, in virtual time with fixed seeds, under a load of\n")
	b.WriteString("completions, streamed and not, and of orders that are retried with their idempotency key. Each cell is checked\n")
	b.WriteString("against the journals of the stand-in backend servers (package checker): no response from partial or mixed weights,\n")
	b.WriteString("no wrong response, no order that ran twice or was lost, no request reported as NotRun that ran, and no new work in\n")
	b.WriteString("a failure domain more than 3 s after it was taken out of service. After the fault all replicas must run the release\nagain and requests must succeed.\n\n")
	b.WriteString("## Faults\n\n| Fault | What happens |\n|---|---|\n")
	for _, f := range Faults() {
		fmt.Fprintf(&b, "| %s | %s |\n", f.Name, f.Description)
	}
	b.WriteString("\n## Steps\n\n| Step | What is in progress |\n|---|---|\n")
	for _, s := range Steps() {
		fmt.Fprintf(&b, "| %s | %s |\n", s.Name, s.Description)
	}
	b.WriteString("\n## Pairs\n\n")
	for _, p := range Pairs() {
		fmt.Fprintf(&b, "- %s and %s, during %s\n", p.First, p.Second, p.Step)
	}
	b.WriteString("\n## Loss of power and disks\n\nNo process keeps anything on a disk: all that must outlast a process lies in the object store. So all machines may\n")
	b.WriteString("lose their power and their disks at the same moment, those of the model engines included. Whatever operators have had\n")
	b.WriteString("confirmed (configuration, keys, versions of the weights, failure domains out of service) is then found again, and\n")
	b.WriteString("weights are read from the origin. The store itself must not lose what it has acknowledged. On the users' platform\n")
	b.WriteString("`TestAllMachinesLosePower` ends two entries and two hosts right after a change, and starts them with empty disks and\n")
	b.WriteString("engines.\n")
	return b.String()
}
