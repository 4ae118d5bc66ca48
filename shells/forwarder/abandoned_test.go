package forwarder_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// slowRejecters is a Link to three replicas that reject all requests after rejectionTime and
// ask for a pause, and to others that run them.
type slowRejecters struct {
	mu sync.Mutex
	// arrivals are the times of the requests to each replica that rejects, and rejectedAt those
	// of its rejections.
	arrivals, rejectedAt map[string][]time.Time
	// abandonedFor is the longest time for which a request was in flight after its caller had
	// left.
	abandonedFor time.Duration
}

const (
	rejectionTime  = 150 * time.Millisecond
	rejectionPause = 3 * time.Second
	// callerPatience is the time after which callers leave.
	callerPatience = 100 * time.Millisecond
	// pauseGrace is the time after a rejection in which requests still count as under way.
	pauseGrace = 500 * time.Millisecond
)

func (s *slowRejecters) Send(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error) {
	if err := a.CheckSend(); err != nil {
		return forwarder.Response{}, exchanger.ErrNotSent{Cause: err}
	}
	started := time.Now()
	rejects := a.Replica.ID < "3"
	if rejects {
		s.mu.Lock()
		s.arrivals[a.Replica.ID] = append(s.arrivals[a.Replica.ID], started)
		s.mu.Unlock()
	}
	timer := time.NewTimer(rejectionTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandonedFor = max(s.abandonedFor, time.Since(started)-callerPatience)
	if rejects {
		// The replica rejects the request whether or not its response is read.
		s.rejectedAt[a.Replica.ID] = append(s.rejectedAt[a.Replica.ID], started.Add(rejectionTime))
	}
	if ctx.Err() != nil {
		return forwarder.Response{}, exchanger.ErrNoResponse{Cause: ctx.Err(), WrittenAt: started}
	}
	out := forwarder.Response{Verdict: forwarder.Ran, Status: 200, Body: &body{Reader: bytes.NewReader(nil)}, WrittenAt: started}
	if rejects {
		out.Verdict, out.Status, out.Announcement.RetryAfter = forwarder.NotRun, 503, rejectionPause
	}
	return out, nil
}

// late returns the highest number of requests that reached a replica between pauseGrace after
// one of its rejections and the end of the pause that it had asked for.
func (s *slowRejecters) late() int {
	out := 0
	for replica, rejections := range s.rejectedAt {
		for _, at := range rejections {
			n := 0
			for _, arrival := range s.arrivals[replica] {
				if arrival.After(at.Add(pauseGrace)) && arrival.Before(at.Add(rejectionPause)) {
					n++
				}
			}
			out = max(out, n)
		}
	}
	return out
}

// TestPausesAreHeardWhenCallersLeave guards against replicas that never get the pause that
// they ask for, because each caller has left before the rejection arrives.
func TestPausesAreHeardWhenCallersLeave(t *testing.T) {
	withEntries(t, func(is *is.I, ctx context.Context, n int) {
		var wg sync.WaitGroup
		links := make([]*slowRejecters, n)
		for i := range n {
			links[i] = &slowRejecters{arrivals: make(map[string][]time.Time), rejectedAt: make(map[string][]time.Time)}
			e := newEntryWithLink(replicas(4, n), links[i])
			wg.Go(func() {
				for range 400 {
					wg.Go(func() {
						caller, leave := context.WithCancel(ctx)
						defer time.AfterFunc(callerPatience, leave).Stop()
						e.serve(caller, filbertstile.CallIdempotent)
					})
					time.Sleep(25 * time.Millisecond)
				}
			})
		}
		wg.Wait()
		late := 0
		for _, l := range links {
			late = max(late, l.late())
		}
		t.Logf("%d requests during a pause", late)
		for _, l := range links {
			is.True(l.late() <= 2)                          // two are allowed
			is.True(l.abandonedFor <= 400*time.Millisecond) // work for callers that have left ends soon
		}
	})
}
