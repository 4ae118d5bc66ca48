// Package voucher decides whether a process may take new work on the strength
// of its view, although the store or its relays may be out of reach.
package voucher

import "time"

// Trust is the standing of a view.
type Trust string

// Standings of a view.
const (
	// Current: the store confirmed the view a moment ago.
	Current Trust = "Current"
	// Outage: the store answers nobody, and enough relays say so that no newer
	// configuration can have been accepted behind our back.
	Outage Trust = "Outage"
	// Stale: others may have a newer configuration.
	Stale Trust = "Stale"
)

// Limits are the times that the decision uses.
type Limits struct {
	// VouchFor is how long a confirmation counts.
	VouchFor time.Duration
	// HeardFor is how long a relay's word counts.
	HeardFor time.Duration
}

// DefaultLimits let a domain that was taken out get no new work after 3 s.
func DefaultLimits() Limits {
	return Limits{VouchFor: 2500 * time.Millisecond, HeardFor: 2500 * time.Millisecond}
}

// Relay is what one relay of the system last said.
type Relay struct {
	Name    string
	HeardAt time.Time
	// StoreOutOfReach is the relay's own word on the store.
	StoreOutOfReach bool
}

// Evidence is what a process has to go by.
type Evidence struct {
	VouchedAt time.Time
	Relays    []Relay
	// Expected is the number of relays that the system has.
	Expected int
}

// Judge weighs the evidence. An accepted change has been handed to more than
// half of the relays, so a process that hears more than half of them, all
// without the store, cannot have missed one.
func Judge(now time.Time, e Evidence, l Limits) Trust {
	if e.VouchedAt.IsZero() {
		return Stale
	}
	if now.Sub(e.VouchedAt) <= l.VouchFor {
		return Current
	}
	agreeing := 0
	for _, r := range e.Relays {
		if now.Sub(r.HeardAt) <= l.HeardFor && r.StoreOutOfReach {
			agreeing++
		}
	}
	if 2*agreeing > e.Expected {
		return Outage
	}
	return Stale
}
