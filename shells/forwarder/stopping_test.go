package forwarder_test

import (
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// TestStopAnswersSilentRequests guards against requests whose replicas are silent until the end of
// a planned stop, and whose connections close without an answer.
func TestStopAnswersSilentRequests(t *testing.T) {
	const stopAfter = 1800 * time.Millisecond
	for _, c := range []struct {
		name string
		// first is the first replica, and others are those beside it.
		first  pacedReplica
		others map[string]pacedReplica
		kind   filbertstile.CallKind
		// run is empty if the response has begun.
		run filbertstile.RunState
	}{
		{name: "BeforeHead", first: pacedReplica{headAfter: forever}, kind: filbertstile.CallNonIdempotent, run: filbertstile.Unknown},
		{name: "BeforeHead", first: pacedReplica{headAfter: forever}, kind: filbertstile.CallIdempotent, run: filbertstile.Unknown},
		{name: "BeforeHead", first: pacedReplica{headAfter: forever}, kind: filbertstile.CallStream, run: filbertstile.Unknown},
		{name: "BackupToo", first: pacedReplica{headAfter: forever}, others: otherReplicas["SilentForever"], kind: filbertstile.CallIdempotent, run: filbertstile.Unknown},
		{name: "BackupToo", first: pacedReplica{headAfter: forever}, others: otherReplicas["SilentForever"], kind: filbertstile.CallStream, run: filbertstile.Unknown},
		{name: "BeforeFirstEvent", first: pacedReplica{silence: forever, silentBefore: 1}, kind: filbertstile.CallStream, run: filbertstile.Unknown},
		{name: "WithinBody", first: pacedReplica{silence: forever}, kind: filbertstile.CallNonIdempotent, run: filbertstile.Unknown},
		{name: "WithinStream", first: pacedReplica{silence: forever, silentBefore: 3}, kind: filbertstile.CallStream},
	} {
		t.Run(fmt.Sprintf("%s/%s", c.kind, c.name), func(t *testing.T) {
			is := is.New(t)
			got, l, took := paced{kind: c.kind, replicas: withFirst(c.first, c.others), stopAfter: stopAfter}.serve(t)
			is.Equal(took, stopAfter)
			is.Equal(len(l.ended), len(l.sent)) // no replica goes on for nobody
			if c.run == "" {
				is.True(got.aborted)
				is.True(got.failure == nil)
				return
			}
			is.True(!got.aborted)
			is.True(got.failedWith(c.run))
			is.Equal(got.failure.Code, forwarder.CodeStopping)
		})
	}
}

// TestStopAnswersQueuedRequests guards against requests that wait for a free replica until the end
// of a planned stop, and whose connections close although they have not run.
func TestStopAnswersQueuedRequests(t *testing.T) {
	for range 100 { // the replica becomes free as the requests end, in any order
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			log := logrus.New()
			log.SetOutput(io.Discard)
			p := placer.New(placer.Config{Region: "a"})
			p.SetFleet(time.Now(), placer.Fleet{
				Replicas: filbertstile.NewTable(filbertstile.Replica{ID: "first", Service: "s", Address: "first", Slots: 1}),
				Pools:    filbertstile.NewTable(filbertstile.PoolSpec{Service: "s"}), Entries: 1,
			})
			f := forwarder.New(forwarder.Config{
				Placer: p, Link: &pacedLink{replicas: withFirst(pacedReplica{headAfter: forever}, nil)}, Log: reporter.New(reporter.Config{Logger: log}),
				VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) {},
			})
			var callers [2]caller
			var wg sync.WaitGroup
			now := time.Now()
			for i := range callers {
				wg.Go(func() {
					call := &forwarder.Call{ID: fmt.Sprint(i), Route: route(filbertstile.CallNonIdempotent), Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second)}
					f.Serve(t.Context(), call, &callers[i])
				})
				synctest.Wait()
			}
			time.Sleep(50 * time.Millisecond)
			f.Stop()
			wg.Wait()
			is.Equal(time.Since(now), 50*time.Millisecond)
			is.True(callers[0].failedWith(filbertstile.Unknown))
			is.True(callers[1].failedWith(filbertstile.NotRun))
			is.Equal(callers[1].failure.Code, forwarder.CodeStopping)
			is.True(callers[1].failure.RetryAfter > 0)
		})
	}
}

// TestNothingIsSentAfterStop guards against requests that arrive after the end of a planned stop,
// and that are sent and cut off at once.
func TestNothingIsSentAfterStop(t *testing.T) {
	for range 100 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := placer.New(placer.Config{Region: "a"})
			p.SetFleet(time.Now(), placer.Fleet{
				Replicas: filbertstile.NewTable(filbertstile.Replica{ID: "first", Service: "s", Address: "first", Slots: 1}),
				Pools:    filbertstile.NewTable(filbertstile.PoolSpec{Service: "s"}), Entries: 1,
			})
			link := &pacedLink{replicas: withFirst(pacedReplica{headAfter: forever}, nil)}
			f := forwarder.New(forwarder.Config{
				Placer: p, Link: link, Log: reporter.New(reporter.Config{Logger: discardLog()}),
				VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) {},
			})
			f.Stop()
			var got caller
			now := time.Now()
			f.Serve(t.Context(), &forwarder.Call{Route: route(filbertstile.CallNonIdempotent), Service: "s", Arrived: now, Deadline: now.Add(time.Second)}, &got)
			is.Equal(len(link.sent), 0)
			is.True(got.failedWith(filbertstile.NotRun))
			is.Equal(got.failure.Code, forwarder.CodeStopping)
		})
	}
}
