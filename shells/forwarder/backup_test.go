package forwarder_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
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

// backupRig is a forwarder of which only the replica "first" is known when a request arrives, and
// "b" soon after.
type backupRig struct {
	placer    *placer.Placer
	forwarder *forwarder.Forwarder
	// ends counts the requests that have ended, and logged the lines of the log.
	ends, logged atomic.Int32
}

// Write counts a line of the log.
func (r *backupRig) Write(p []byte) (int, error) {
	r.logged.Add(1)
	return len(p), nil
}

func newBackupRig(link forwarder.Link) *backupRig {
	r := &backupRig{placer: placer.New(placer.Config{Region: "a"})}
	log := logrus.New()
	log.SetOutput(r)
	r.setReplicas("first")
	time.AfterFunc(10*time.Millisecond, func() { r.setReplicas("first", "b") })
	r.forwarder = forwarder.New(forwarder.Config{
		Placer: r.placer, Link: link, RetryBudget: forwarder.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 100},
		Log:          reporter.New(reporter.Config{Logger: log}),
		VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) { r.ends.Add(1) },
	})
	return r
}

// setReplicas replaces the replicas.
func (r *backupRig) setReplicas(ids ...string) {
	var rows []filbertstile.Replica
	for _, id := range ids {
		rows = append(rows, filbertstile.Replica{ID: id, Service: "s", Address: id, Slots: 4})
	}
	r.placer.SetFleet(time.Now(), placer.Fleet{
		Replicas: filbertstile.NewTable(rows...), Pools: filbertstile.NewTable(filbertstile.PoolSpec{Service: "s"}), Entries: 1,
	})
}

// serve forwards one request. It returns the value of a panic, or nil.
func (r *backupRig) serve(ctx context.Context, kind filbertstile.CallKind) (c *caller, panicked any) {
	c = &caller{}
	defer func() { panicked = recover() }()
	now := time.Now()
	r.forwarder.Serve(ctx, &forwarder.Call{ID: "1", Route: route(kind), Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second)}, c)
	return c, nil
}

// tiedLink is a Link to a replica "first" whose answer arrives at the instant at which another one
// has answered, at which the caller leaves too.
type tiedLink struct {
	leave func()
	// delay spreads the caller's leaving over the time that the forwarder takes.
	delay int
}

func (l *tiedLink) Send(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error) {
	answer := &body{Reader: strings.NewReader("answer")}
	if a.Replica.ID == "first" {
		return forwarder.Response{Verdict: forwarder.Ran, Status: 200, Body: &tiedBody{body: answer, link: l, ended: ctx.Done()}}, nil
	}
	return forwarder.Response{Verdict: forwarder.Ran, Status: 200, Body: answer}, nil
}

type tiedBody struct {
	*body
	link  *tiedLink
	ended <-chan struct{}
}

func (b *tiedBody) Read(p []byte) (int, error) {
	if b.ended != nil {
		<-b.ended
		b.ended = nil
		go func() {
			for range b.link.delay {
				_ = strings.Repeat("x", 100)
			}
			b.link.leave()
		}()
	}
	return b.body.Read(p)
}

// TestCallerLeavesAsBackupTakesOver guards against a panic, and a slot of a replica that is never
// free again, when the caller leaves at that instant. One in some thousand runs shows it.
func TestCallerLeavesAsBackupTakesOver(t *testing.T) {
	for n := range 20000 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, leave := context.WithCancel(t.Context())
			r := newBackupRig(&tiedLink{leave: leave, delay: n % 40})
			_, panicked := r.serve(ctx, filbertstile.CallIdempotent)
			is.Equal(panicked, nil)
			leave()
			time.Sleep(time.Second)
			is.Equal(len(r.placer.LocalLoads(true)), 0) // all grants are released
			is.Equal(r.ends.Load(), int32(1))
		})
	}
}

// TestFailureAfterSilenceLeavesBackup guards against a backup that is ended, and whose answer is
// lost, because the replica that was silent reports a failure.
func TestFailureAfterSilenceLeavesBackup(t *testing.T) {
	for _, kind := range []filbertstile.CallKind{filbertstile.CallStream, filbertstile.CallIdempotent} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			is := is.New(t)
			c, l, _ := paced{kind: kind, replicas: map[string]pacedReplica{
				"first": {headAfter: 1600 * time.Millisecond, failure: failed}, "b": {headAfter: 500 * time.Millisecond},
			}}.serve(t)
			is.True(c.whole(kind))
			is.Equal(l.sent, []string{"first", "b"})
		})
	}
}

// TestFailureIsPassedOnIfBackupFailsToo guards against a replica's failure that is replaced by
// one of the entry because a backup has ended.
func TestFailureIsPassedOnIfBackupFailsToo(t *testing.T) {
	for name, second := range map[string]pacedReplica{
		"Lost": {headAfter: 500 * time.Millisecond, failure: connectionLost}, "Failed": {headAfter: 500 * time.Millisecond, failure: failed},
		"Invalid": {headAfter: 500 * time.Millisecond, failure: invalid}, "Silent": {headAfter: forever},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, _, _ := paced{kind: filbertstile.CallIdempotent, replicas: map[string]pacedReplica{
				"first": {headAfter: 1600 * time.Millisecond, failure: failed}, "b": second,
			}}.serve(t)
			is.Equal(c.status, 500)
			is.Equal(c.body.String(), "error")
		})
	}
}

// panicsAtB is a Link whose sends to the replica "b" panic after some time.
type panicsAtB struct {
	*pacedLink
	after time.Duration
}

func (l panicsAtB) Send(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error) {
	if a.Replica.ID == "b" {
		_ = a.CheckSend()
		time.Sleep(l.after)
		panic("index out of range")
	}
	return l.pacedLink.Send(ctx, a)
}

// TestPanicInBackupEndsNoProcess guards against a panic in an attempt beside a silent one that
// ends the process, with the requests of all callers.
func TestPanicInBackupEndsNoProcess(t *testing.T) {
	for _, after := range []time.Duration{0, 1600 * time.Millisecond} {
		for name, third := range map[string]pacedReplica{"Silent": {headAfter: forever}, "Answered": {}, "Lost": {failure: connectionLost}} {
			t.Run(fmt.Sprintf("%s/%s", after, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					first := pacedReplica{silence: 4 * time.Second, silentBefore: 3}
					r := newBackupRig(panicsAtB{&pacedLink{replicas: map[string]pacedReplica{"first": first, "c": third}}, after})
					time.AfterFunc(1650*time.Millisecond, func() { r.setReplicas("first", "b", "c") })
					route, now := route(filbertstile.CallStream), time.Now()
					route.MaxAttempts = 3
					c := &caller{}
					r.forwarder.Serve(t.Context(), &forwarder.Call{ID: "1", Route: route, Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second)}, c)
					is.True(c.whole(filbertstile.CallStream)) // the first replica has gone on, or the third
					is.Equal(r.ends.Load(), int32(1))
					time.Sleep(2 * time.Second)
					is.Equal(len(r.placer.LocalLoads(true)), 0)
				})
			})
		}
	}
}

// TestRefusedBackupsAreFew guards against a processor, and a log, that are filled with attempts to
// find another replica where the target latency is short or missing. It runs in wall time, as
// attempts without a pause would stop virtual time.
func TestRefusedBackupsAreFew(t *testing.T) {
	for _, target := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
		t.Run(target.String(), func(t *testing.T) {
			is := is.New(t)
			r := newBackupRig(&pacedLink{replicas: map[string]pacedReplica{"first": {headAfter: forever}, "b": {failure: notRun}}})
			route, now := route(filbertstile.CallIdempotent), time.Now()
			route.TargetLatency = target
			r.forwarder.Serve(t.Context(), &forwarder.Call{ID: "1", Route: route, Service: "s", Arrived: now, Deadline: now.Add(time.Second)}, &caller{})
			is.True(r.logged.Load() <= 8)
		})
	}
}

// TestThirdReplicaIsTriedWhileTwoAreSilent guards against a request that waits for two replicas
// which are gone, although another attempt is allowed.
func TestThirdReplicaIsTriedWhileTwoAreSilent(t *testing.T) {
	for name, first := range map[string]pacedReplica{
		"BeforeHead": {headAfter: forever}, "WithinResponse": {silence: forever, silentBefore: 3}, "Rejected": {headAfter: 1550 * time.Millisecond, failure: notRun},
	} {
		for _, kind := range []filbertstile.CallKind{filbertstile.CallStream, filbertstile.CallIdempotent} {
			t.Run(fmt.Sprintf("%s/%v", name, kind), func(t *testing.T) {
				l := &pacedLink{replicas: map[string]pacedReplica{"first": first, "b": {headAfter: forever}, "c": {}}}
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					r := newBackupRig(l)
					time.AfterFunc(1650*time.Millisecond, func() { r.setReplicas("first", "b", "c") })
					route, now := route(kind), time.Now()
					route.MaxAttempts = 3
					c := &caller{}
					r.forwarder.Serve(t.Context(), &forwarder.Call{ID: "1", Route: route, Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second)}, c)
					is.True(c.whole(kind))
					is.True(time.Since(now) < 4*time.Second)
					time.Sleep(time.Second)
					is.Equal(len(r.placer.LocalLoads(true)), 0)
					is.Equal(l.sent, []string{"first", "b", "c"})
				})
			})
		}
	}
}
