package peerrunner

import "time"

// backoff is a delay that doubles with each failure. It is not safe for concurrent use.
type backoff struct {
	initial, limit time.Duration
	// delay is the delay after the next failure; 0 is the initial one.
	delay time.Duration
	// until is when the current delay ends.
	until time.Time
}

// due reports whether the delay has ended.
func (b *backoff) due() bool { return !time.Now().Before(b.until) }

// fail begins the delay after a failure.
func (b *backoff) fail() {
	b.delay = min(max(b.initial, b.delay), b.limit)
	b.until = time.Now().Add(b.delay)
	b.delay *= 2
}

// reset ends the delay, and makes the next one the initial one.
func (b *backoff) reset() { b.delay, b.until = 0, time.Time{} }
