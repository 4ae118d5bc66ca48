package edgerunner

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/outside/tracker"
	"filbertstile.example/filbertstile/transport/pulser"
)

const (
	// compareTimeout is how long an entry waits for the reports of others, which may not run.
	compareTimeout = 600 * time.Millisecond
	// reportLifetime is how long a reported version counts. What the store has lost is written
	// again within seconds.
	reportLifetime = 10 * time.Second
	// reportedMarksTime is how long after the marks were listed in a new era those that others report
	// count, too: the operators write again what the store has lost within seconds.
	reportedMarksTime = 3 * time.Second
	// lostMargin is how much later than a report the copy must be confirmed without the reported
	// version to show that the store has lost it: confirmations err by up to 0.1 s.
	lostMargin = 200 * time.Millisecond
	// fetchDelay is how long an entry that has just started waits for a reported version before it
	// gets it from the entry that reported it, and fetchTimeout how long that may take.
	fetchDelay   = 150 * time.Millisecond
	fetchTimeout = time.Second
	// maxAskedPeers is the maximum number of entries that an entry asks: if many start at the same
	// time, the answers must not delay other messages.
	maxAskedPeers = 8
	// fetchRetryDelay is the delay between two attempts.
	fetchRetryDelay = 100 * time.Millisecond
	// neverConfirmed stands for the age of a configuration that was never confirmed.
	neverConfirmed = time.Hour
)

// report is what another entry has in force.
type report struct {
	version int64
	// outOfService are the failure domains that are out of service.
	outOfService []string
	// firstHeardAt is the time of the first report of the version, and heardAt that of the latest.
	firstHeardAt time.Duration
	heardAt      time.Duration
	// era is the era in which the entry has compared its configuration.
	era uint64
	// reliable is true if the entry has compared its configuration in the era or the store has
	// confirmed it recently, and the report did not wait to be read.
	reliable bool
}

// comparison compares the entry's configuration with those that other entries have in force. In an
// era that is new to the entry, the store alone does not show which configuration that is: it may
// have come back from a copy that is older than what it had confirmed, until that is written again.
type comparison struct {
	mu      sync.Mutex
	reports map[string]report
	// era is the era of the entry's copy, which has been listed since listedAt.
	listed   bool
	era      uint64
	listedAt time.Duration
	// listedRevision is the revision of that list, and recorded what is known of earlier comparisons
	// if hasRecord is true.
	listedRevision uint64
	recorded       recordedEra
	hasRecord      bool
	// marksEra and marksListedAt are the same for the copy of the marks.
	marksListed   bool
	marksEra      uint64
	marksListedAt time.Duration
	// done is true after the configuration has been compared in the era.
	done bool

	// confirmedAt is the latest time as of which the store has confirmed the configuration in an
	// era in which it was compared; 0 if there is none, or if the configuration was lost.
	confirmedAt atomic.Int64
	// newest is the latest version that is reported, and doneIn the era after the one in which the
	// configuration was compared; 0 if it was not.
	newest atomic.Int64
	doneIn atomic.Uint64
}

func newComparison(hasRecord bool) *comparison {
	return &comparison{reports: make(map[string]report), hasRecord: hasRecord}
}

// record records the report of an entry, and reports whether other failure domains are out of
// service than in the one before.
func (c *comparison) record(name string, r report) (marksChanged bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.reports[name]
	if ok && old.version == r.version {
		r.firstHeardAt = old.firstHeardAt
	}
	c.reports[name] = r
	newest := int64(0)
	for n, old := range c.reports {
		if r.heardAt-old.heardAt > reportLifetime {
			delete(c.reports, n)
			continue
		}
		newest = max(newest, old.version)
	}
	c.newest.Store(newest)
	return !slices.Equal(old.outOfService, r.outOfService)
}

// reportedMarks returns the failure domains that other entries report as out of service, if the
// copy of the marks has been listed in the current era so recently that it may lack them. Begun is
// true if it has just been listed.
func (c *comparison) reportedMarks(v tracker.View[filbertstile.Mark], now time.Duration) (names []string, begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.Listed && (!c.marksListed || c.marksEra != v.Era) {
		c.marksListed, c.marksEra, c.marksListedAt, begun = true, v.Era, now, true
	}
	if c.marksListed && now-c.marksListedAt >= reportedMarksTime {
		return nil, begun
	}
	for _, r := range c.reports {
		if now-r.heardAt <= pulser.HeartbeatTimeout {
			names = append(names, r.outOfService...)
		}
	}
	return names, begun
}

// holds reports whether the comparison is done in the era and no entry has reported a later
// version.
func (c *comparison) holds(era uint64, version int64) bool {
	return c.doneIn.Load() == era+1 && c.newest.Load() <= version
}

// begin begins the comparison in the era of the copy, and reports whether that is a new one.
func (c *comparison) begin(v tracker.View[filbertstile.Routing], now time.Duration) bool {
	if c.listed && c.era == v.Era {
		return false
	}
	c.listed, c.era, c.listedAt, c.listedRevision, c.done = true, v.Era, now, v.Revision, false
	c.recorded = recordedEra{read: !c.hasRecord}
	c.doneIn.Store(0)
	return true
}

// newer returns the name of the entry that has reported the latest version after the given one, and
// the time at which that version was first heard of. The caller holds c.mu.
func (c *comparison) newer(version int64, now time.Duration) (name string, heardAt time.Duration, ok bool) {
	var best report
	for n, r := range c.reports {
		if r.version <= version || now-r.heardAt > reportLifetime {
			continue
		}
		if !ok || r.version > best.version || r.version == best.version && r.heardAt > best.heardAt {
			name, best, ok = n, r, true
		}
	}
	heardAt = best.firstHeardAt
	for _, r := range c.reports {
		if r.version == best.version {
			heardAt = min(heardAt, r.firstHeardAt)
		}
	}
	return name, heardAt, ok
}

// heardReliable reports whether a reliable report has been heard since the copy was listed. The
// caller holds c.mu.
func (c *comparison) heardReliable() bool {
	for _, r := range c.reports {
		if r.reliable && r.heardAt >= c.listedAt && r.era+1 >= c.era {
			return true
		}
	}
	return false
}

// heardAll reports whether all of the peers that are asked have been heard since the copy was
// listed, or need not be waited for. The caller holds c.mu.
func (c *comparison) heardAll(peers func() []filbertstile.Member, peersKnown bool, now time.Duration) bool {
	if now-c.listedAt >= compareTimeout {
		return true
	}
	return peersKnown && !slices.ContainsFunc(peers(), func(m filbertstile.Member) bool {
		r, ok := c.reports[m.Name]
		return !ok || r.heardAt < c.listedAt
	})
}

// confirm records that the store has confirmed the configuration.
func (c *comparison) confirm(at time.Duration) { c.confirmedAt.Store(int64(at)) }

// age returns the time since the store confirmed the configuration in an era in which it was
// compared.
func (c *comparison) age(now time.Duration) time.Duration {
	if at := time.Duration(c.confirmedAt.Load()); at != 0 {
		return now - at
	}
	return neverConfirmed
}

// compare compares the copy, whose configuration has the version, with the reports of other entries, and
// reports whether the configuration is the one in force.
func (e *Edge) compare(v tracker.View[filbertstile.Routing], version int64) bool {
	c, now := e.comparison, e.config.Clock()
	c.mu.Lock()
	begun := c.begin(v, now)
	_, heardAt, newer := c.newer(version, now)
	sound := func() bool {
		return c.heardReliable() || c.heardAll(e.peersToAsk, e.divided.Load(), now) && !c.mayHaveLost(now, writtenSince(e.sources.Routing, c.listedRevision))
	}
	if !newer && !c.done && sound() {
		c.done = true
		c.doneIn.Store(c.era + 1)
	}
	lost := newer && v.ConfirmedAt > heardAt+lostMargin
	inForce := c.done && !lost
	c.mu.Unlock()
	if lost {
		c.confirm(0)
	}
	if begun {
		e.requestRecord()
		e.askOthers()
		time.AfterFunc(rewriteTimeout, e.Refresh)
		time.AfterFunc(compareTimeout, e.Refresh)
	}
	if newer && (lost || !inForce && now-heardAt >= fetchDelay) {
		select {
		case e.fetchRequested <- struct{}{}:
		default:
		}
	}
	return inForce
}

// askOthers asks others for what they have in force, if any are known. Until the members are listed,
// heartbeats to the contacts ask.
func (e *Edge) askOthers() {
	if peers := e.peersToAsk(); len(peers) > 0 {
		e.pulser.Send(pulser.Message{Pulse: e.newStatePulse(), To: peers})
	}
}

// peersToAsk returns the entries of the group that this one asks, which differ from entry to entry.
func (e *Edge) peersToAsk() []filbertstile.Member {
	peers := slices.Clone(e.division.Load().GroupPeers)
	if len(peers) > maxAskedPeers {
		slices.SortFunc(peers, func(a, b filbertstile.Member) int {
			return cmp.Compare(xxhash.Sum64String(e.config.Self.Name+"\x00"+a.Name), xxhash.Sum64String(e.config.Self.Name+"\x00"+b.Name))
		})
		peers = peers[:maxAskedPeers]
	}
	return peers
}

// inForce returns what this entry has in force, for heartbeats.
func (e *Edge) inForce() *wire.InForce {
	c := e.comparison
	c.mu.Lock()
	out := &wire.InForce{Era: c.era, Compared: c.done, Asks: c.listed && !c.done}
	c.mu.Unlock()
	if m := e.matcher.Load(); m != nil {
		out.ConfigVersion = m.Routing().Version
	}
	for _, m := range e.sources.Marks.View().Rows.All() {
		if m.Out {
			out.OutOfService = append(out.OutOfService, m.Name)
		}
	}
	return out
}

// outOfService returns the failure domains that are out of service: those of the marks and, while
// these may be incomplete, those that other entries report.
func (e *Edge) outOfService() map[string]bool {
	out, marks := make(map[string]bool), e.sources.Marks.View()
	for _, m := range marks.Rows.All() {
		out[m.Name] = m.Out
	}
	names, begun := e.comparison.reportedMarks(marks, e.config.Clock())
	for _, name := range names {
		out[name] = true
	}
	if begun {
		time.AfterFunc(reportedMarksTime, e.Refresh)
	}
	return out
}

// learnInForce records what another entry has in force, and answers if that asks.
func (e *Edge) learnInForce(p *wire.Pulse) {
	in := p.GetInForce()
	if in == nil {
		return
	}
	now := e.config.Clock()
	marksChanged := e.comparison.record(p.GetName(), report{
		version: in.GetConfigVersion(), outOfService: in.GetOutOfService(), firstHeardAt: now, heardAt: now, era: in.GetEra(),
		reliable: (in.GetCompared() || p.GetCurrent()) && e.senders.messageDelay() == 0,
	})
	starting := e.matcher.Load() == nil
	e.currentMatcher() // the report may be the one that was missing
	if marksChanged || starting {
		e.Refresh()
	}
	if in.GetAsks() && !e.inForce().GetAsks() {
		if m, ok := e.sources.Members.View().Rows.Get(p.GetName()); ok {
			e.pulser.Send(pulser.Message{Pulse: e.newStatePulse(), To: []filbertstile.Member{m}})
		}
	}
}

// newStatePulse returns a message with the state of this entry and what it has in force.
func (e *Edge) newStatePulse() *wire.Pulse {
	p := e.newPulse()
	p.InForce = e.inForce()
	return p
}

// fetchLost gets configurations that the store has lost from the entries that have them in force,
// until the context ends.
func (e *Edge) fetchLost(ctx context.Context) {
	for {
		select {
		case <-e.fetchRequested:
		case <-ctx.Done():
			return
		}
		if err := e.fetchConfig(ctx); err != nil && ctx.Err() == nil {
			e.config.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "fetch configuration", "Error": err})
		}
		if sleeper.Sleep(ctx, fetchRetryDelay) != nil {
			return
		}
	}
}

// fetchConfig gets the latest configuration that another entry has in force, if it is later than
// that of this one.
func (e *Edge) fetchConfig(ctx context.Context) error {
	r, _ := e.routing()
	e.comparison.mu.Lock()
	name, _, newer := e.comparison.newer(r.Version, e.config.Clock())
	e.comparison.mu.Unlock()
	if !newer || e.sharer == nil {
		return nil
	}
	members := e.knownMembers()
	i := slices.IndexFunc(members, func(m filbertstile.Member) bool { return m.Name == name })
	if i < 0 {
		return fmt.Errorf("entry %q is not registered", name)
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	u, err := e.sharer.Fetch(ctx, members[i], e.sources.Routing.Prefix())
	if err != nil {
		return err
	}
	e.sources.Routing.Adopt(u.Objects)
	if got, _ := e.routing(); got.Version > r.Version {
		e.config.Log.Event(reporter.ConfigurationAdopted, reporter.Fields{"Config": got.Version, "Stored": r.Version, "Peer": name, "Era": u.Era})
	}
	e.currentMatcher()
	return nil
}
