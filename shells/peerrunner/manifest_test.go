package peerrunner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
)

// originConnections is the lowest limit of connections that an origin of the users has.
const originConnections = 48

// TestFewHostsReadManifestAtOnce guards against a system whose hosts all read the manifest
// from the origin at the same moment, as they did once the digest was late: the origin reset
// most of them, and kept them from the chunks.
func TestFewHostsReadManifestAtOnce(t *testing.T) {
	for _, count := range []int{3, 88, 235, 2000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			var hosts []filbertstile.Member
			for n := range count {
				hosts = append(hosts, filbertstile.Member{Name: fmt.Sprint("h", n), Region: fmt.Sprint("r", n%5)})
			}
			atOnce := make(map[time.Duration]int)
			for _, h := range hosts {
				rank := manifestRank(hosts, h.Name, "r3")
				delay := manifestDelay(rank, severalGroupsManifestWait)
				// A read takes less than half a second.
				atOnce[delay.Truncate(500*time.Millisecond)]++
				if delay == 0 && count > 3 {
					is.Equal(h.Region, "r3") // the first readers are near the origin
				}
			}
			is.True(atOnce[0] >= 1 && atOnce[0] <= maxFirstReaders)
			for _, n := range atOnce {
				is.True(n <= originConnections/4)
			}
		})
	}
}

// TestFewHostsReadManifestWithoutList guards against hosts that all read the manifest at once
// because each knows only itself: 39 did after all processes had been killed.
func TestFewHostsReadManifestWithoutList(t *testing.T) {
	// digestTime is the time after which the others have the digest that one has read.
	const digestTime = 150 * time.Millisecond
	for _, count := range []int{5, 19, 46, 167} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			var delays []time.Duration
			for n := range count {
				near := filbertstile.Member{Name: fmt.Sprint("host-", n), Region: "r0"}
				delays = append(delays, unlistedManifestDelay(near, "r0", manifestWait))
				far := filbertstile.Member{Name: near.Name, Region: "r1"}
				is.True(unlistedManifestDelay(far, "r0", manifestWait) >= membersWait)
			}
			slices.Sort(delays)
			is.True(delays[0] <= unlistedManifestTimer)
			early := 0
			for _, d := range delays {
				if d <= delays[0]+digestTime {
					early++
				}
			}
			t.Logf("first after %s, %d before its digest has spread", delays[0], early)
			is.True(early <= originConnections/4)
		})
	}
}
