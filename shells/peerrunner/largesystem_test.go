package peerrunner

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
)

const (
	largeEntries      = 29
	largeHosts        = 66
	smallRoutingBytes = 64 << 10
)

// withLargeSystem starts a domain of a system with as many processes, all of which have just
// started, and calls f.
func withLargeSystem(t *testing.T, members int, prepare, f func(d *domain)) {
	t.Helper()
	withDomain(t, largeEntries, largeHosts, smallRoutingBytes, func(d *domain) {
		for n := range members - largeEntries - largeHosts {
			m := d.member(filbertstile.RoleHost, largeHosts+n)
			m.Region, m.Domain = "other", "other"
			value, err := json.Marshal(m)
			if err != nil {
				d.t.Fatal(err)
			}
			d.store.objects[membersPrefix] = append(d.store.objects[membersPrefix], filbertstile.Object{Key: membersPrefix + m.Name, Version: uint64(1000 + n), Value: value})
		}
		if prepare != nil {
			prepare(d)
		}
	}, f)
}

// awaitMembers returns the time until all hosts have the list of all processes.
func (d *domain) awaitMembers(limit time.Duration) time.Duration {
	for d.clock() < limit {
		missing := 0
		for _, p := range d.hosts {
			if !p.sources.Members.View().Listed {
				missing++
			}
		}
		if missing == 0 {
			return d.clock()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return limit
}

// TestConfigurationInLargeSystemSoonAfterPowerLoss guards against processes that each list all
// processes of a large system over the narrow link between two regions, and hold each other up.
func TestConfigurationInLargeSystemSoonAfterPowerLoss(t *testing.T) {
	for _, members := range []int{95, 470, 1000, 3300} {
		t.Run(fmt.Sprintf("%dMembers", members), func(t *testing.T) {
			withLargeSystem(t, members, nil, func(d *domain) {
				is := is.New(d.t)
				took := d.awaitRoutings(30 * time.Second)
				tookMembers := d.awaitMembers(30 * time.Second)
				t.Logf("all hosts after %s, with all processes after %s, listed %d times", took, tookMembers, d.store.lists)
				is.True(took <= 4*time.Second)
				is.True(tookMembers <= 4*time.Second)
				is.True(d.store.lists <= 3) // one reader of the domain, and at most two more
			})
		})
	}
}

// TestReaderFailsWhileItListsProcesses guards against processes that wait in vain for the list of
// the one that reads it, or that all read it as soon as that one fails.
func TestReaderFailsWhileItListsProcesses(t *testing.T) {
	for _, members := range []int{470, 3300} {
		for name, fail := range map[string]func(d *domain){
			"Stopped": (*domain).stopReaders,
			"TurnedAway": func(d *domain) {
				readers := d.readers()
				d.store.setTurnsAway(func(m filbertstile.Member) bool { return slices.Contains(readers, m.Name) })
			},
		} {
			t.Run(fmt.Sprintf("%s/%dMembers", name, members), func(t *testing.T) {
				withLargeSystem(t, members, func(d *domain) { d.store.failsFirstList = true }, func(d *domain) {
					is := is.New(d.t)
					for d.store.listsBegun() == 0 {
						time.Sleep(time.Millisecond)
					}
					begun := d.clock()
					fail(d)
					took := d.awaitRoutings(30 * time.Second)
					tookMembers := d.awaitMembers(30 * time.Second)
					t.Logf("fails after %s, all hosts after %s, with all processes after %s, listed %d times, at most %d at once", begun, took, tookMembers, d.store.lists, d.store.mostListing)
					is.True(took <= 4*time.Second)
					is.True(tookMembers <= 4*time.Second)
					is.True(d.store.mostListing <= 4)
				})
			})
		}
	}
}

// readers returns the names of the entries that read the store.
func (d *domain) readers() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for name, s := range d.entries {
		if s.Source().Reads {
			out = append(out, name)
		}
	}
	return out
}

// stopReaders stops the entries that read the store.
func (d *domain) stopReaders() {
	for _, name := range d.readers() {
		d.mu.Lock()
		d.stop[name]()
		delete(d.entries, name) // it is no longer heard
		d.mu.Unlock()
	}
}

// TestHostsListProcessesInTurn guards against hosts that all list a large system at the same time
// where entries cannot send the list: none reaches the store, or none runs.
func TestHostsListProcessesInTurn(t *testing.T) {
	none := func(filbertstile.Member) bool { return false }
	for name, prepare := range map[string]func(d *domain){
		"TurnedAway": func(d *domain) { d.store.turnsAway = isEntry },
		"NoneRuns":   func(d *domain) { d.runs = none },
	} {
		for _, members := range []int{470, 1000} {
			t.Run(fmt.Sprintf("%s/%dMembers", name, members), func(t *testing.T) {
				withLargeSystem(t, members, prepare, func(d *domain) {
					is := is.New(d.t)
					took := d.awaitMembers(60 * time.Second)
					tookRoutings := d.awaitRoutings(60 * time.Second)
					t.Logf("all hosts have all processes after %s, the configuration after %s, listed %d times, at most %d at once", took, tookRoutings, d.store.lists, d.store.mostListing)
					is.True(took <= copiesTimeout+listSpread+2*time.Second)
					is.True(tookRoutings <= routingReadDelay+largeHosts*routingReadStep+2*time.Second)
					is.True(d.store.mostListing <= 12)
				})
			})
		}
	}
}

// TestEntriesOfOlderBuildAreFollowed guards against processes that wait for contacts where entries
// run which have not registered as such.
func TestEntriesOfOlderBuildAreFollowed(t *testing.T) {
	for _, contacts := range []int{0, 2} {
		t.Run(fmt.Sprintf("%dContacts", contacts), func(t *testing.T) {
			withDomain(t, 13, 29, smallRoutingBytes, func(d *domain) {
				d.store.objects[contactsPrefix] = d.store.objects[contactsPrefix][:contacts]
			}, func(d *domain) {
				is := is.New(d.t)
				took := d.awaitRoutings(30 * time.Second)
				t.Logf("all hosts after %s", took)
				is.True(took <= 4*time.Second)
			})
		})
	}
}
