package forwarder_test

import (
	"cmp"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
)

// stableWindow is the time after the third crash under a request, or the fifth under a part,
// from which requests that crash replicas must be kept away from them.
const stableWindow = 3 * time.Second

// wave describes a run of the model.
type wave struct {
	entries, replicas int
	// plain is true if the replicas are no engines.
	plain bool
	// kind is the kind of the requests; a stream if it is not set.
	kind filbertstile.CallKind
	// badPerSecond is the rate of the requests with the part that crashes replicas, from
	// 4 s on, and repeatsPerSecond that of the request that does.
	badPerSecond, repeatsPerSecond int
	// endTogether is the number of replicas that end together 2 s and 10 s after that.
	endTogether int
	// soundPerReplica is the rate of the sound requests for each replica; 0 means 3.
	soundPerReplica int
	// accounts is the number of accounts; 0 means 20. All requests that crash replicas
	// are of one of them if oneAccount is true.
	accounts   uint64
	oneAccount bool
	// restarts are the times in the wave at which half of the entries restart.
	restarts []time.Duration
	seed     uint64
}

// waveResult is what a run of the model shows.
type waveResult struct {
	crashes, badSends, badSendsAfter, probes, soundRefused int
	// repeatCrashes and repeatsAfter are the same for the request that crashes replicas.
	repeatCrashes, repeatsAfter int
	// served is the share of sound requests that began at the caller's first attempt, and
	// accountServed that of the first account. servedAtLast also counts later attempts.
	served, accountServed, servedAtLast float64
	// refusedFor is the time from the last end of a replica to the last refusal of a sound
	// request because of a suspicion; 0 if there was none.
	refusedFor time.Duration
}

// play plays 4 s without and 16 s with requests that crash replicas.
func (w wave) play(t *testing.T) waveResult {
	t.Helper()
	var out waveResult
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(t.Context())
		m := newModel(ctx, t, w)
		sending, stop := context.WithTimeout(ctx, 20*time.Second)
		m.work.Go(func() { m.load(sending, cmp.Or(w.soundPerReplica, 3)*w.replicas) })
		time.Sleep(4 * time.Second)
		if w.badPerSecond > 0 {
			m.work.Go(func() { m.wave(sending, w.badPerSecond) })
		}
		if w.repeatsPerSecond > 0 {
			m.work.Go(func() { m.repeat(sending, w.repeatsPerSecond) })
		}
		if w.endTogether > 0 {
			m.work.Go(func() {
				time.Sleep(2 * time.Second)
				m.endTogether(w.endTogether)
				time.Sleep(8 * time.Second)
				m.endTogether(w.endTogether)
			})
		}
		for _, after := range w.restarts {
			m.work.Go(func() {
				time.Sleep(after)
				for i := range w.entries / 2 {
					m.restart(i)
				}
			})
		}
		<-sending.Done()
		stop()
		time.Sleep(8 * time.Second)
		cancel(errModelEnded)
		m.work.Wait()
		out = waveResult{
			crashes: len(m.crashes), badSends: len(m.badSends), badSendsAfter: m.badSendsAfter(badPart, 5), probes: m.probes, soundRefused: m.soundRefused,
			repeatCrashes: m.crashesBy(badKey), repeatsAfter: m.badSendsAfter(badKey, 3),
			served:        float64(m.begunAtFirst) / float64(max(1, m.sent)),
			servedAtLast:  float64(m.served) / float64(max(1, m.sent)),
			accountServed: float64(m.accountBegun) / float64(max(1, m.accountSent)),
		}
		if n := len(m.crashes); n > 0 {
			out.refusedFor = max(0, m.lastSoundRefused.Sub(m.crashes[n-1].at))
		}
	})
	return out
}

// TestPartThatCrashesReplicas guards against requests that end one replica after the other
// by a part of their prompts that they have in common.
func TestPartThatCrashesReplicas(t *testing.T) {
	for _, c := range []struct {
		wave  wave
		seeds uint64
	}{
		{wave{entries: 1, replicas: 8, badPerSecond: 2}, 3},
		{wave{entries: 12, replicas: 24, badPerSecond: 3}, 3},
		{wave{entries: 100, replicas: 88, badPerSecond: 6}, 1},
	} {
		for seed := range c.seeds {
			t.Run(fmt.Sprintf("entries=%d/seed=%d", c.wave.entries, seed), func(t *testing.T) {
				is := is.New(t)
				w := c.wave
				w.seed = seed
				got := w.play(t)
				w.badPerSecond = 0
				sound := w.play(t)
				t.Logf("without: %+v, with: %+v", sound, got)
				is.True(got.badSendsAfter <= 3)
				is.True(got.served >= sound.served/2)
				is.True(got.accountServed >= sound.accountServed/2)
			})
		}
	}
}

// TestAccountOfCrashingRequestsIsServed guards against sound requests that are refused
// because all requests that crash replicas share the part of their account.
func TestAccountOfCrashingRequestsIsServed(t *testing.T) {
	for _, w := range []wave{
		{entries: 7, replicas: 24, badPerSecond: 3, soundPerReplica: 3, accounts: 20, oneAccount: true},
		{entries: 7, replicas: 24, badPerSecond: 3, accounts: 100, oneAccount: true},
	} {
		t.Run(fmt.Sprintf("accounts=%d", w.accounts), func(t *testing.T) {
			is := is.New(t)
			got := w.play(t)
			w.badPerSecond = 0
			sound := w.play(t)
			t.Logf("without: %+v, with: %+v", sound, got)
			is.True(got.badSendsAfter <= 3)
			is.True(got.accountServed >= sound.accountServed/2)
		})
	}
}

// TestRestartedEntriesKnowBlockedParts guards against entries that restart during the wave
// and send the part again.
func TestRestartedEntriesKnowBlockedParts(t *testing.T) {
	for _, entries := range []int{12, 100} {
		t.Run(fmt.Sprintf("entries=%d", entries), func(t *testing.T) {
			is := is.New(t)
			got := wave{entries: entries, replicas: 24, badPerSecond: 3, seed: 1, restarts: []time.Duration{8 * time.Second, 12 * time.Second}}.play(t)
			t.Logf("%+v", got)
			is.True(got.badSendsAfter <= 3)
		})
	}
}
