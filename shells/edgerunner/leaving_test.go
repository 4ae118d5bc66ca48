package edgerunner_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/shells/edgerunner"
)

// stopTimeouts are times to stop that operators may set.
var stopTimeouts = []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 20 * time.Second}

// stopMargins is the time before each of them at which the last call must end.
var stopMargins = map[time.Duration]time.Duration{
	2 * time.Second: 300 * time.Millisecond, 4 * time.Second: 300 * time.Millisecond, 8 * time.Second: 600 * time.Millisecond, 20 * time.Second: 600 * time.Millisecond,
}

// admittedFor returns the longest limit, in steps of 100 ms up to that of the route, with which a
// request for the path is admitted, and checks that shorter ones are admitted as well.
func admittedFor(is *is.I, e *edgerunner.Edge, path string) time.Duration {
	longest, refused := time.Duration(0), false
	for limit := 100 * time.Millisecond; limit <= 1900*time.Millisecond; limit += 100 * time.Millisecond {
		_, err := e.Admit(edgerunner.Request{ID: "1", HostName: "a", Path: path, Key: "k", Timeout: limit, Arrived: time.Now()})
		var rejected filbertstile.ErrRequest
		if errors.As(err, &rejected) {
			is.Equal(rejected.Code, edgerunner.CodeLeaving)
			is.Equal(rejected.Run, filbertstile.NotRun)
			is.True(rejected.RetryAfter > 0)
			refused = true
			continue
		}
		is.True(!refused)
		longest = limit
	}
	return longest
}

// TestAdmittedInStopEndsWithinIt guards against truncated responses to requests that arrive late in
// a planned stop, whatever their kind and the time to stop, and against refusals of those that
// end in time. Randomized tests of the whole system and a soak test found such truncated streams.
func TestAdmittedInStopEndsWithinIt(t *testing.T) {
	for _, stop := range stopTimeouts {
		t.Run(stop.String(), func(t *testing.T) {
			withEdgeBounds(t, edgerunner.Bounds{RevokeTimeout: 5 * time.Second, RolloutTimeout: 8 * time.Second, StopTimeout: stop}, func(ctx context.Context, is *is.I, _ *store, e *edgerunner.Edge) {
				advance(time.Second)
				for _, path := range []string{"/stream/x", "/once/x", "/public/x"} {
					is.Equal(admittedFor(is, e, path), 1900*time.Millisecond)
				}
				began, stopped := time.Now(), make(chan struct{})
				go func() { e.Leave(ctx, 3*time.Second); close(stopped) }()
				advance(10 * time.Millisecond)
				is.True(!e.Ready())
				for time.Since(began) < stop {
					left := stop - stopMargins[stop] - time.Since(began)
					for _, path := range []string{"/stream/x", "/once/x", "/public/x"} {
						is.Equal(admittedFor(is, e, path), min(1900*time.Millisecond, max(0, left).Truncate(100*time.Millisecond)))
					}
					advance(145 * time.Millisecond)
				}
				<-stopped
			})
		})
	}
}

// TestSuspensionCountsInStop guards against requests that are admitted although a suspension has
// used the time to stop, and against a stop that lasts longer for it.
func TestSuspensionCountsInStop(t *testing.T) {
	for _, stop := range stopTimeouts {
		t.Run(stop.String(), func(t *testing.T) {
			var suspended atomic.Int64
			started := sync.OnceValue(time.Now)
			clock := func() time.Duration { return time.Since(started()) + time.Duration(suspended.Load()) }
			withClock(t, edgerunner.Bounds{RevokeTimeout: time.Hour, RolloutTimeout: 8 * time.Second, StopTimeout: stop}, nil, clock, func(ctx context.Context, is *is.I, _ *store, e *edgerunner.Edge) {
				advance(time.Second)
				began, stopped := time.Now(), make(chan struct{})
				go func() { e.Leave(ctx, 3*time.Second); close(stopped) }()
				advance(100 * time.Millisecond)
				is.Equal(admittedFor(is, e, "/once/x"), min(1900*time.Millisecond, stop-stopMargins[stop]-100*time.Millisecond))
				suspended.Store(int64(stop - 900*time.Millisecond))
				is.Equal(admittedFor(is, e, "/once/x"), 800*time.Millisecond-stopMargins[stop])
				<-stopped
				is.True(time.Since(began) <= 900*time.Millisecond)
			})
		})
	}
}
