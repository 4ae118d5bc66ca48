package peerrunner

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/distributor"
	"filbertstile.example/filbertstile/shells/installer"
)

// wants lists the versions to hold, in the order in which they must be in force.
func (p *Peer) wants(w filbertstile.WeightsVersion) []distributor.Want {
	var out []distributor.Want
	for v := max(1, w.Version-keptVersions+1); v <= w.Version; v++ {
		named := filbertstile.WeightsVersion{Model: w.Model, Version: v}
		d, ok := p.library.digest(named)
		if ok && (v == w.Version || p.held(d) || p.stillWanted(named, d)) {
			out = append(out, distributor.Want{Release: named.Model, Manifest: d})
		}
	}
	return out
}

// held tells whether all chunks of the version are here.
func (p *Peer) held(d filbertstile.Digest) bool {
	_, _, ok := p.fetcher.Load().Shelf().All(d)
	return ok
}

// stillWanted tells whether an older version than the newest is worth fetching:
// it was named so shortly before that it must be in force before the newer one
// can be, or little of it is missing and the newer one is not due for a while,
// which is so after the origin was away.
func (p *Peer) stillWanted(w filbertstile.WeightsVersion, d filbertstile.Digest) bool {
	p.mu.Lock()
	at, named := p.named[w]
	newer, followed := p.named[filbertstile.WeightsVersion{Model: w.Model, Version: w.Version + 1}]
	p.mu.Unlock()
	if !named {
		return false
	}
	if time.Since(at) < p.config.Within*3/4 {
		return true
	}
	return followed && time.Since(newer) < p.config.Within-installer.EntryMargin-leastUse && p.mostlyHeld(d)
}

// leastUse is how long a version must be of use to be worth a switch, which takes
// a replica out for about as long.
const leastUse = 1500 * time.Millisecond

// mostlyHeld tells whether three quarters of the version's chunks are here.
func (p *Peer) mostlyHeld(d filbertstile.Digest) bool {
	held, _ := p.fetcher.Load().Shelf().Held(d)
	n := 0
	for _, here := range held {
		if here {
			n++
		}
	}
	return n > 0 && n*4 >= len(held)*3
}

// target returns the newest version that is known to be named.
func (p *Peer) target() (filbertstile.WeightsVersion, bool) {
	p.mu.Lock()
	model := p.model
	p.mu.Unlock()
	if w, ok := p.sources.Weights.View().Rows.Get(model); ok {
		p.name(w)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wanted, p.wanted.Version > 0
}

// name notes that a version is named; older ones than the newest do not count.
func (p *Peer) name(w filbertstile.WeightsVersion) {
	p.mu.Lock()
	known := w.Version <= p.wanted.Version
	if !known {
		p.wanted = w
		p.named[w] = time.Now()
		for old := range p.named {
			if old.Version <= w.Version-keptVersions {
				delete(p.named, old)
			}
		}
	}
	p.mu.Unlock()
	if !known {
		p.config.Log.Event(reporter.VersionNamed, reporter.Fields{"Model": w.Model, "Version": w.Version})
	}
}

// hearName takes in a version that an entry has seen named.
func (p *Peer) hearName(w filbertstile.WeightsVersion) {
	p.mu.Lock()
	ours := w.Model == p.model
	p.mu.Unlock()
	if ours {
		p.name(w)
	}
}

// due returns the versions that the engine may run, newest first.
func (p *Peer) due() []installer.Wanted {
	w, ok := p.target()
	if !ok {
		return nil
	}
	rank, odd := p.rank()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []installer.Wanted
	for v := w.Version; v > w.Version-keptVersions; v-- {
		named := filbertstile.WeightsVersion{Model: w.Model, Version: v}
		if at, ok := p.named[named]; ok {
			out = append(out, installer.Wanted{Weights: named, NamedAt: at, Within: p.config.Within, Rank: rank, Skips: odd})
		}
	}
	return out
}

// rank is the place of this host among those of its service and failure domain,
// from 0 to 1, and whether it is an odd one, so that the groups that switch are of
// equal size in each domain.
func (p *Peer) rank() (float64, bool) {
	var names []string
	for _, m := range p.members() {
		if m.Domain == p.config.Self.Domain {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	i, _ := slices.BinarySearch(names, p.config.Self.Name)
	return float64(i) / float64(max(1, len(names))), i%2 == 1
}
