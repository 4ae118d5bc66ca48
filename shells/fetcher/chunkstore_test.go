package fetcher_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/shells/fetcher"
)

const limitBytes = 1000

// withChunkStore runs f with a store of limitBytes, the manifests of two releases of
// 400 bytes that share 300 bytes, and a function that returns their chunks.
func withChunkStore(t *testing.T, f func(is *is.I, s *fetcher.ChunkStore, a, b filbertstile.Manifest, chunk func(filbertstile.ChunkRef) []byte)) {
	t.Helper()
	w := imitator.NewWeightStore()
	one := imitator.ReleaseConfig{Name: "a", Seed: 1, ChunkBytes: 100, Chunks: 4}
	two := one
	two.Name, two.ChangedChunks = "bb", 1
	_, a := w.AddRelease(one)
	_, b := w.AddRelease(two)
	f(is.New(t), fetcher.NewChunkStore(limitBytes), a, b, func(ref filbertstile.ChunkRef) []byte { return w.Chunk(ref.Digest) })
}

func digestOf(m filbertstile.Manifest) filbertstile.Digest { return filbertstile.DigestOf(m.Encode()) }

// TestStoreRejectsCorruptChunks guards against keeping chunks that do not match their
// digest, and against returning incomplete releases.
func TestStoreRejectsCorruptChunks(t *testing.T) {
	withChunkStore(t, func(is *is.I, s *fetcher.ChunkStore, a, _ filbertstile.Manifest, chunk func(filbertstile.ChunkRef) []byte) {
		s.AddManifest(digestOf(a), a.Encode(), a)
		corrupt := append([]byte(nil), chunk(a.Chunks[0])...)
		corrupt[7] ^= 1
		var mismatch filbertstile.ErrDigest
		is.True(errors.As(s.AddChunk(a.Chunks[0], corrupt, "peer"), &mismatch))
		is.Equal(mismatch.Peer, "peer")
		is.Equal(s.Bytes(), int64(0))
		_, _, err := s.VerifyAllChunks(digestOf(a))
		is.True(err != nil) // the release is incomplete
		for _, ref := range a.Chunks {
			is.NoErr(s.AddChunk(ref, chunk(ref), "peer"))
		}
		m, chunks, err := s.VerifyAllChunks(digestOf(a))
		is.NoErr(err)
		is.Equal(m.Whole, a.Whole)
		is.Equal(len(chunks), 4)
	})
}

// TestStoreSharesChunksWithinLimit guards against storing or dropping chunks once per
// release that has them, and against exceeding the memory limit.
func TestStoreSharesChunksWithinLimit(t *testing.T) {
	withChunkStore(t, func(is *is.I, s *fetcher.ChunkStore, a, b filbertstile.Manifest, chunk func(filbertstile.ChunkRef) []byte) {
		s.AddManifest(digestOf(a), a.Encode(), a)
		for _, ref := range a.Chunks {
			is.NoErr(s.AddChunk(ref, chunk(ref), ""))
		}
		is.Equal(len(s.AddManifest(digestOf(b), b.Encode(), b)), 3) // only the changed chunk is missing
		is.NoErr(s.AddChunk(b.Chunks[0], chunk(b.Chunks[0]), ""))
		is.Equal(s.Bytes(), int64(500))
		s.Drop(digestOf(a))
		is.Equal(s.Bytes(), int64(400))
		_, _, err := s.VerifyAllChunks(digestOf(b))
		is.NoErr(err) // the shared chunks are still held
		large := make([]byte, 700)
		var full fetcher.ErrFull
		is.True(errors.As(s.AddChunk(filbertstile.ChunkRef{Digest: filbertstile.DigestOf(large), Size: 700}, large, ""), &full))
	})
}

// TestRepeatedManifestKeepsWaiters guards against losing the waiters on a manifest when
// it arrives again: they must still be notified of new chunks.
func TestRepeatedManifestKeepsWaiters(t *testing.T) {
	is := is.New(t)
	s := fetcher.NewChunkStore(1 << 20)
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
		t.Fatal("the waiter on the manifest was not notified of a new chunk")
	}
	is.Equal(s.AddManifest(digest, raw, m), []int{0})
}

// TestWaitersLearnOfManifest guards against hosts that ask again and again for a manifest
// that has not arrived yet, on behalf of each of their subscribers.
func TestWaitersLearnOfManifest(t *testing.T) {
	is := is.New(t)
	s := fetcher.NewChunkStore(1 << 20)
	m := filbertstile.Manifest{Name: "a", Chunks: []filbertstile.ChunkRef{{Digest: filbertstile.DigestOf([]byte("x")), Size: 1}}}
	raw := m.Encode()
	held, added := s.Held(digestOf(m))
	is.Equal(held, nil)
	s.AddManifest(digestOf(m), raw, m)
	select {
	case <-added:
	default:
		t.Fatal("the waiter was not notified of the manifest")
	}
	held, _ = s.Held(digestOf(m))
	is.Equal(held, []bool{false})
}
