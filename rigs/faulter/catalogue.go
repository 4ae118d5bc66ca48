package faulter

import (
	"context"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/rigs/checker"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/rigs/stager"
	"filbertstile.example/filbertstile/shells/entryrunner"
	"filbertstile.example/filbertstile/shells/relayer"
)

// Fault is something that breaks, and heals after a while.
type Fault struct {
	Name string
	What string
	// Break breaks and heals.
	Break func(ctx context.Context, c *Cell)
}

// Step is something under way when a fault comes.
type Step struct {
	Name string
	What string
	// Length is the time in which the fault may come.
	Length time.Duration
	Run    func(ctx context.Context, c *Cell) error
}

// Pair is two faults at one step.
type Pair struct {
	First  string
	Second string
	Step   string
}

// Faults lists the faults.
func Faults() []Fault {
	return []Fault{
		{"HostDies", "a host is cut off and its process gone; it comes back empty", hostDies(modelService)},
		{"LedgerHostDies", "the same with a host of the service that runs orders", hostDies(ledgerService)},
		{"HostPauses", "a host stands still and wakes late", hostPauses(modelService)},
		{"LedgerHostPauses", "the same with a host of the service that runs orders", hostPauses(ledgerService)},
		{"EntryDies", "an entry is cut off and its process gone; it comes back", entryDies},
		{"EntryPauses", "an entry stands still and wakes late", entryPauses},
		{"RelayDies", "an entry that asks the object API dies; it comes back", relayDies},
		{"LeaseHolderPauses", "the entry that controls rollouts stands still and wakes late", leaseHolderPauses},
		{"RegionCut", "a region is cut off from the others", regionCut},
		{"StoreSlow", "each call to the object API takes 700 ms longer", objectFaults(imitator.ObjectFaults{Delay: 700 * time.Millisecond})},
		{"StoreDown", "the object API answers nothing", objectFaults(imitator.ObjectFaults{Down: true})},
		{"StoreLosesReplies", "replies of the object API are lost after the write took effect", objectFaults(imitator.ObjectFaults{LoseReplies: 8})},
		{"StoreLags", "reads and watches show an old state", objectFaults(imitator.ObjectFaults{LagRevisions: 5})},
		{"ListForgets", "the host list forgets processes that live", listForgets},
		{"TurnsCold", "a warm engine turns cold without warning", turnsCold},
		{"EngineFails", "an engine fails every request", engineFails},
		{"ChunksCorrupt", "one chunk in five arrives damaged from the weight store", chunksCorrupt},
		{"WeightsDown", "the weight store answers nothing", weightsDown},
		{"OperatorsRace", "two operators change the same tier at once", operatorsRace},
	}
}

// Steps lists the steps.
func Steps() []Step {
	return []Step{
		{"Request", "requests and orders only", faultTime, func(ctx context.Context, _ *Cell) error { return sleeper.Sleep(ctx, faultTime) }},
		{"Drain", "a host of each service stops as planned, and starts again", 2 * time.Second, drainHosts},
		{"EntryStop", "an entry stops as planned, and starts again", 2 * time.Second, stopEntry},
		{"DomainOutIn", "a failure domain is taken out, and back in", 6 * time.Second, domainOutIn},
		{"Change", "operators change the configuration", time.Second, changeTier},
		{"Spread", "the weights of a new release spread", time.Second, spread},
		{"Switch", "replicas switch to a new release", 2 * time.Second, switchRelease},
	}
}

// Pairs lists the pairs of faults that are played.
func Pairs() []Pair {
	return []Pair{
		{"StoreDown", "LedgerHostDies", "Request"},
		{"StoreLosesReplies", "EntryDies", "Request"},
		{"StoreSlow", "LedgerHostPauses", "Request"},
		{"EntryPauses", "LedgerHostDies", "Request"},
		{"RegionCut", "StoreDown", "DomainOutIn"},
		{"RegionCut", "RelayDies", "DomainOutIn"},
		{"EntryDies", "HostDies", "Drain"},
		{"HostDies", "StoreDown", "Spread"},
		{"ChunksCorrupt", "HostPauses", "Spread"},
		{"LeaseHolderPauses", "StoreSlow", "Switch"},
		{"LeaseHolderPauses", "HostDies", "Switch"},
		{"StoreLags", "RelayDies", "Change"},
		{"OperatorsRace", "StoreLosesReplies", "Change"},
	}
}

func (c *Cell) pickHost(service string) *stager.HostProcess {
	hosts := c.Stage.HostsOf(service)
	return hosts[c.Rand.IntN(len(hosts))]
}

// stallFor cuts a site off for a while.
func (c *Cell) stallFor(ctx context.Context, site string) {
	c.Stage.Fabric.SetStalled(site, true)
	_ = sleeper.Sleep(ctx, faultTime)
	c.Stage.Fabric.SetStalled(site, false)
}

func hostDies(service string) func(context.Context, *Cell) {
	return func(ctx context.Context, c *Cell) {
		h := c.pickHost(service)
		c.Stage.Fabric.SetStalled(h.Settings.Identity.Name, true)
		h.Kill()
		c.Stage.List.Remove(h.Settings.Identity.Name)
		_ = sleeper.Sleep(ctx, faultTime)
		c.Stage.Fabric.SetStalled(h.Settings.Identity.Name, false)
		_ = c.Stage.StartHost(h)
	}
}

func hostPauses(service string) func(context.Context, *Cell) {
	return func(ctx context.Context, c *Cell) { c.stallFor(ctx, c.pickHost(service).Settings.Identity.Name) }
}

func (c *Cell) killEntry(ctx context.Context, e *stager.EntryProcess) {
	name := e.Settings.Identity.Name
	c.Stage.Fabric.SetStalled(name, true)
	e.Kill()
	c.Stage.List.Remove(name)
	_ = sleeper.Sleep(ctx, faultTime)
	c.Stage.Fabric.SetStalled(name, false)
	_ = c.Stage.StartEntry(e)
}

func entryDies(ctx context.Context, c *Cell) {
	c.killEntry(ctx, c.Stage.Entries[1+c.Rand.IntN(len(c.Stage.Entries)-1)])
}

func entryPauses(ctx context.Context, c *Cell) {
	c.stallFor(ctx, c.Stage.Entries[c.Rand.IntN(len(c.Stage.Entries))].Settings.Identity.Name)
}

func relayDies(ctx context.Context, c *Cell) {
	for _, e := range c.Stage.Entries {
		if e.Entry.Node().Relay.Place().Root {
			c.killEntry(ctx, e)
			return
		}
	}
}

func leaseHolderPauses(ctx context.Context, c *Cell) {
	for _, e := range c.Stage.Entries {
		if st, ok := e.Entry.Node().Dump().Role.(entryrunner.State); ok && st.Rollout.Holder {
			c.stallFor(ctx, e.Settings.Identity.Name)
			return
		}
	}
}

func regionCut(ctx context.Context, c *Cell) {
	others := []string{"ra", "rb"}
	for _, o := range others {
		c.Stage.Fabric.SetPartitioned("rc", o, true)
	}
	_ = sleeper.Sleep(ctx, faultTime)
	for _, o := range others {
		c.Stage.Fabric.SetPartitioned("rc", o, false)
	}
}

func objectFaults(f imitator.ObjectFaults) func(context.Context, *Cell) {
	return func(ctx context.Context, c *Cell) {
		c.Stage.Objects.SetFaults(f)
		_ = sleeper.Sleep(ctx, faultTime)
		c.Stage.Objects.SetFaults(imitator.ObjectFaults{})
	}
}

func listForgets(ctx context.Context, c *Cell) {
	c.Stage.List.Remove(c.pickHost(modelService).Settings.Identity.Name)
	c.Stage.List.Remove(c.Stage.Entries[c.Rand.IntN(len(c.Stage.Entries))].Settings.Identity.Name)
	_ = sleeper.Sleep(ctx, faultTime)
}

func turnsCold(_ context.Context, c *Cell) { c.pickHost(modelService).Engine.TurnCold() }

func engineFails(ctx context.Context, c *Cell) {
	h := c.pickHost(modelService)
	h.Engine.SetBroken(true)
	_ = sleeper.Sleep(ctx, faultTime)
	h.Engine.SetBroken(false)
}

func chunksCorrupt(ctx context.Context, c *Cell) {
	c.Stage.Weights.CorruptOneIn(5)
	_ = sleeper.Sleep(ctx, faultTime)
	c.Stage.Weights.CorruptOneIn(0)
}

func weightsDown(ctx context.Context, c *Cell) {
	c.Stage.Weights.SetDown(true)
	_ = sleeper.Sleep(ctx, faultTime)
	c.Stage.Weights.SetDown(false)
}

func tierChange(weight int) relayer.Proposal {
	return relayer.Proposal{Notes: filbertstile.ReleaseNotes{Changed: filbertstile.Entities{
		Tiers: []filbertstile.Tier{{Name: "low", Rank: 1, Weight: weight, FloorPercent: 5}},
	}}}
}

// operatorsRace has two operators apply on the same base: at most one may win.
func operatorsRace(ctx context.Context, c *Cell) {
	base := c.Stage.Entries[0].Entry.Node().Holder.View().Config.Revision
	for i, e := range c.Stage.Entries[:2] {
		p := tierChange(2 + i)
		p.Base = base
		c.wg.Go(func() { _, _ = c.Stage.Propose(ctx, e, p) })
	}
}

func drainHosts(ctx context.Context, c *Cell) error {
	for _, service := range []string{modelService, ledgerService} {
		h := c.Stage.HostsOf(service)[0]
		if err := h.Stop(ctx); err != nil {
			return err
		}
		if err := c.Stage.StartHost(h); err != nil {
			return err
		}
	}
	return nil
}

func stopEntry(ctx context.Context, c *Cell) error {
	e := c.Stage.Entries[0]
	if err := e.Stop(ctx); err != nil {
		return err
	}
	if err := sleeper.Sleep(ctx, time.Second); err != nil {
		return err
	}
	return c.Stage.StartEntry(e)
}

func domainMark(out bool) relayer.Proposal {
	return relayer.Proposal{Marks: []filbertstile.Mark{{Kind: filbertstile.MarkDomain, Name: outDomain, Out: out}}}
}

func domainOutIn(ctx context.Context, c *Cell) error {
	if err := c.propose(ctx, domainMark(true)); err != nil {
		return err
	}
	from := time.Now()
	if err := sleeper.Sleep(ctx, 5*time.Second); err != nil {
		return err
	}
	to := time.Now()
	c.outages = append(c.outages, checker.Outage{Domain: outDomain, From: from, To: to})
	return c.propose(ctx, domainMark(false))
}

func changeTier(ctx context.Context, c *Cell) error {
	for i := range 5 {
		if err := c.propose(ctx, tierChange(3+i)); err != nil {
			return err
		}
		if err := sleeper.Sleep(ctx, 200*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

func spread(ctx context.Context, c *Cell) error {
	for ctx.Err() == nil {
		if err := c.AddRelease(ctx, secondRelease, 2); err == nil {
			break
		}
		c.releases = c.releases[:1]
		if c.accepted(secondRelease) {
			break
		}
		_ = sleeper.Sleep(ctx, time.Second)
	}
	return sleeper.Sleep(ctx, 2*time.Second)
}

// accepted tells whether a release is in the configuration although its
// operator was told otherwise.
func (c *Cell) accepted(release string) bool {
	for _, e := range c.Stage.Entries {
		if _, ok := e.Entry.Node().Holder.View().Config.Releases.Get(release); ok {
			return true
		}
	}
	return false
}

func switchRelease(ctx context.Context, c *Cell) error {
	if err := spread(ctx, c); err != nil {
		return err
	}
	return sleeper.Sleep(ctx, 2*time.Second)
}
