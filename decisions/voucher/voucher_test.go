package voucher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile/decisions/voucher"
)

var now = time.Unix(1e9, 0)

func TestJudge(t *testing.T) {
	l := voucher.DefaultLimits()
	old := now.Add(-time.Minute)
	word := func(noStore bool, at time.Time) voucher.Relay {
		return voucher.Relay{HeardAt: at, StoreOutOfReach: noStore}
	}
	for _, c := range []struct {
		name string
		e    voucher.Evidence
		want voucher.Trust
	}{
		{"never vouched", voucher.Evidence{}, voucher.Stale},
		{"fresh", voucher.Evidence{VouchedAt: now}, voucher.Current},
		{"old and alone", voucher.Evidence{VouchedAt: old, Expected: 3, Relays: []voucher.Relay{word(true, now)}}, voucher.Stale},
		{"outage seen by most", voucher.Evidence{VouchedAt: old, Expected: 3, Relays: []voucher.Relay{word(true, now), word(true, now)}}, voucher.Outage},
		{"half is not most", voucher.Evidence{VouchedAt: old, Expected: 4, Relays: []voucher.Relay{word(true, now), word(true, now)}}, voucher.Stale},
		{"words get old", voucher.Evidence{VouchedAt: old, Expected: 3, Relays: []voucher.Relay{word(true, old), word(true, old), word(true, now)}}, voucher.Stale},
		{"others have the store", voucher.Evidence{VouchedAt: old, Expected: 3, Relays: []voucher.Relay{word(false, now), word(false, now), word(true, now)}}, voucher.Stale},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(voucher.Judge(now, c.e, l), c.want)
		})
	}
}

// TestNoTwoSidesBothServeOnOutage cuts the relays in two: a change is accepted
// only with more than half of them, so the other side must not trust its view.
func TestNoTwoSidesBothServeOnOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 27).Draw(t, "relays")
		near := rapid.IntRange(0, n).Draw(t, "near")
		side := func(size int) voucher.Trust {
			e := voucher.Evidence{VouchedAt: now.Add(-time.Hour), Expected: n}
			for range size {
				e.Relays = append(e.Relays, voucher.Relay{HeardAt: now, StoreOutOfReach: true})
			}
			return voucher.Judge(now, e, voucher.DefaultLimits())
		}
		accepts := 2*near > n
		if accepts && side(n-near) != voucher.Stale {
			t.Fatalf("%d of %d relays accept a change, and the others serve on", near, n)
		}
	})
}
