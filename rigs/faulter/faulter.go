// Package faulter holds the fault matrix: every fault at every step, on a small
// deployment in virtual time, judged by the journals of what truly ran.
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
	outDomain     = "c"
	firstRelease  = "release-1"
	secondRelease = "release-2"
	faultTime     = 3 * time.Second
	outGrace      = 3 * time.Second
	askGap        = 60 * time.Millisecond
	orderGap      = 80 * time.Millisecond
	recoverLimit  = 2 * time.Minute
	tokens        = 6
	afterwards    = 10
	chunks        = 48
	chunkBytes    = 32 << 10
)

// Cell is one scenario under way.
type Cell struct {
	Stage   *stager.Stage
	Rand    *rand.Rand
	callers []*caller.Caller

	mu       sync.Mutex
	results  []caller.Result
	releases []checker.Release
	outages  []checker.Outage
	wg       sync.WaitGroup
}

func deployment() *stager.Deployment {
	ms := func(n int) configurer.Duration { return configurer.Duration(time.Duration(n) * time.Millisecond) }
	d := &stager.Deployment{
		Name: "matrix", SourceRegion: "ra", Entries: 4,
		Domains: []stager.Domain{{Name: "a", Region: "ra"}, {Name: "b", Region: "rb"}, {Name: outDomain, Region: "rc"}},
		Services: []stager.Served{
			{Service: filbertstile.Service{Name: modelService, Kind: filbertstile.ServiceModel, CapacityFloorPercent: 50, ChecksFencing: true}, Replicas: 5, MaxRunning: 4, TokenDelay: ms(15)},
			{Service: filbertstile.Service{Name: ledgerService, Kind: filbertstile.ServicePlain, NonIdempotentMethods: []string{"POST"}}, Replicas: 3, MaxRunning: 16, Delay: ms(30)},
		},
		Links: stager.Links{DomainDelay: ms(1), RegionDelay: ms(2), RegionBytesPerSecond: 2.5e6, HostBytesPerSecond: 5e6, OriginBytesPerSecond: 1e7},
		Tiers: []filbertstile.Tier{{Name: "high", Rank: 2, Weight: 4, FloorPercent: 20}, {Name: "low", Rank: 1, Weight: 1, FloorPercent: 5}},
	}
	for _, tier := range []string{"high", "low"} {
		d.Accounts = append(d.Accounts, stager.Caller{Token: tier, Account: filbertstile.Account{Name: tier, Tier: tier, RatePerSecond: 1e5, Burst: 1e4}})
	}
	return d
}

// Run plays the step with the faults, and returns the verdict after everything
// has recovered.
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
	if err := c.install(ctx); err != nil {
		return checker.Verdict{}, err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	c.load(loadCtx, ctx)
	if err := sleeper.Sleep(ctx, time.Second); err != nil {
		return checker.Verdict{}, err
	}
	if err := c.play(ctx, step, faults); err != nil {
		return checker.Verdict{}, err
	}
	stopLoad()
	c.wg.Wait()
	if err := c.recovered(ctx); err != nil {
		return c.verdict(), err
	}
	return c.verdict(), nil
}

func (c *Cell) install(ctx context.Context) error {
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
	var seeds []string
	for _, e := range c.Stage.Entries {
		seeds = append(seeds, e.Settings.HTTPAddress)
	}
	for i, token := range []string{"high", "low"} {
		c.callers = append(c.callers, caller.New(caller.Config{Client: client, Seeds: seeds, Token: token, Seed: uint64(i)}))
	}
	return nil
}

// AddRelease applies release notes that make a new release the model's.
func (c *Cell) AddRelease(ctx context.Context, name string, seed uint64) error {
	m, err := c.Stage.AddRelease(ctx, modelService, imitator.ReleaseConfig{Name: name, Seed: seed, ChunkBytes: chunkBytes, Chunks: chunks})
	c.releases = append(c.releases, checker.Release{Name: name, Whole: m.Whole})
	return err
}

// load sends requests and orders until the context ends.
func (c *Cell) load(ctx, outer context.Context) {
	for i, from := range c.callers {
		c.wg.Go(func() {
			for n := 0; ; n++ {
				c.note(from.Complete(outer, modelService, fmt.Sprintf("ask %d %d", i, n), tokens, n%2 == 0))
				if sleeper.Sleep(ctx, askGap) != nil {
					return
				}
			}
		})
		c.wg.Go(func() {
			for n := 0; ; n++ {
				c.order(outer, from, fmt.Sprintf("key-%d-%d", i, n))
				if sleeper.Sleep(ctx, orderGap) != nil {
					return
				}
			}
		})
	}
}

// order sends an order, and as callers do, sends it again with the same key
// while the answer leaves that open.
func (c *Cell) order(ctx context.Context, from *caller.Caller, key string) {
	for range 3 {
		r := from.Order(ctx, ledgerService, key, "pay "+key)
		c.note(r)
		if r.OK() {
			return
		}
		if sleeper.Sleep(ctx, orderGap) != nil {
			return
		}
	}
}

func (c *Cell) note(r caller.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// play runs the step, with the faults breaking in at a random moment of it.
func (c *Cell) play(ctx context.Context, step Step, faults []Fault) error {
	var wg sync.WaitGroup
	failed := make(chan error, 1)
	wg.Go(func() { failed <- step.Run(ctx, c) })
	for _, f := range faults {
		delay := time.Duration(c.Rand.Int64N(int64(step.Length)))
		wg.Go(func() {
			if sleeper.Sleep(ctx, delay) != nil {
				return
			}
			f.Break(ctx, c)
		})
	}
	wg.Wait()
	return <-failed
}

// recovered tells whether the system is whole again: all replicas run the
// release and every request is answered.
func (c *Cell) recovered(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoverLimit)
	defer cancel()
	last := c.releases[len(c.releases)-1].Name
	if err := c.Stage.AwaitRelease(ctx, modelService, last, len(c.Stage.HostsOf(modelService))); err != nil {
		return err
	}
	for streak := 0; streak < afterwards; {
		r := c.callers[0].Complete(ctx, modelService, fmt.Sprint("after ", streak), tokens, true)
		o := c.callers[0].Order(ctx, ledgerService, fmt.Sprint("after-", time.Now().UnixNano()), "pay after")
		c.note(r)
		c.note(o)
		streak++
		if !r.OK() || !o.OK() {
			streak = 0
		}
		if err := sleeper.Sleep(ctx, askGap); err != nil {
			return fmt.Errorf("requests are not answered again: %+v %+v: %w", r, o, err)
		}
	}
	return nil
}

func (c *Cell) verdict() checker.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := checker.Evidence{Results: c.results, Releases: c.releases, Outages: c.outages, OutGrace: outGrace}
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

// propose applies a change through any entry that takes it.
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

// Markdown renders the matrix as docs/FAULTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# The fault matrix\n\nGenerated by `make docs` from package faulter. `make test` plays every fault at every step, and pairs of\n")
	b.WriteString("faults, on 4 entries and 8 backend servers in 3 regions, in virtual time with fixed seeds, under load of\n")
	b.WriteString("streamed and whole requests and of orders that are repeated with their key. Each cell is judged by the\n")
	b.WriteString("journals of the stand-ins (package checker): no answer of partial or mixed weights, no wrong answer, no\n")
	b.WriteString("order run twice or lost, none told NotRun that ran, no new work in a domain 3 s after it went out; and\n")
	b.WriteString("after the fault all replicas run the release again and requests are answered.\n\n")
	b.WriteString("## Faults\n\n| Fault | What happens |\n|---|---|\n")
	for _, f := range Faults() {
		fmt.Fprintf(&b, "| %s | %s |\n", f.Name, f.What)
	}
	b.WriteString("\n## Steps\n\n| Step | What is under way |\n|---|---|\n")
	for _, s := range Steps() {
		fmt.Fprintf(&b, "| %s | %s |\n", s.Name, s.What)
	}
	b.WriteString("\n## Pairs\n\n")
	for _, p := range Pairs() {
		fmt.Fprintf(&b, "- %s and %s, at %s\n", p.First, p.Second, p.Step)
	}
	return b.String()
}
