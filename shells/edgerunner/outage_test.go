package edgerunner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/decisions/placer"
)

// TestStoreUnavailable guards against an outage of the store that is assumed because some entries
// are cut off, have just started, or have lost the entry that reads for them.
func TestStoreUnavailable(t *testing.T) {
	entries := func(perDomain int, expired, silent [3]int) []entryState {
		var out []entryState
		for d, domain := range []string{"a", "b", "c"} {
			for i := range perDomain {
				out = append(out, entryState{domain: domain, expired: i < expired[d], silent: i < silent[d]})
			}
		}
		return out
	}
	for _, c := range []struct {
		name            string
		expired, silent [3]int
		want            bool
	}{
		{"all is well", [3]int{}, [3]int{}, false},
		{"the store is down", [3]int{5, 5, 5}, [3]int{2, 2, 2}, true},
		{"the store is down, and a domain is not heard", [3]int{5, 5, 0}, [3]int{2, 2, 0}, true},
		{"one domain is cut off", [3]int{5, 0, 0}, [3]int{2, 0, 0}, false},
		{"a third of the entries is turned away", [3]int{2, 2, 1}, [3]int{1, 1, 1}, false},
		{"most entries have just started", [3]int{4, 4, 4}, [3]int{}, false},
		{"the readers of one domain fail, and most others have just started", [3]int{5, 4, 4}, [3]int{2, 0, 0}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(storeUnavailable(entries(5, c.expired, c.silent)), c.want)
		})
	}
	is.New(t).True(!storeUnavailable([]entryState{{domain: "a", expired: true}})) // it does not read the store
}

// TestVersionAfterOutage guards against entries that refuse all requests after an outage of the
// store, as a version that was chosen during it seems due before any host could get its weights. A
// version that was due before must stay due.
func TestVersionAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newNewsStore()
		e := newNewsEntry(s)
		now := s.clock()
		e.chosenVersions["m"] = []chosenVersion{{version: 2, chosenAfter: now}}
		time.Sleep(rolloutTimeout)
		is.Equal(e.versionFloor("s").Version, int64(2))

		// The store is down from here to outageEnd, and version 3 is chosen right after the start.
		e.chosenVersions["m"] = append(e.chosenVersions["m"], chosenVersion{version: 3, chosenAfter: s.clock()})
		time.Sleep(rolloutTimeout - time.Second)
		e.keepDue()
		outageEnd := s.clock()
		e.outageSeenAt.Store(int64(outageEnd))
		time.Sleep(2 * time.Second)
		want := placer.VersionFloor{Version: 2, Next: []placer.DueVersion{{Version: 3, At: time.Now().Add(outageEnd + rolloutTimeout - s.clock())}}}
		is.Equal(e.versionFloor("s"), want)
		time.Sleep(rolloutTimeout - 2*time.Second)
		is.Equal(e.versionFloor("s").Version, int64(3))
	})
}
