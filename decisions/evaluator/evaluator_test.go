package evaluator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile/decisions/evaluator"
)

var now = time.Unix(1e9, 0)

// TestTrustOnlyWithRecentEvidence guards against a process that accepts new work
// although it may have missed a change.
func TestTrustOnlyWithRecentEvidence(t *testing.T) {
	l := evaluator.DefaultLimits()
	old := now.Add(-time.Minute)
	report := func(storeUnreachable bool, at time.Time) evaluator.RelayReport {
		return evaluator.RelayReport{LastContact: at, StoreUnreachable: storeUnreachable}
	}
	for _, c := range []struct {
		name string
		e    evaluator.Evidence
		want evaluator.Trust
	}{
		{"never confirmed", evaluator.Evidence{}, evaluator.Stale},
		{"recently confirmed", evaluator.Evidence{ConfirmedAt: now}, evaluator.Current},
		{"one of three relays reports an outage", evaluator.Evidence{ConfirmedAt: old, Expected: 3, Relays: []evaluator.RelayReport{report(true, now)}}, evaluator.Stale},
		{"most relays report an outage", evaluator.Evidence{ConfirmedAt: old, Expected: 3, Relays: []evaluator.RelayReport{report(true, now), report(true, now)}}, evaluator.Outage},
		{"exactly half of the relays report an outage", evaluator.Evidence{ConfirmedAt: old, Expected: 4, Relays: []evaluator.RelayReport{report(true, now), report(true, now)}}, evaluator.Stale},
		{"expired reports do not count", evaluator.Evidence{ConfirmedAt: old, Expected: 3, Relays: []evaluator.RelayReport{report(true, old), report(true, old), report(true, now)}}, evaluator.Stale},
		{"most relays reach the store", evaluator.Evidence{ConfirmedAt: old, Expected: 3, Relays: []evaluator.RelayReport{report(false, now), report(false, now), report(true, now)}}, evaluator.Stale},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(evaluator.Evaluate(now, c.e, l), c.want)
		})
	}
}

// TestMinorityOfPartitionIsStale guards against two sides of a network partition that
// both serve. A change is accepted only with more than half of the relays, so the
// other side must not trust its view.
func TestMinorityOfPartitionIsStale(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 27).Draw(t, "relays")
		pushed := rapid.IntRange(0, n).Draw(t, "pushed")
		trustOf := func(size int) evaluator.Trust {
			e := evaluator.Evidence{ConfirmedAt: now.Add(-time.Hour), Expected: n}
			for range size {
				e.Relays = append(e.Relays, evaluator.RelayReport{LastContact: now, StoreUnreachable: true})
			}
			return evaluator.Evaluate(now, e, evaluator.DefaultLimits())
		}
		accepted := 2*pushed > n
		if accepted && trustOf(n-pushed) != evaluator.Stale {
			t.Fatalf("%d of %d relays have the change, but the others still trust their view", pushed, n)
		}
	})
}
