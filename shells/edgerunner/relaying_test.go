package edgerunner_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/decisions/grouper"
	"filbertstile.example/filbertstile/shells/edgerunner"
	"filbertstile.example/filbertstile/transport/pulser"
)

// groupedRig is a system of entries in five failure domains that has settled.
type groupedRig struct {
	*limitRig
	// groups holds the group of each entry, by name.
	groups map[string]int
}

func withGroupedRig(t *testing.T, entries int, f func(ctx context.Context, is *is.I, r *groupedRig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &groupedRig{limitRig: &limitRig{
			evidenceRig: evidenceRig{
				network: &datagrams{inboxes: make(map[string]chan []byte), sent: make(map[[2]string]int)}, entries: entries, slots: 16, domains: 5,
				store: &listedStore{counts: map[string]int{"config/": 1, "servers/": 3, "members/": entries}},
			},
			replicas: &limitedReplicas{}, callers: entries, edges: make([]*edgerunner.Edge, entries), stops: make([]func(), entries),
		}}
		var items []grouper.Item
		for i := range entries {
			items = append(items, grouper.Item{Key: r.member(i).Name, Domain: r.member(i).Domain})
			r.restart(t.Context(), i, 1)
		}
		r.groups = grouper.Assign(items, grouper.GroupIndices(grouper.GroupCount(entries)))
		defer r.stop()
		advance(5 * time.Second)
		f(t.Context(), is.New(t), r)
	})
}

// betweenGroups returns the most datagrams that an entry has got from entries of other groups.
func (r *groupedRig) betweenGroups() int {
	r.network.mu.Lock()
	defer r.network.mu.Unlock()
	group, got, most := make(map[string]int), make(map[string]int), 0
	for i := range r.entries {
		group[r.member(i).Address] = r.groups[r.member(i).Name]
	}
	for way, n := range r.network.sent {
		if group[way[0]] != group[way[1]] {
			got[way[1]] += n
			most = max(most, got[way[1]])
		}
	}
	clear(r.network.sent)
	return most
}

// heard returns the number of entries that hear each entry, but for those in except.
func (r *groupedRig) heard(except map[int]bool) []int {
	byName := make(map[string]int)
	for i, e := range r.edges {
		if except[i] {
			continue
		}
		for _, name := range e.Dump().Heard {
			byName[name]++
		}
	}
	out := make([]int, r.entries)
	for i := range out {
		out[i] = byName[r.member(i).Name]
	}
	return out
}

// TestHeartbeatsBetweenGroups guards against heartbeats of each entry to each other one.
func TestHeartbeatsBetweenGroups(t *testing.T) {
	for _, entries := range []int{25, 50, 100} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			withGroupedRig(t, entries, func(_ context.Context, is *is.I, r *groupedRig) {
				r.betweenGroups()
				for range 100 {
					advance(80 * time.Millisecond)
					for _, n := range r.heard(nil) {
						is.Equal(n, entries-1) // all are heard at any time
					}
				}
				// Two from each other group every 0.8 s, and one round more.
				others := grouper.GroupCount(entries) - 1
				is.True(r.betweenGroups() <= others*2*11)
			})
		})
	}
}

// TestEndedEntriesAreMissed guards against entries that relayed heartbeats keep in the tables of
// other groups, and against others that are missed because the entries that relayed theirs ended.
func TestEndedEntriesAreMissed(t *testing.T) {
	tests := []struct {
		name  string
		ended func(r *groupedRig, i int) bool
		// survives is true if those that live must be heard at any time.
		survives bool
	}{
		{"one entry", func(_ *groupedRig, i int) bool { return i == 7 }, true},
		{"a failure domain", func(r *groupedRig, i int) bool { return r.member(i).Domain == "d2" }, true},
		{"half of all entries", func(_ *groupedRig, i int) bool { return i%2 == 0 }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const entries = 100
			withGroupedRig(t, entries, func(_ context.Context, is *is.I, r *groupedRig) {
				ended := make(map[int]bool)
				for i := range entries {
					if test.ended(r, i) {
						ended[i] = true
						r.network.setCut(r.member(i).Address, true)
					}
				}
				for cutAt := time.Now(); time.Since(cutAt) < 6*time.Second; advance(200 * time.Millisecond) {
					for i, n := range r.heard(ended) {
						switch {
						case !ended[i] && (test.survives || time.Since(cutAt) > pulser.HeartbeatTimeout+time.Second):
							is.Equal(n, entries-1-len(ended))
						case ended[i] && time.Since(cutAt) > pulser.HeartbeatTimeout+time.Second:
							is.Equal(n, 0)
						}
					}
				}
				for i := range ended {
					r.network.setCut(r.member(i).Address, false)
				}
				advance(2 * time.Second)
				for _, n := range r.heard(nil) {
					is.Equal(n, entries-1)
				}
			})
		})
	}
}
