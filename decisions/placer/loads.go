package placer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
)

// Hand is what entries have in hand at a replica.
type Hand struct {
	Requests int
	// Tokens are prompt tokens of requests whose answer has not begun.
	Tokens int
}

// HashOf shortens a replica's id for what entries tell each other.
func HashOf(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Hands returns what this entry has in hand at the replicas where that has
// changed since the last call, or at all of them.
func (p *Placer) Hands(all bool) map[string]Hand {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]Hand)
	for id, r := range p.rows {
		h := Hand{Requests: r.own, Tokens: r.ownTokens}
		if h != r.toldHand || all && h != (Hand{}) {
			r.toldHand = h
			out[id] = h
		}
	}
	return out
}

// SetOthers takes in what another entry has in hand: at the replicas named, or
// at all of them.
func (p *Placer) SetOthers(now time.Time, entry string, hands map[uint32]Hand, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	told := p.told[entry]
	if told == nil {
		told = make(map[uint32]Hand, len(hands))
		p.told[entry] = told
	}
	if all {
		for hash := range told {
			if _, still := hands[hash]; !still {
				p.tell(told, hash, Hand{})
			}
		}
	}
	for hash, h := range hands {
		p.tell(told, hash, h)
	}
	p.serveWaiting(now)
}

// tell replaces what an entry has in hand at one replica.
func (p *Placer) tell(told map[uint32]Hand, hash uint32, h Hand) {
	if r := p.byHash[hash]; r != nil {
		r.others.Requests += h.Requests - told[hash].Requests
		r.others.Tokens += h.Tokens - told[hash].Tokens
	}
	if h == (Hand{}) {
		delete(told, hash)
		return
	}
	told[hash] = h
}

// KeepOthers forgets what entries said that are no longer heard.
func (p *Placer) KeepOthers(now time.Time, entries []filbertstile.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.told {
		if !slices.ContainsFunc(entries, func(m filbertstile.Member) bool { return m.Name == name }) {
			delete(p.told, name)
		}
	}
	p.sumOthers()
	p.serveWaiting(now)
}

func (p *Placer) sumOthers() {
	for _, r := range p.rows {
		r.others = Hand{}
	}
	for _, hands := range p.told {
		for hash, h := range hands {
			if r := p.byHash[hash]; r != nil {
				r.others.Requests += h.Requests
				r.others.Tokens += h.Tokens
			}
		}
	}
}
