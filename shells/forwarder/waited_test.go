package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
)

// The time for which a caller has waited must follow from what is left of the time that its route
// allows, and must be 0 if that is not known or if a stream is resumed, which has begun in time.
func TestTimeThatCallerHasWaited(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		call Call
		want time.Duration
	}{
		"first request":    {call: Call{CallerDeadline: now.Add(6 * time.Second)}},
		"comes back":       {call: Call{CallerDeadline: now.Add(4 * time.Second)}, want: 2 * time.Second},
		"longer than that": {call: Call{CallerDeadline: now.Add(9 * time.Second)}},
		"not known":        {},
		"resumes":          {call: Call{CallerDeadline: now.Add(4 * time.Second), LastEventID: NewEventID(3)}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.call.Route, c.call.Arrived = filbertstile.Route{Timeout: 6 * time.Second}, now
			is.Equal(c.call.waited(), c.want)
		})
	}
}
