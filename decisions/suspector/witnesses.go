package suspector

import "time"

const (
	// maxWitnesses is the maximum number of keys in one generation of witnesses, and
	// maxWitnessAge the time after which a generation is replaced.
	maxWitnesses  = 4096
	maxWitnessAge = 30 * time.Second
)

// witness holds the times at which begun answers last cleared a key.
type witness struct {
	// own is the time of an answer of this entry; zero if there is none.
	own time.Time
	// last is the time of an answer of any entry.
	last time.Time
}

// witnesses holds the latest witnesses of keys, in two generations: the older one is
// dropped when the newer one is full or old.
type witnesses struct {
	newer, older map[uint64]witness
	startedAt    time.Time
}

// add records a witness of the key.
func (w *witnesses) add(key uint64, at time.Time, own bool) {
	if w.newer == nil || len(w.newer) >= maxWitnesses || at.Sub(w.startedAt) > maxWitnessAge {
		w.newer, w.older, w.startedAt = make(map[uint64]witness), w.newer, at
	}
	x := w.get(key)
	if own && at.After(x.own) {
		x.own = at
	}
	if at.After(x.last) {
		x.last = at
	}
	w.newer[key] = x
}

func (w *witnesses) get(key uint64) witness {
	if x, ok := w.newer[key]; ok {
		return x
	}
	return w.older[key]
}

// last returns the time of the key's last witness; zero if none is known.
func (w *witnesses) last(key uint64) time.Time { return w.get(key).last }
