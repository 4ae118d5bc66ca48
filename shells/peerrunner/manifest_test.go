package peerrunner

import (
	"fmt"
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
