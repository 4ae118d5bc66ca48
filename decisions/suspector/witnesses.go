package suspector

import "time"

const (
	// maxWitnesses is the maximum number of keys in one generation of witnesses, and
	// witnessAge and requestWitnessAge are the times after which a generation is replaced.
	// Most requests come once, and their witnesses are of use for witnessReach.
	maxWitnesses      = 4096
	witnessAge        = 30 * time.Second
	requestWitnessAge = 2 * time.Second
)

// witness holds the times at which begun answers last cleared a key.
type witness struct {
	// own is the time of an answer of this entry; zero if there is none.
	own time.Time
	// last is the time of an answer of any entry.
	last time.Time
}

// merge returns the later times of both.
func (w witness) merge(o witness) witness {
	if o.own.After(w.own) {
		w.own = o.own
	}
	if o.last.After(w.last) {
		w.last = o.last
	}
	return w
}

// witnesses holds the latest witnesses of keys, in two generations: the older one is
// dropped when the newer one is full or old.
type witnesses struct {
	// maxAge is the time after which the newer generation becomes the older one.
	maxAge       time.Duration
	newer, older map[uint64]witness
	startedAt    time.Time
}

// add records a witness of the key.
func (w *witnesses) add(key uint64, at time.Time, own bool) {
	if w.newer == nil || len(w.newer) >= maxWitnesses || at.Sub(w.startedAt) > w.maxAge {
		w.newer, w.older, w.startedAt = make(map[uint64]witness), w.newer, at
	}
	x := witness{last: at}
	if own {
		x.own = at
	}
	w.newer[key] = w.get(key).merge(x)
}

func (w *witnesses) get(key uint64) witness {
	if x, ok := w.newer[key]; ok {
		return x
	}
	return w.older[key]
}
