package distributor

import (
	"slices"
	"time"

	"filbertstile.example/filbertstile"
)

// setWanted replaces the wanted releases. Releases with the same manifest share a transfer, which
// is as urgent as the first of them.
func (c *Core) setWanted(now time.Time, wants []Want) []Command {
	var next []*transfer
	releases := make(map[*transfer][]string)
	for _, w := range wants {
		t := findTransfer(next, w.Manifest)
		if t == nil {
			if t = findTransfer(c.transfers, w.Manifest); t == nil {
				t = newTransfer(now, w)
			}
			next = append(next, t)
		}
		t.processHasManifest = t.processHasManifest || w.HasManifest
		if !slices.Contains(releases[t], w.Release) {
			releases[t] = append(releases[t], w.Release)
		}
	}
	var out []Command
	for _, t := range next {
		if t.done {
			out = append(out, t.completed(without(releases[t], t.releases))...)
		}
		t.releases = releases[t]
	}
	for _, t := range c.transfers {
		if slices.Contains(next, t) {
			continue
		}
		for name := range t.peers {
			out = append(out, Unsubscribe{Manifest: t.digest, Peer: name})
		}
		out = append(out, Drop{Manifest: t.digest})
	}
	c.transfers = next
	return out
}

// findTransfer returns the transfer of the manifest, or nil if there is none.
func findTransfer(transfers []*transfer, d filbertstile.Digest) *transfer {
	if i := slices.IndexFunc(transfers, func(t *transfer) bool { return t.digest == d }); i >= 0 {
		return transfers[i]
	}
	return nil
}

// without returns the names that are not among the others.
func without(names, others []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(others, name) })
}

func newTransfer(now time.Time, w Want) *transfer {
	return &transfer{
		digest: w.Manifest, started: now, lastProgress: now,
		fetching: make(map[int]fetch), peers: make(map[string]*peerState), ownerProgress: make(map[string]*ownerProgress), corruptReads: make(map[int]corruptReads),
	}
}

// checkCompleted marks the transfer as done once no chunk is missing.
func (c *Core) checkCompleted(t *transfer) []Command {
	if t.missing > 0 || t.done {
		return nil
	}
	t.done = true
	return t.completed(t.releases)
}

// completed returns the reports that the host holds the releases, which have the manifest of the
// transfer.
func (t *transfer) completed(releases []string) []Command {
	var out []Command
	for _, name := range releases {
		out = append(out, Completed{Release: name, Manifest: t.digest})
	}
	return out
}
