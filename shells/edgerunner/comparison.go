package edgerunner

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"filbertstile.example/filbertstile"
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
	// rewriteTimeout is how long entries that have all started in a new era wait for operators to
	// write again what the store has lost.
	rewriteTimeout = 3 * time.Second
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
	// era is the era of the entry's copy of the store, and compared is true if the entry has compared its
	// configuration in that era.
	era      uint64
	compared bool
	// current is true if the store has confirmed the entry's view recently.
	current bool
	// delayed is true if the report may have waited to be read.
	delayed bool
}

// recordedEra is what an entry knows of the record of the latest era in which entries have compared
// what they have in force.
type recordedEra struct {
	read bool
	// era is the zero Era if there is no record.
	era filbertstile.Era
}

// String returns the record for log lines.
func (r recordedEra) String() string {
	if !r.read {
		return "Unread"
	}
	return r.era.String()
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

// begin begins the comparison in the era of the copy, and reports whether that is a new one. A view of
// the copy may have been taken before the latest era began.
func (c *comparison) begin(v tracker.View[filbertstile.Routing], now time.Duration) bool {
	if c.listed && v.Era <= c.era {
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

// heardReliable reports whether an entry has been heard since the copy was listed that has compared its
// configuration in the era, or has been in touch with the store until lately. The caller holds c.mu.
func (c *comparison) heardReliable() bool {
	for _, r := range c.reports {
		if !r.delayed && r.heardAt >= c.listedAt && (r.current || r.compared && r.era >= c.era) {
			return true
		}
	}
	return false
}

// heard returns the number of entries that have been heard since the copy was listed. The caller holds c.mu.
func (c *comparison) heard() int {
	n := 0
	for _, r := range c.reports {
		if r.heardAt >= c.listedAt {
			n++
		}
	}
	return n
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

// mayHaveLost reports whether the store may lack what no entry knows any more: it has come back from an
// older copy since entries last compared what they have in force, and operators have not had the
// time to write it again. The caller holds c.mu.
func (c *comparison) mayHaveLost(now time.Duration, writtenSince bool) bool {
	if now-c.listedAt >= rewriteTimeout {
		return false
	}
	return !c.recorded.read || c.recorded.era.Known() && c.recorded.era.Before(c.era) && !writtenSince
}

// setRecorded records what the record was found to be, or made, in the era.
func (c *comparison) setRecorded(era uint64, recorded filbertstile.Era) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.era == era {
		c.recorded = recordedEra{read: true, era: recorded}
	}
}

// recordWork returns the era to record if the record is out of date, and whether it must be read.
func (c *comparison) recordWork() (era uint64, read, write bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era, c.listed && !c.recorded.read, c.done && c.recorded.read && c.recorded.era.Before(c.era)
}
