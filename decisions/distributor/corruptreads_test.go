package distributor_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/distributor"
)

// maxWastedShare is the share of the time in which the origin's link carries chunks that never fit.
const maxWastedShare = 0.05

// TestChunkThatNeverFitsIsReadSeldom guards against a host that takes much of the origin's link for a
// chunk that never fits its digest, and against one that waits long after a single corrupt read.
func TestChunkThatNeverFitsIsReadSeldom(t *testing.T) {
	is := is.New(t)
	limits := distributor.SmallReleaseLimits()
	self := filbertstile.Member{Name: "h0", Region: "r0"}
	c := distributor.New(distributor.Config{Self: self, SourceRegion: "r0", Limits: limits})
	var m filbertstile.Manifest
	for n := range 4 {
		m.Chunks = append(m.Chunks, filbertstile.ChunkRef{Digest: filbertstile.DigestOf([]byte{byte(n)}), Size: 1})
	}
	digest := filbertstile.DigestOf(m.Encode())
	inbox := []distributor.Event{
		distributor.MembersChanged{Members: []filbertstile.Member{self}, Listed: true},
		distributor.WantedChanged{Wants: []distributor.Want{{Release: "m", Manifest: digest}}},
		distributor.ManifestArrived{Digest: digest, Manifest: m},
	}
	began := time.Unix(0, 0)
	var reads []time.Duration
	for now := began; now.Before(began.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
		commands := c.Tick(now, inbox)
		inbox = nil
		for _, cmd := range commands {
			f, ok := cmd.(distributor.FetchChunk)
			switch {
			case !ok:
			case f.Index == 1:
				reads = append(reads, now.Sub(began))
				inbox = append(inbox, distributor.ChunkFailed{Manifest: digest, Index: f.Index, Failure: distributor.FailedCorrupt})
			default:
				inbox = append(inbox, distributor.ChunkArrived{Manifest: digest, Index: f.Index})
			}
		}
	}
	t.Log(len(reads), "reads:", reads[:min(10, len(reads))])
	is.True(float64(len(reads))*linkTime.Seconds() <= maxWastedShare*60)
	is.True(len(reads) > 10) // the origin may have been wrong
	is.True(reads[1]-reads[0] <= 2*limits.OriginRetryDelay)
}
