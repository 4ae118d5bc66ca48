package sharer

import (
	"time"

	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/outside/tracker"
)

// Source describes where the copies come from, for state dumps.
type Source struct {
	// Follows is the name of the process that is followed; empty if there is none.
	Follows string
	// Reads is true if this process reads the store itself.
	Reads bool
	// Age is the age of the oldest copy in relation to its limit: the copy with the
	// highest share of its maximum age.
	Age time.Duration
}

// Source returns where the copies come from.
func (s *Sharer) Source() Source {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Source{Reads: s.reading, Age: s.age(func(p tracker.Position) time.Duration { return p.ConfirmedAt })}
	if s.following != nil {
		out.Follows = s.following.peer.Name
	}
	return out
}

// logSource logs where the copies come from. The caller holds s.mu.
func (s *Sharer) logSource(reason string) {
	fields := reporter.Fields{
		"Reads": s.reading, "Age": s.age(func(p tracker.Position) time.Duration { return p.ConfirmedAt }).String(),
	}
	if s.following != nil {
		fields["Follows"] = s.following.peer.Name
	}
	if reason != "" {
		fields["Reason"] = reason
	}
	s.config.Log.Event(reporter.SourceChanged, fields)
}
