package placer

import "time"

const (
	// countBuckets is the number of buckets of a rateWindow, which together cover a second and
	// the delay of the messages that other entries send.
	countBuckets = 12
	// countBucketTime is the time that one bucket covers.
	countBucketTime = 100 * time.Millisecond
	// maxCountAge is the age from which the counts of another entry are stale. Entries send all
	// of them every 500 ms, and two messages in a row may be lost.
	maxCountAge = 1600 * time.Millisecond
)

// rateWindow counts the requests of about the last second.
type rateWindow struct {
	buckets [countBuckets]uint32
	// latest is the number of the bucket that was last used.
	latest int64
	sum    uint32
}

// add adds n requests.
func (w *rateWindow) add(now time.Time, n uint32) {
	w.advance(now)
	w.buckets[w.latest%countBuckets] += n
	w.sum += n
}

// count returns the number of requests in the window.
func (w *rateWindow) count(now time.Time) int {
	w.advance(now)
	return int(w.sum)
}

// advance empties the buckets that have left the window.
func (w *rateWindow) advance(now time.Time) {
	bucket := now.UnixNano() / int64(countBucketTime)
	if bucket-w.latest >= countBuckets {
		*w = rateWindow{latest: bucket}
		return
	}
	for w.latest < bucket {
		w.latest++
		i := w.latest % countBuckets
		w.sum -= w.buckets[i]
		w.buckets[i] = 0
	}
}

// peerCounts are the counts that another entry has sent.
type peerCounts struct {
	// placed holds its number of placements since its start, by replica hash.
	placed map[uint32]uint32
	// allAt is the time of its latest message with all counts.
	allAt time.Time
}

// LocalCounts returns this entry's number of placements since its start, by replica ID, for those
// replicas for which it has changed since the last call or, if all is true, for all.
func (p *Placer) LocalCounts(all bool) map[string]uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]uint32)
	for id, r := range p.byID {
		if r.placed != r.lastPlaced || all && r.placed > 0 {
			r.lastPlaced = r.placed
			out[id] = r.placed
		}
	}
	return out
}

// SetPeerCounts sets the numbers of placements of another entry, by replica hash. If all is true,
// the message has the counts of all replicas that the entry has used. A count that is lower than
// before is that of a process that has started again.
func (p *Placer) SetPeerCounts(now time.Time, entry string, placed map[uint32]uint32, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.peerCounts[entry]
	if c == nil {
		c = &peerCounts{placed: make(map[uint32]uint32)}
		p.peerCounts[entry] = c
	}
	for hash, n := range placed {
		before, known := c.placed[hash]
		if r := p.byHash[hash]; r != nil && n > before && (known || !c.allAt.IsZero()) {
			r.peerPlaced.add(now, n-before)
		}
		c.placed[hash] = n
	}
	if all {
		c.allAt = now
		for hash := range c.placed {
			if p.byHash[hash] == nil {
				delete(c.placed, hash)
			}
		}
	}
}

// countPlaced counts a placement of this entry at the replica.
func (r *replicaState) countPlaced(now time.Time) {
	r.placed++
	r.ownPlaced.add(now, 1)
}

// countsKnown reports whether the counts of all other live entries of the group are fresh.
func (p *Placer) countsKnown(now time.Time) bool {
	fresh := 0
	for name, c := range p.peerCounts {
		if now.Sub(c.allAt) >= maxCountAge {
			continue
		}
		if _, live := p.peerLoads[name]; live {
			fresh++
		}
	}
	return fresh > 0 && fresh >= p.fleet.GroupEntries-1
}

// sharesColdLimit reports whether the entries of the group share the limit of the replica by what each
// has used of it, and not only in equal parts. An equal share is less than the requests of an entry
// that many callers have chosen, or of all entries on the few replicas of a small group. Replicas
// that are new, and so most likely cold, are not among them.
func (p *Placer) sharesColdLimit(now time.Time, r *replicaState) bool {
	if p.fleet.GroupReplicas == nil || r.otherGroup || now.Before(r.newUntil) || !p.countsKnown(now) {
		return false
	}
	x := p.announced[r.replica.ID]
	return x == nil || !x.limit.limit.Named
}

// withinSharedColdLimit reports whether another request would keep the requests of all entries within
// the limit, given how many requests of others may not be known yet.
func (p *Placer) withinSharedColdLimit(now time.Time, r *replicaState, limit float64, unknown int) bool {
	return float64(r.ownPlaced.count(now)+r.peerPlaced.count(now)+unknown) < limit
}
