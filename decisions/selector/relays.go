package selector

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxDirectFollowers is the number of processes that follow a reader directly. In a larger
// failure domain, a large change would take too long on the reader's own link: the first
// processes in the domain's order follow the reader, and the others follow one of these.
const maxDirectFollowers = 24

// relayOf returns the process to follow where reader reads the store: the reader or, in a
// large failure domain, a process that follows it. A process only follows one that comes
// before it in the domain's order, or the reader, so that none follow each other even if
// they do not hear the same processes.
func relayOf(now time.Time, s State, reader string) string {
	var others []Peer
	for _, p := range s.Peers {
		if p.Heard && p.Name != reader {
			others = append(others, p)
		}
	}
	followers := len(others) + 1
	if followers <= maxDirectFollowers {
		return reader
	}
	slices.SortFunc(others, func(a, b Peer) int { return cmp.Compare(order(s.Domain, a.Name), order(s.Domain, b.Name)) })
	relays := others[:int(math.Ceil(math.Sqrt(float64(followers))))]
	own := order(s.Domain, s.Self)
	if own < order(s.Domain, relays[len(relays)-1].Name) {
		return reader // this process is a relay
	}
	relays = slices.DeleteFunc(slices.Clone(relays), func(p Peer) bool { return p.failed(now) })
	if len(relays) == 0 {
		return reader
	}
	return slices.MinFunc(relays, func(a, b Peer) int { return cmp.Compare(order(s.Self, a.Name), order(s.Self, b.Name)) }).Name
}
