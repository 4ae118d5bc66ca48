package voucher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile/decisions/voucher"
)

var now = time.Unix(1e9, 0)

// TestTrustOnlyWithRecentEvidence guards against a process that accepts new work
// although it may have missed a change.
func TestTrustOnlyWithRecentEvidence(t *testing.T) {
	l := voucher.DefaultLimits()
	old := now.Add(-time.Minute)
	report := func(storeUnreachable bool, at time.Time) voucher.RelayReport {
		return voucher.RelayReport{LastContact: at, StoreUnreachable: storeUnreachable}
	}
	for _, c := range []struct {
		name string
		e    voucher.Evidence
		want voucher.Trust
	}{
		{"never confirmed", voucher.Evidence{}, voucher.Stale},
		{"recently confirmed", voucher.Evidence{ConfirmedAt: now}, voucher.Current},
		{"one of three relays reports an outage", voucher.Evidence{ConfirmedAt: old, Expected: 3, Relays: []voucher.RelayReport{report(true, now)}}, voucher.Stale},
		{"most relays report an outage", voucher.Evidence{ConfirmedAt: old, Expected: 3, Relays: []voucher.RelayReport{report(true, now), report(true, now)}}, voucher.Outage},
		{"exactly half of the relays report an outage", voucher.Evidence{ConfirmedAt: old, Expected: 4, Relays: []voucher.RelayReport{report(true, now), report(true, now)}}, voucher.Stale},
		{"expired reports do not count", voucher.Evidence{ConfirmedAt: old, Expected: 3, Relays: []voucher.RelayReport{report(true, old), report(true, old), report(true, now)}}, voucher.Stale},
		{"most relays reach the store", voucher.Evidence{ConfirmedAt: old, Expected: 3, Relays: []voucher.RelayReport{report(false, now), report(false, now), report(true, now)}}, voucher.Stale},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(voucher.Evaluate(now, c.e, l), c.want)
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
		trustOf := func(size int) voucher.Trust {
			e := voucher.Evidence{ConfirmedAt: now.Add(-time.Hour), Expected: n}
			for range size {
				e.Relays = append(e.Relays, voucher.RelayReport{LastContact: now, StoreUnreachable: true})
			}
			return voucher.Evaluate(now, e, voucher.DefaultLimits())
		}
		accepted := 2*pushed > n
		if accepted && trustOf(n-pushed) != voucher.Stale {
			t.Fatalf("%d of %d relays have the change, but the others still trust their view", pushed, n)
		}
	})
}
