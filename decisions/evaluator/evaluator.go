// Package evaluator decides whether a process may accept new work with its current
// view, even if the store or its relays are unreachable.
package evaluator

import "time"

// Trust says whether the configuration of a view is known to be the newest.
type Trust string

// Levels of trust in a view.
const (
	// Current means that the store confirmed the view recently.
	Current Trust = "Current"
	// Outage means that the store is unreachable, and that enough relays report this
	// to rule out that a newer configuration was accepted unnoticed.
	Outage Trust = "Outage"
	// Stale means that other processes may have a newer configuration.
	Stale Trust = "Stale"
)

// Limits holds the durations for which evidence is valid.
type Limits struct {
	// ConfirmationTTL is how long a confirmation by the store is valid.
	ConfirmationTTL time.Duration
	// ContactTTL is how long a report of a relay is valid.
	ContactTTL time.Duration
}

// DefaultLimits returns limits with which a failure domain that is taken out of
// service gets no new work after 3 s.
func DefaultLimits() Limits {
	return Limits{ConfirmationTTL: 2500 * time.Millisecond, ContactTTL: 2500 * time.Millisecond}
}

// RelayReport is the last report of one relay.
type RelayReport struct {
	Name string
	// LastContact is when the report was received.
	LastContact time.Time
	// StoreUnreachable is true if the relay reported that the store is unreachable.
	StoreUnreachable bool
}

// Evidence is what a process knows about its view.
type Evidence struct {
	// ConfirmedAt is when the store last confirmed the view; zero if it never did.
	ConfirmedAt time.Time
	Relays      []RelayReport
	// Expected is the number of relays of which more than half must report that the
	// store is unreachable before the trust is Outage.
	Expected int
}

// Evaluate returns the trust in a view. An accepted change has been pushed to more
// than half of the relays, so a process that has recent reports from more than half
// of them, all reporting that the store is unreachable, cannot have missed a change.
func Evaluate(now time.Time, e Evidence, l Limits) Trust {
	if e.ConfirmedAt.IsZero() {
		return Stale
	}
	if now.Sub(e.ConfirmedAt) <= l.ConfirmationTTL {
		return Current
	}
	agreeing := 0
	for _, r := range e.Relays {
		if now.Sub(r.LastContact) <= l.ContactTTL && r.StoreUnreachable {
			agreeing++
		}
	}
	if 2*agreeing > e.Expected {
		return Outage
	}
	return Stale
}
