package forwarder_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/decisions/suspector"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// TestRequestThatCrashesReplicas guards against a request that ends one replica of a plain
// service after the other.
func TestRequestThatCrashesReplicas(t *testing.T) {
	for _, entries := range []int{1, 12, 100} {
		for _, replicas := range []int{3, 24} {
			for _, kind := range []filbertstile.CallKind{filbertstile.CallIdempotent, filbertstile.CallNonIdempotent} {
				for seed := range uint64(2) {
					t.Run(fmt.Sprintf("entries=%d/replicas=%d/%s/seed=%d", entries, replicas, kind, seed), func(t *testing.T) {
						is := is.New(t)
						w := wave{entries: entries, replicas: replicas, plain: true, kind: kind, repeatsPerSecond: 2, soundPerReplica: 4, seed: seed}
						got := w.play(t)
						w.repeatsPerSecond = 0
						sound := w.play(t)
						t.Logf("without: %+v, with: %+v", sound, got)
						is.True(got.repeatsAfter <= 3)
						is.True(got.servedAtLast >= sound.servedAtLast/2)
					})
				}
			}
		}
	}
}

// TestRequestThatCrashesReplicasBesideOtherTrouble guards against evidence that is lost or
// mistaken while a part crashes replicas too, while others end together, and while entries
// restart.
func TestRequestThatCrashesReplicasBesideOtherTrouble(t *testing.T) {
	restarts := []time.Duration{3 * time.Second, 7 * time.Second, 12 * time.Second}
	for name, w := range map[string]wave{
		"stream":             {entries: 12, replicas: 24, repeatsPerSecond: 2},
		"part":               {entries: 12, replicas: 24, repeatsPerSecond: 2, badPerSecond: 3},
		"part, 100 entries":  {entries: 100, replicas: 88, repeatsPerSecond: 2, badPerSecond: 6},
		"ends, 3 replicas":   {entries: 7, replicas: 3, plain: true, kind: filbertstile.CallIdempotent, repeatsPerSecond: 2, soundPerReplica: 40, endTogether: 2},
		"ends, 24 replicas":  {entries: 12, replicas: 24, plain: true, kind: filbertstile.CallIdempotent, repeatsPerSecond: 2, soundPerReplica: 10, endTogether: 8},
		"restarts":           {entries: 12, replicas: 3, plain: true, kind: filbertstile.CallIdempotent, repeatsPerSecond: 4, restarts: restarts},
		"restarts, 24":       {entries: 100, replicas: 24, plain: true, kind: filbertstile.CallIdempotent, repeatsPerSecond: 4, restarts: restarts},
		"restarts, ends":     {entries: 12, replicas: 24, plain: true, kind: filbertstile.CallIdempotent, repeatsPerSecond: 4, restarts: restarts, endTogether: 8},
		"many at once":       {entries: 12, replicas: 24, plain: true, kind: filbertstile.CallIdempotent, repeatsPerSecond: 40},
		"many at once, 3":    {entries: 12, replicas: 3, plain: true, kind: filbertstile.CallIdempotent, repeatsPerSecond: 40},
		"unsafe, restarts":   {entries: 12, replicas: 24, plain: true, kind: filbertstile.CallNonIdempotent, repeatsPerSecond: 4, restarts: restarts},
		"unsafe, ends":       {entries: 12, replicas: 24, plain: true, kind: filbertstile.CallNonIdempotent, repeatsPerSecond: 4, endTogether: 8},
		"streams, all at it": {entries: 12, replicas: 24, repeatsPerSecond: 4, badPerSecond: 3, restarts: restarts, endTogether: 8},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) {
				is := is.New(t)
				w.seed = seed
				got := w.play(t)
				t.Logf("%+v", got)
				is.True(got.repeatsAfter <= 3)
				is.True(got.badSendsAfter <= 3)
			})
		}
	}
}

// TestSoundRequestsAfterCommonEnd guards against sound requests that stay refused because they
// were in flight at replicas that ended together.
func TestSoundRequestsAfterCommonEnd(t *testing.T) {
	for _, w := range []wave{
		{entries: 1, replicas: 3, endTogether: 3, soundPerReplica: 40},
		{entries: 7, replicas: 3, endTogether: 3, soundPerReplica: 4},
		{entries: 7, replicas: 3, endTogether: 3, soundPerReplica: 100},
		{entries: 7, replicas: 3, endTogether: 2, soundPerReplica: 100},
		{entries: 12, replicas: 24, endTogether: 24, soundPerReplica: 20},
		{entries: 100, replicas: 24, endTogether: 12, soundPerReplica: 20},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("entries=%d/ends=%d of %d/rate=%d/seed=%d", w.entries, w.endTogether, w.replicas, w.soundPerReplica, seed), func(t *testing.T) {
				is := is.New(t)
				w.plain, w.kind, w.seed = true, filbertstile.CallIdempotent, seed
				got := w.play(t)
				t.Logf("%+v", got)
				is.True(got.refusedFor < modelDowntime+modelNewsDelay+stableWindow)
			})
		}
	}
}

// plainRig is a crashRig for requests without parts of prompts.
type plainRig struct {
	*crashRig
	forwarder *forwarder.Forwarder
}

func withPlainRig(t *testing.T, p *prober, link forwarder.Link, f func(r *plainRig)) {
	t.Helper()
	withCrashRig(t, p, func(r *crashRig) {
		r.setReplicas(6)
		f(&plainRig{crashRig: r, forwarder: forwarder.New(r.config(link, discardLog()))})
	})
}

// serve forwards a request of the kind with the key.
func (r *plainRig) serve(kind filbertstile.CallKind, key uint64) *caller {
	c, now, x := &caller{}, time.Now(), route(kind)
	if kind == filbertstile.CallNonIdempotent {
		x.MaxAttempts, x.Resumable = 1, false
	}
	r.forwarder.Serve(r.ctx, &forwarder.Call{ID: "1", Route: x, Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second), Key: key}, c)
	return c
}

// TestCrashUnderPlainRequestIsToldFromOtherEnds guards against a request that is blamed for
// connections that a running replica has closed, or for a host without power, and against a
// crash that is not noticed.
func TestCrashUnderPlainRequestIsToldFromOtherEnds(t *testing.T) {
	for name, p := range map[string]*prober{"ended": &ended, "alive": &alive, "silent": &silent} {
		for lost, s := range map[string]step{"lost": connectionLost, "truncated": truncated} {
			t.Run(name+"/"+lost, func(t *testing.T) {
				link := &script{steps: []step{s}}
				withPlainRig(t, p, link, func(r *plainRig) {
					for range 4 {
						r.setReplicas(6)
						r.serve(filbertstile.CallIdempotent, badKey)
						time.Sleep(time.Second)
					}
					if name == "ended" {
						r.is.Equal(len(link.sent), 2) // and held
					} else {
						r.is.Equal(len(link.sent), 8)
					}
				})
			})
		}
	}
}

// TestEndOfLeavingReplicaIsNoCrash guards against blame for the end of a replica that leaves.
func TestEndOfLeavingReplicaIsNoCrash(t *testing.T) {
	withPlainRig(t, &ended, &script{steps: []step{connectionLost}}, func(r *plainRig) {
		r.placer.SetFleet(time.Now(), placer.Fleet{Entries: 1, Pools: filbertstile.NewTable(filbertstile.PoolSpec{Service: "s"}), Replicas: filbertstile.NewTable(
			filbertstile.Replica{ID: "0", Service: "s", Address: "0", Slots: 100},
		)})
		for i := range 6 {
			r.placer.SetReplicaLoad(time.Now(), fmt.Sprint(i), placer.ReplicaLoad{Loading: true})
		}
		r.serve(filbertstile.CallIdempotent, badKey)
		r.is.Equal(r.prober.probes.Load(), int32(0))
	})
}

// TestRefusalOfRepeatedOrder guards against an order that is sent again after it has ended two
// replicas, against a refusal that says "not run" of an attempt that was sent, and against a
// retry delay that is not true.
func TestRefusalOfRepeatedOrder(t *testing.T) {
	link := &script{steps: []step{connectionLost}}
	withPlainRig(t, &ended, link, func(r *plainRig) {
		for i := range 2 {
			c := r.serve(filbertstile.CallNonIdempotent, badKey)
			r.is.True(c.failedWith(filbertstile.Unknown))
			r.is.Equal(c.failure.RetryAfter, time.Duration(0))
			r.is.Equal(len(link.sent), i+1)
			time.Sleep(100 * time.Millisecond)
		}
		started := time.Now()
		c := r.serve(filbertstile.CallNonIdempotent, badKey)
		r.is.Equal(time.Since(started), time.Duration(0))
		r.is.True(c.failedWith(filbertstile.NotRun))
		r.is.Equal(c.failure.Code, forwarder.CodeRequest)
		r.is.Equal(len(link.sent), 2)
		time.Sleep(c.failure.RetryAfter)
		r.serve(filbertstile.CallNonIdempotent, badKey) // the trial
		r.is.Equal(len(link.sent), 3)
		link.steps = []step{complete}
		r.is.Equal(r.serve(filbertstile.CallNonIdempotent, badKey+1).status, 200)
	})
}

// TestBlockedWhileConnecting guards against a request that is sent because its third crash was
// recorded after it had been placed.
func TestBlockedWhileConnecting(t *testing.T) {
	withPlainRig(t, &ended, slowDial{}, func(r *plainRig) {
		for i, after := range []time.Duration{100, 500, 900} {
			time.AfterFunc(after*time.Millisecond, func() {
				r.suspector.RecordCrash(time.Now(), uint64(100+i), suspector.LostRequest{Keys: []uint64{badKey}})
			})
		}
		c := r.serve(filbertstile.CallNonIdempotent, badKey)
		r.is.True(c.failedWith(filbertstile.NotRun))
		r.is.Equal(c.failure.Code, forwarder.CodeRequest)
	})
}

// slowDial is a Link that takes a second to connect, and then loses the request.
type slowDial struct{}

func (slowDial) Send(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error) {
	time.Sleep(time.Second)
	if err := a.CheckSend(); err != nil {
		return forwarder.Response{}, notSentBecause(err)
	}
	return forwarder.Response{}, connectionLost.err
}

// TestRepeatsAtOnce guards against repeats that are in flight at the same time and end more
// replicas than they are, or are each retried.
func TestRepeatsAtOnce(t *testing.T) {
	const repeats = 3
	link := &lostLater{}
	withPlainRig(t, &ended, link, func(r *plainRig) {
		var wg sync.WaitGroup
		for i := range repeats {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond) // while the first is in flight
				r.serve(filbertstile.CallIdempotent, badKey)
			})
		}
		wg.Wait()
		r.is.True(link.sends.Load() <= repeats+1)
	})
}

// TestTrialWithUnframedAnswer guards against a sound request that stays suspected because its
// answers end with their connections.
func TestTrialWithUnframedAnswer(t *testing.T) {
	unframed := complete
	unframed.unframed = true
	withPlainRig(t, &alive, &script{steps: []step{unframed}}, func(r *plainRig) {
		r.suspector.RecordCrash(time.Now(), 100, suspector.LostRequest{Keys: []uint64{badKey}})
		r.suspector.RecordCrash(time.Now(), 101, suspector.LostRequest{Keys: []uint64{badKey}})
		r.is.Equal(len(r.suspector.Dump(time.Now())), 1)
		r.is.Equal(r.serve(filbertstile.CallIdempotent, badKey).status, 200)
		r.is.Equal(len(r.suspector.Dump(time.Now())), 0)
	})
}
