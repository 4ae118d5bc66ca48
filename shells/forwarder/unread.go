package forwarder

import "time"

const (
	// minBlockedWrite is the shortest time that a write to the caller takes because of the caller.
	minBlockedWrite = 50 * time.Millisecond
	// unreadTimeout is the total time of such writes after which a replica may break a stream off
	// because nobody reads it, and unreadMemory how long after the last one it may show.
	unreadTimeout = time.Second
	unreadMemory  = 2 * time.Second
)

// unreadTime is the time for which an attempt's stream was not read because its caller was slow.
type unreadTime struct {
	total time.Duration
	last  time.Time
}

// add records a write to the caller that began at the time.
func (u *unreadTime) add(began time.Time) {
	now := time.Now()
	if took := now.Sub(began); took >= minBlockedWrite {
		u.total, u.last = u.total+took, now
	}
}

// explainsEnd reports whether the replica may have ended the response because it was not read, so that
// its end says nothing against the replica or the request.
func (u *unreadTime) explainsEnd() bool {
	return u.total >= unreadTimeout && time.Since(u.last) <= unreadMemory
}
