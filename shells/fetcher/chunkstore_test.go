package fetcher_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/shells/fetcher"
)

const shelfBytes = 1000

// withShelf hands over a shelf for 1,000 bytes, and two releases of 400 bytes
// of which 300 are the same.
func withShelf(t *testing.T, f func(is *is.I, s *fetcher.Shelf, a, b filbertstile.Manifest, chunk func(filbertstile.ChunkRef) []byte)) {
	t.Helper()
	w := imitator.NewWeightStore()
	one := imitator.ReleaseConfig{Name: "a", Seed: 1, ChunkBytes: 100, Chunks: 4}
	two := one
	two.Name, two.ChangedChunks = "bb", 1
	_, a := w.AddRelease(one)
	_, b := w.AddRelease(two)
	f(is.New(t), fetcher.NewShelf(shelfBytes), a, b, func(ref filbertstile.ChunkRef) []byte { return w.Chunk(ref.Digest) })
}

func digestOf(m filbertstile.Manifest) filbertstile.Digest { return filbertstile.DigestOf(m.Encode()) }

func TestShelfVerifies(t *testing.T) {
	withShelf(t, func(is *is.I, s *fetcher.Shelf, a, _ filbertstile.Manifest, chunk func(filbertstile.ChunkRef) []byte) {
		s.AddManifest(digestOf(a), a.Encode(), a)
		bad := append([]byte(nil), chunk(a.Chunks[0])...)
		bad[7] ^= 1
		var wrong filbertstile.ErrDigest
		is.True(errors.As(s.AddChunk(a.Chunks[0], bad, "peer"), &wrong))
		is.Equal(wrong.Peer, "peer")
		is.Equal(s.Bytes(), int64(0))
		_, _, err := s.Whole(digestOf(a))
		is.True(err != nil) // nothing of a release that is not whole
		for _, ref := range a.Chunks {
			is.NoErr(s.AddChunk(ref, chunk(ref), "peer"))
		}
		m, chunks, err := s.Whole(digestOf(a))
		is.NoErr(err)
		is.Equal(m.Whole, a.Whole)
		is.Equal(len(chunks), 4)
	})
}

func TestShelfSharesChunksAndKeepsToItsMemory(t *testing.T) {
	withShelf(t, func(is *is.I, s *fetcher.Shelf, a, b filbertstile.Manifest, chunk func(filbertstile.ChunkRef) []byte) {
		s.AddManifest(digestOf(a), a.Encode(), a)
		for _, ref := range a.Chunks {
			is.NoErr(s.AddChunk(ref, chunk(ref), ""))
		}
		is.Equal(len(s.AddManifest(digestOf(b), b.Encode(), b)), 3) // only the changed chunk is missing
		is.NoErr(s.AddChunk(b.Chunks[0], chunk(b.Chunks[0]), ""))
		is.Equal(s.Bytes(), int64(500))
		s.Drop(digestOf(a))
		is.Equal(s.Bytes(), int64(400))
		_, _, err := s.Whole(digestOf(b))
		is.NoErr(err) // the shared chunks stayed
		large := make([]byte, 700)
		var full fetcher.ErrFull
		is.True(errors.As(s.AddChunk(filbertstile.ChunkRef{Digest: filbertstile.DigestOf(large), Size: 700}, large, ""), &full))
	})
}

// TestManifestTwice has a manifest arrive again while a peer waits for news of
// its chunks: the peer must still hear of them.
func TestManifestTwice(t *testing.T) {
	is := is.New(t)
	s := fetcher.NewShelf(1 << 20)
	data := []byte("one chunk")
	m := filbertstile.Manifest{Name: "a", Chunks: []filbertstile.ChunkRef{{Digest: filbertstile.DigestOf(data), Size: len(data)}}}
	raw := m.Encode()
	digest := filbertstile.DigestOf(raw)
	is.Equal(len(s.AddManifest(digest, raw, m)), 0)
	_, changed := s.Held(digest)
	s.AddManifest(digest, raw, m)
	is.NoErr(s.AddChunk(m.Chunks[0], data, "peer"))
	select {
	case <-changed:
	default:
		t.Fatal("whoever waited for chunks of the manifest was not told")
	}
	is.Equal(s.AddManifest(digest, raw, m), []int{0})
}
