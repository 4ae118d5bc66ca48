package edgerunner

import (
	"context"
	"time"

	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
)

// Leaving reports whether a planned stop has begun.
func (e *Edge) Leaving() bool { return e.leaving.Load() }

// Leave begins a planned stop. It returns after addressTTL, the time for which callers may
// still use the entry's address, has passed and no call is in flight, or earlier if the
// time to stop runs out or the context ends. The result is the time at which the calls that
// are still in flight must end.
func (e *Edge) Leave(ctx context.Context, addressTTL time.Duration) time.Time {
	e.leavingSince.Store(time.Now().UnixNano())
	e.leaving.Store(true)
	e.config.Log.Event(reporter.ProcessLeaving, reporter.Fields{"InHand": e.inFlight.Load()})
	e.pulser.SendNow()
	e.Refresh()
	endAt := time.Now().Add(e.config.Bounds.StopTimeout - stopMargin)
	if sleeper.Sleep(ctx, min(addressTTL+addressTTLMargin, e.config.Bounds.StopTimeout/2)) != nil {
		return endAt
	}
	for e.inFlight.Load() > 0 && time.Now().Before(endAt) {
		if sleeper.Sleep(ctx, drainPollInterval) != nil {
			return endAt
		}
	}
	return endAt
}

// EndCalls ends all calls, at the end of a planned stop. Callers whose response has not begun
// receive an error.
func (e *Edge) EndCalls() { e.forwarder.Stop() }

const (
	// drainPollInterval is the time between two checks whether calls are in flight.
	drainPollInterval = 20 * time.Millisecond
	// addressTTLMargin is added to the address TTL for callers that are slow to learn of
	// other addresses.
	addressTTLMargin = 700 * time.Millisecond
	// stopMargin is the time between the end of the calls in flight and the time at which the
	// process would be killed.
	stopMargin = 300 * time.Millisecond
)
