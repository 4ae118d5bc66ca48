package edgerunner

import (
	"cmp"
	"context"
	"fmt"
	"slices"
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
	// lostMargin is how much later than a report the copy must be confirmed without the reported
	// version to show that the store has lost it: confirmations err by up to 0.1 s.
	lostMargin = 200 * time.Millisecond
	// fetchDelay is how long an entry that has just started waits for a reported version before it
	// gets it from the entry that reported it, and fetchTimeout how long that may take.
	fetchDelay   = 150 * time.Millisecond
	fetchTimeout = time.Second
	// fetchRetryDelay is the delay between two attempts.
	fetchRetryDelay = 100 * time.Millisecond
	// maxAskedPeers is the maximum number of entries that an entry asks: if many start at the same
	// time, the answers must not delay other messages.
	maxAskedPeers = 8
)

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
	var compared reporter.Fields
	if !newer && !c.done && sound() {
		c.done = true
		c.doneIn.Store(c.era + 1)
		compared = reporter.Fields{"Config": version, "Era": c.era, "Recorded": c.recorded.String(), "Heard": c.heard(), "Took": (now - c.listedAt).String()}
	}
	lost := newer && v.ConfirmedAt > heardAt+lostMargin
	inForce := c.done && !lost
	c.mu.Unlock()
	if compared != nil {
		e.config.Log.Event(reporter.EraCompared, compared)
		e.requestRecord()
	}
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
		compared: in.GetCompared(), current: p.GetCurrent(), delayed: e.senders.messageDelay() > 0,
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
