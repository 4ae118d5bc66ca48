package forwarder_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// decliningLink sends nothing in the first attempt of each call, which takes a while.
type decliningLink struct {
	*timedLink
	delay time.Duration

	mu       sync.Mutex
	declined map[string]bool
}

func (l *decliningLink) Send(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error) {
	l.mu.Lock()
	declined := l.declined[a.Call.ID]
	l.declined[a.Call.ID] = true
	l.mu.Unlock()
	if declined {
		return l.timedLink.Send(ctx, a)
	}
	time.Sleep(l.delay)
	return forwarder.Response{}, exchanger.ErrNotSent{Peer: a.Replica.ID, Cause: forwarder.ErrDeclined}
}

// TestAttemptThatSentNothingTakesNoTime guards against requests that are refused in a planned stop
// although they end well within it, as earlier ones waited before a replica got them.
func TestAttemptThatSentNothingTakesNoTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newStopWorld(4)
		link := &decliningLink{timedLink: w.link, delay: 3 * time.Second, declined: make(map[string]bool)}
		w.forwarder = newStopForwarder(4, link)
		r := filbertstile.Route{Name: "r", Kind: filbertstile.CallNonIdempotent, MaxAttempts: 1, TargetLatency: 20 * time.Second}
		for i := range 10 {
			got, _ := w.serve(t.Context(), fmt.Sprint("warm-", i), r, 20*time.Second, work{took: time.Second})
			is.Equal(got.status, 200)
		}
		link.delay = 0
		w.beginStop(6 * time.Second)
		got, ran := w.serve(t.Context(), "prompt", r, 20*time.Second, work{took: time.Second})
		is.True(ran)
		is.Equal(got.status, 200)
		time.Sleep(time.Minute)
	})
}
