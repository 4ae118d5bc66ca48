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

// Fault is a failure that can be injected into a running system.
type Fault struct {
	Name        string
	Description string
	// Inject causes the failure and, unless the system recovers from it by itself, repairs
	// it before it returns.
	Inject func(ctx context.Context, c *Cell)
}

// Step is an operation during which faults are injected.
type Step struct {
	Name        string
	Description string
	// FaultWindow is the time after the start of the step in which faults may start.
	FaultWindow time.Duration
	Run         func(ctx context.Context, c *Cell) error
}

// Pair names two faults that are injected during the same step.
type Pair struct {
	First  string
	Second string
	Step   string
}

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{
		{"HostDies", "a host loses its network and its process ends; it restarts without data", crashHost(modelService)},
		{"LedgerHostDies", "the same with a host of the service that runs orders", crashHost(ledgerService)},
		{"HostPauses", "a host pauses, simulated by a stalled network, and resumes", stallHost(modelService)},
		{"LedgerHostPauses", "the same with a host of the service that runs orders", stallHost(ledgerService)},
		{"EntryDies", "an entry loses its network and its process ends; it restarts", crashEntry},
		{"EntryPauses", "an entry pauses, simulated by a stalled network, and resumes", stallEntry},
		{"RelayDies", "an entry that reads the object API loses its network and its process ends; it restarts", crashRoot},
		{"LeaseHolderPauses", "the entry that controls rollouts pauses, simulated by a stalled network, and resumes", stallLeaseHolder},
		{"RegionCut", "a region is partitioned from the others", partitionRegion},
		{"StoreSlow", "each call to the object API takes 700 ms longer", injectObjectFaults(imitator.ObjectFaults{Delay: 700 * time.Millisecond})},
		{"StoreDown", "the object API is unavailable", injectObjectFaults(imitator.ObjectFaults{Down: true})},
		{"StoreLosesReplies", "responses of the object API are lost after a write has taken effect", injectObjectFaults(imitator.ObjectFaults{DropResponses: 8})},
		{"StoreLags", "reads and watches of the object API return stale state", injectObjectFaults(imitator.ObjectFaults{LagRevisions: 5})},
		{"ListForgets", "a live host and a live entry disappear from the host list", removeFromHostList},
		{"TurnsCold", "a warm engine becomes cold without notice", turnEngineCold},
		{"EngineFails", "an engine fails every request", breakEngine},
		{"ChunksCorrupt", "the weight store corrupts one chunk in five", corruptChunks},
		{"WeightsDown", "the weight store is unavailable", takeWeightStoreDown},
		{"OperatorsRace", "two operators change the same tier concurrently", proposeConcurrently},
		{"EngineSilent", "an engine sends nothing for two seconds, and goes on", silenceEngine},
	}
}

// Steps returns all steps.
func Steps() []Step {
	return []Step{
		{"Request", "requests and orders only", faultDuration, func(ctx context.Context, _ *Cell) error { return sleeper.Sleep(ctx, faultDuration) }},
		{"Drain", "a host of each service is drained and stopped, and starts again", 2 * time.Second, drainHosts},
		{"EntryStop", "an entry is drained and stopped, and starts again", 2 * time.Second, stopEntry},
		{"DomainOutIn", "a failure domain is taken out of service, and back", 6 * time.Second, takeDomainOutAndBack},
		{"Change", "operators change the configuration", time.Second, changeTiers},
		{"Spread", "the weights of a new release are distributed", time.Second, distributeRelease},
		{"Switch", "replicas switch to a new release", 2 * time.Second, switchRelease},
	}
}

// Pairs returns the pairs of faults that are tested.
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

// pickHost returns a random host of the service.
func (c *Cell) pickHost(service string) *stager.HostProcess {
	hosts := c.Stage.HostsOf(service)
	return hosts[c.Rand.IntN(len(hosts))]
}

// stall stalls all traffic of a site for faultDuration.
func (c *Cell) stall(ctx context.Context, site string) {
	c.Stage.Fabric.SetStalled(site, true)
	_ = sleeper.Sleep(ctx, faultDuration)
	c.Stage.Fabric.SetStalled(site, false)
}

// crashHost returns a fault that disconnects and kills a host of the service, removes it from
// the host list, and restarts it after faultDuration.
func crashHost(service string) func(context.Context, *Cell) {
	return func(ctx context.Context, c *Cell) {
		h := c.pickHost(service)
		c.Stage.Fabric.SetStalled(h.Settings.Identity.Name, true)
		h.Kill()
		c.Stage.List.Remove(h.Settings.Identity.Name)
		_ = sleeper.Sleep(ctx, faultDuration)
		c.Stage.Fabric.SetStalled(h.Settings.Identity.Name, false)
		_ = c.Stage.StartHost(h)
	}
}

func stallHost(service string) func(context.Context, *Cell) {
	return func(ctx context.Context, c *Cell) { c.stall(ctx, c.pickHost(service).Settings.Identity.Name) }
}

// crashAndRestartEntry disconnects and kills the entry, removes it from the host list, and
// restarts it after faultDuration.
func (c *Cell) crashAndRestartEntry(ctx context.Context, e *stager.EntryProcess) {
	name := e.Settings.Identity.Name
	c.Stage.Fabric.SetStalled(name, true)
	e.Kill()
	c.Stage.List.Remove(name)
	_ = sleeper.Sleep(ctx, faultDuration)
	c.Stage.Fabric.SetStalled(name, false)
	_ = c.Stage.StartEntry(e)
}

// crashEntry crashes a random entry other than the first.
func crashEntry(ctx context.Context, c *Cell) {
	c.crashAndRestartEntry(ctx, c.Stage.Entries[1+c.Rand.IntN(len(c.Stage.Entries)-1)])
}

func stallEntry(ctx context.Context, c *Cell) {
	c.stall(ctx, c.Stage.Entries[c.Rand.IntN(len(c.Stage.Entries))].Settings.Identity.Name)
}

// crashRoot crashes the first entry that is a root of the relay tree.
func crashRoot(ctx context.Context, c *Cell) {
	for _, e := range c.Stage.Entries {
		if e.Entry.Node().Relay.Place().Root {
			c.crashAndRestartEntry(ctx, e)
			return
		}
	}
}

// stallLeaseHolder stalls the entry that holds the lease for rollouts.
func stallLeaseHolder(ctx context.Context, c *Cell) {
	for _, e := range c.Stage.Entries {
		if st, ok := e.Entry.Node().Dump().Role.(entryrunner.State); ok && st.Rollout.Holder {
			c.stall(ctx, e.Settings.Identity.Name)
			return
		}
	}
}

func partitionRegion(ctx context.Context, c *Cell) {
	others := []string{"ra", "rb"}
	for _, o := range others {
		c.Stage.Fabric.SetPartitioned("rc", o, true)
	}
	_ = sleeper.Sleep(ctx, faultDuration)
	for _, o := range others {
		c.Stage.Fabric.SetPartitioned("rc", o, false)
	}
}

func injectObjectFaults(f imitator.ObjectFaults) func(context.Context, *Cell) {
	return func(ctx context.Context, c *Cell) {
		c.Stage.Objects.SetFaults(f)
		_ = sleeper.Sleep(ctx, faultDuration)
		c.Stage.Objects.SetFaults(imitator.ObjectFaults{})
	}
}

func removeFromHostList(ctx context.Context, c *Cell) {
	c.Stage.List.Remove(c.pickHost(modelService).Settings.Identity.Name)
	c.Stage.List.Remove(c.Stage.Entries[c.Rand.IntN(len(c.Stage.Entries))].Settings.Identity.Name)
	_ = sleeper.Sleep(ctx, faultDuration)
}

func turnEngineCold(_ context.Context, c *Cell) { c.pickHost(modelService).Engine.TurnCold() }

func breakEngine(ctx context.Context, c *Cell) {
	h := c.pickHost(modelService)
	h.Engine.SetBroken(true)
	_ = sleeper.Sleep(ctx, faultDuration)
	h.Engine.SetBroken(false)
}

func silenceEngine(ctx context.Context, c *Cell) {
	const silence = 2 * time.Second
	c.pickHost(modelService).Engine.FallSilent(silence)
	_ = sleeper.Sleep(ctx, silence)
}

func corruptChunks(ctx context.Context, c *Cell) {
	c.Stage.Weights.CorruptOneIn(5)
	_ = sleeper.Sleep(ctx, faultDuration)
	c.Stage.Weights.CorruptOneIn(0)
}

func takeWeightStoreDown(ctx context.Context, c *Cell) {
	c.Stage.Weights.SetDown(true)
	_ = sleeper.Sleep(ctx, faultDuration)
	c.Stage.Weights.SetDown(false)
}

// tierChange returns a proposal that sets the weight of the low tier.
func tierChange(weight int) relayer.Proposal {
	return relayer.Proposal{Notes: filbertstile.ReleaseNotes{Changed: filbertstile.Entities{
		Tiers: []filbertstile.Tier{{Name: "low", Rank: 1, Weight: weight, FloorPercent: 5}},
	}}}
}

// proposeConcurrently proposes two changes of a tier on the same base revision through two
// entries. At most one may be accepted.
func proposeConcurrently(ctx context.Context, c *Cell) {
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

// markDomain returns a proposal that takes outageDomain out of service or back.
func markDomain(out bool) relayer.Proposal {
	return relayer.Proposal{Marks: []filbertstile.Mark{{Kind: filbertstile.MarkDomain, Name: outageDomain, Out: out}}}
}

func takeDomainOutAndBack(ctx context.Context, c *Cell) error {
	if err := c.propose(ctx, markDomain(true)); err != nil {
		return err
	}
	from := time.Now()
	if err := sleeper.Sleep(ctx, 5*time.Second); err != nil {
		return err
	}
	to := time.Now()
	c.outages = append(c.outages, checker.Outage{Domain: outageDomain, From: from, To: to})
	return c.propose(ctx, markDomain(false))
}

func changeTiers(ctx context.Context, c *Cell) error {
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

// distributeRelease applies the second release, with retries, and gives its weights time to
// be distributed.
func distributeRelease(ctx context.Context, c *Cell) error {
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

// accepted reports whether a release is in the configuration of any entry. It may be there
// although its proposal returned an error.
func (c *Cell) accepted(release string) bool {
	for _, e := range c.Stage.Entries {
		if _, ok := e.Entry.Node().Holder.View().Config.Releases.Get(release); ok {
			return true
		}
	}
	return false
}

// switchRelease applies the second release and gives replicas time to switch to it.
func switchRelease(ctx context.Context, c *Cell) error {
	if err := distributeRelease(ctx, c); err != nil {
		return err
	}
	return sleeper.Sleep(ctx, 2*time.Second)
}
