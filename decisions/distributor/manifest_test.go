package distributor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/distributor"
)

// TestOwnManifestIsUsedAtOnce guards against a host that has read a manifest itself and waits for
// its turn among all hosts, a second each, before it uses it and serves it to others.
func TestOwnManifestIsUsedAtOnce(t *testing.T) {
	for _, region := range []string{"origin", "far"} {
		t.Run(region, func(t *testing.T) {
			is := is.New(t)
			var members []filbertstile.Member
			for i := range 138 {
				members = append(members, filbertstile.Member{Name: fmt.Sprint("h", i), Region: []string{"origin", "far"}[i%2], Address: "a"})
			}
			for _, self := range members {
				if self.Region != region {
					continue
				}
				c := distributor.New(distributor.Config{Self: self, SourceRegion: "origin", Limits: distributor.SmallReleaseLimits()})
				commands := c.Tick(time.Unix(1e9, 0), []distributor.Event{
					distributor.MembersChanged{Members: members},
					distributor.WantedChanged{Wants: []distributor.Want{{Release: "r", Manifest: manifestName, HasManifest: true}}},
				})
				asked := 0
				for _, cmd := range commands {
					if fetch, ok := cmd.(distributor.FetchManifest); ok {
						is.Equal(fetch, distributor.FetchManifest{Digest: manifestName})
						asked++
					}
				}
				is.Equal(asked, 1)
			}
		})
	}
}
