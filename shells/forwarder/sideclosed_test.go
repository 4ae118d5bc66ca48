package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// TestSentRequestOutlivesItsCallersSide guards against a request that can't be repeated, and is broken
// off at its replica, as its caller has closed its side of the connection.
func TestSentRequestOutlivesItsCallersSide(t *testing.T) {
	const closeSideAfter = 100 * time.Millisecond
	for _, c := range []struct {
		name      string
		first     pacedReplica
		stopAfter time.Duration
		// failure is the code of the error that the caller gets; empty if it gets the answer.
		failure string
		took    time.Duration
	}{
		{name: "BeforeHead", first: pacedReplica{headAfter: 2 * time.Second}, took: 2 * time.Second},
		{name: "WithinBody", first: pacedReplica{silence: 2 * time.Second}, took: 2 * time.Second},
		{name: "UntilDeadline", first: pacedReplica{headAfter: forever}, failure: forwarder.CodeDeadline, took: 6 * time.Second},
		{name: "UntilStop", first: pacedReplica{headAfter: forever}, stopAfter: time.Second, failure: forwarder.CodeStopping, took: time.Second},
		{name: "UntilRejected", first: pacedReplica{headAfter: time.Second, failure: notRun}, failure: forwarder.CodeSideClosed, took: time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, l, took := paced{
				kind: filbertstile.CallNonIdempotent, replicas: withFirst(c.first, otherReplicas["Sound"]), closeSideAfter: closeSideAfter, stopAfter: c.stopAfter,
			}.serve(t)
			is.Equal(took, c.took)
			is.Equal(l.sent, []string{"first"})
			is.True(!got.aborted)
			if c.failure == "" {
				is.True(got.whole(filbertstile.CallNonIdempotent))
				is.Equal(len(l.ended), 0)
				return
			}
			is.Equal(got.failure.Code, c.failure)
		})
	}
}

// TestRepeatableRequestEndsWithItsCallersSide guards against replicas that work on for a caller that
// may have left, and against a connection that ends without an answer if it waits.
func TestRepeatableRequestEndsWithItsCallersSide(t *testing.T) {
	const closeSideAfter = 2 * time.Second
	for _, c := range []struct {
		name   string
		kind   filbertstile.CallKind
		first  pacedReplica
		others map[string]pacedReplica
		begun  bool
	}{
		{name: "BeforeHead", kind: filbertstile.CallIdempotent, first: pacedReplica{headAfter: forever}},
		{name: "BeforeHead", kind: filbertstile.CallStream, first: pacedReplica{headAfter: forever}},
		{name: "WithinBody", kind: filbertstile.CallIdempotent, first: pacedReplica{silence: forever}},
		{name: "BackupToo", kind: filbertstile.CallIdempotent, first: pacedReplica{headAfter: forever}, others: otherReplicas["SilentForever"]},
		{name: "BackupToo", kind: filbertstile.CallStream, first: pacedReplica{headAfter: forever}, others: otherReplicas["SilentForever"]},
		{name: "WithinStream", kind: filbertstile.CallStream, first: pacedReplica{silence: forever, silentBefore: 3}, begun: true},
	} {
		t.Run(fmt.Sprintf("%s/%s", c.kind, c.name), func(t *testing.T) {
			is := is.New(t)
			got, l, took := paced{kind: c.kind, replicas: withFirst(c.first, c.others), closeSideAfter: closeSideAfter}.serve(t)
			is.Equal(took, closeSideAfter)
			is.Equal(len(l.ended), len(l.sent))
			is.Equal(got.aborted, c.begun)
			if !c.begun {
				is.True(got.failedWith(filbertstile.Unknown))
				is.Equal(got.failure.Code, forwarder.CodeSideClosed)
			}
		})
	}
}

// TestQueuedRequestEndsWithItsCallersSide guards against a request that is sent long after its caller may
// have left, and against one that is refused although it could be sent right after its caller has
// closed its side.
func TestQueuedRequestEndsWithItsCallersSide(t *testing.T) {
	const closeSideAfter = 50 * time.Millisecond
	for _, c := range []struct {
		// work is how long the only replica takes for each request.
		work time.Duration
		// sent is true if the request that waits is sent, and took is when it ends.
		sent bool
		took time.Duration
	}{
		{work: 200 * time.Millisecond, sent: true, took: 400 * time.Millisecond},
		{work: time.Second, took: 300 * time.Millisecond},
	} {
		t.Run(c.work.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := placer.New(placer.Config{Region: "a"})
				p.SetFleet(time.Now(), placer.Fleet{
					Replicas: filbertstile.NewTable(filbertstile.Replica{ID: "first", Service: "s", Address: "first", Slots: 1}),
					Pools:    filbertstile.NewTable(filbertstile.PoolSpec{Service: "s"}), Entries: 1,
				})
				link := &pacedLink{replicas: withFirst(pacedReplica{headAfter: c.work}, nil)}
				f := forwarder.New(forwarder.Config{
					Placer: p, Link: link, Log: reporter.New(reporter.Config{Logger: discardLog()}),
					VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) {},
				})
				sending, closeSide := context.WithCancel(t.Context())
				var callers [2]caller
				var took [2]time.Duration
				var wg sync.WaitGroup
				now := time.Now()
				patient := route(filbertstile.CallNonIdempotent)
				patient.TargetLatency = 4 * time.Second
				for i := range callers {
					wg.Go(func() {
						call := &forwarder.Call{ID: fmt.Sprint(i), Route: patient, Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second), Sending: sending}
						f.Serve(t.Context(), call, &callers[i])
						took[i] = time.Since(now)
					})
					synctest.Wait()
				}
				time.Sleep(closeSideAfter)
				closeSide()
				wg.Wait()
				is.True(callers[0].whole(filbertstile.CallNonIdempotent))
				is.Equal(took[1], c.took)
				if c.sent {
					is.True(callers[1].whole(filbertstile.CallNonIdempotent))
					return
				}
				is.True(callers[1].failedWith(filbertstile.NotRun))
				is.Equal(callers[1].failure.Code, forwarder.CodeSideClosed)
				is.Equal(len(link.sent), 1)
			})
		})
	}
}

// brokenCaller is a caller whose connection breaks within the response. It closes its side first.
type brokenCaller struct {
	caller
	closeSide context.CancelFunc
}

func (c *brokenCaller) WriteResponse(r forwarder.Response, b []byte) error {
	c.closeSide()
	time.Sleep(time.Second)
	_ = c.caller.WriteResponse(r, b[:1])
	return errors.New("broken pipe")
}

// TestErrorDoesNotFollowPartOfResponse guards against an error that is written behind a part of a
// response, as its caller has closed its side meanwhile.
func TestErrorDoesNotFollowPartOfResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newStopWorld(1)
		sending, closeSide := context.WithCancel(t.Context())
		now, c := time.Now(), &brokenCaller{closeSide: closeSide}
		w.forwarder.Serve(t.Context(), &forwarder.Call{
			ID: "1", Route: route(filbertstile.CallIdempotent), Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second), Sending: sending, Message: work{took: time.Second},
		}, c)
		is.True(c.failure == nil)
		is.True(c.aborted)
	})
}
