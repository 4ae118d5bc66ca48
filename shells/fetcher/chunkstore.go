// Package fetcher fetches manifests and chunks, as package distributor decides, keeps
// them in a limited amount of memory and serves them to other hosts.
package fetcher

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"

	"filbertstile.example/filbertstile"
)

// ErrFull reports that a chunk does not fit into the weight memory.
type ErrFull struct {
	Step string
	// LimitBytes is the size of the weight memory, of which HeldBytes are in use.
	LimitBytes int64
	HeldBytes  int64
}

// Error returns a message with both sizes.
func (e ErrFull) Error() string {
	return fmt.Sprintf("%s: not enough weight memory: %d of %d bytes are in use", e.Step, e.HeldBytes, e.LimitBytes)
}

// manifestEntry is a manifest with the state of its chunks.
type manifestEntry struct {
	raw      []byte
	manifest filbertstile.Manifest
	// held has an element for each chunk, true if the chunk is held.
	held []bool
	// changed is closed and replaced when a chunk of the manifest is added.
	changed chan struct{}
}

// ChunkStore holds verified chunks and manifests in memory. It is safe for concurrent
// use.
type ChunkStore struct {
	mu         sync.Mutex
	limitBytes int64
	heldBytes  int64
	chunks     map[filbertstile.Digest][]byte
	manifests  map[filbertstile.Digest]*manifestEntry
	// manifestAdded is closed and replaced when a manifest is added.
	manifestAdded chan struct{}
}

// NewChunkStore returns a store for at most limitBytes bytes of chunks.
func NewChunkStore(limitBytes int64) *ChunkStore {
	return &ChunkStore{
		limitBytes: limitBytes, chunks: make(map[filbertstile.Digest][]byte), manifests: make(map[filbertstile.Digest]*manifestEntry),
		manifestAdded: make(chan struct{}),
	}
}

// Bytes returns the total size of the chunks held.
func (s *ChunkStore) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldBytes
}

// AddManifest adds a verified manifest and returns the indexes of its chunks that are
// already held.
func (s *ChunkStore) AddManifest(digest filbertstile.Digest, raw []byte, m filbertstile.Manifest) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.manifests[digest]; e != nil {
		// The entry must stay, because readers may wait for its changed channel.
		return e.heldIndexes()
	}
	e := &manifestEntry{raw: raw, manifest: m, held: make([]bool, len(m.Chunks)), changed: make(chan struct{})}
	s.manifests[digest] = e
	close(s.manifestAdded)
	s.manifestAdded = make(chan struct{})
	for i, ref := range m.Chunks {
		_, e.held[i] = s.chunks[ref.Digest]
	}
	return e.heldIndexes()
}

// heldIndexes returns the indexes of the chunks that are held.
func (e *manifestEntry) heldIndexes() []int {
	var held []int
	for i, h := range e.held {
		if h {
			held = append(held, i)
		}
	}
	return held
}

// Manifest returns the document of a manifest, or nil if it is not held.
func (s *ChunkStore) Manifest(digest filbertstile.Digest) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.manifests[digest]; e != nil {
		return e.raw
	}
	return nil
}

// AddChunk verifies a chunk that came from the peer and adds it. It returns
// filbertstile.ErrDigest if the data does not match the chunk's digest, and ErrFull if
// there is not enough memory.
func (s *ChunkStore) AddChunk(ref filbertstile.ChunkRef, data []byte, peer string) error {
	if got := filbertstile.DigestOf(data); got != ref.Digest {
		return filbertstile.ErrDigest{Step: "verify chunk", Peer: peer, Want: ref.Digest, Got: got}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.chunks[ref.Digest]; ok {
		return nil
	}
	if s.heldBytes+int64(len(data)) > s.limitBytes {
		return ErrFull{Step: "add chunk", LimitBytes: s.limitBytes, HeldBytes: s.heldBytes}
	}
	s.chunks[ref.Digest] = data
	s.heldBytes += int64(len(data))
	for _, e := range s.manifests {
		s.markHeld(e, ref.Digest)
	}
	return nil
}

// markHeld marks a chunk as held in the manifest. The caller holds s.mu.
func (s *ChunkStore) markHeld(e *manifestEntry, digest filbertstile.Digest) {
	added := false
	for i, ref := range e.manifest.Chunks {
		if ref.Digest == digest && !e.held[i] {
			e.held[i] = true
			added = true
		}
	}
	if added {
		close(e.changed)
		e.changed = make(chan struct{})
	}
}

// Chunk returns a chunk, or nil if it is not held.
func (s *ChunkStore) Chunk(digest filbertstile.Digest) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chunks[digest]
}

// Held returns a slice that has true for each chunk of the manifest that is held, and a
// channel that is closed when more are added. If the manifest is not held, the slice is nil
// and the channel is closed when any manifest is added.
func (s *ChunkStore) Held(digest filbertstile.Digest) ([]bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.manifests[digest]
	if e == nil {
		return nil, s.manifestAdded
	}
	return append([]bool(nil), e.held...), e.changed
}

// Drop removes a manifest, and those of its chunks that are not in another manifest.
func (s *ChunkStore) Drop(digest filbertstile.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.manifests[digest]
	if e == nil {
		return
	}
	delete(s.manifests, digest)
	needed := make(map[filbertstile.Digest]bool)
	for _, other := range s.manifests {
		for _, ref := range other.manifest.Chunks {
			needed[ref.Digest] = true
		}
	}
	for _, ref := range e.manifest.Chunks {
		if data, ok := s.chunks[ref.Digest]; ok && !needed[ref.Digest] {
			s.heldBytes -= int64(len(data))
			delete(s.chunks, ref.Digest)
		}
	}
}

// VerifyAllChunks returns the manifest and all its chunks in order, after verifying
// their combined digest, Manifest.Whole.
func (s *ChunkStore) VerifyAllChunks(digest filbertstile.Digest) (filbertstile.Manifest, [][]byte, error) {
	m, chunks, ok := s.AllChunks(digest)
	if !ok {
		return filbertstile.Manifest{}, nil, filbertstile.ErrNotFound{Step: "collect weights", Key: string(digest)}
	}
	h := sha256.New()
	for _, data := range chunks {
		h.Write(data)
	}
	got := filbertstile.Digest(hex.EncodeToString(h.Sum(nil)))
	if got != m.Whole {
		return filbertstile.Manifest{}, nil, filbertstile.ErrDigest{Step: "verify weights", Want: m.Whole, Got: got}
	}
	return m, chunks, nil
}

// AllChunks returns the manifest and all its chunks in order, or false if some are not
// held. Each chunk was verified when it was added.
func (s *ChunkStore) AllChunks(digest filbertstile.Digest) (filbertstile.Manifest, [][]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.manifests[digest]
	if e == nil {
		return filbertstile.Manifest{}, nil, false
	}
	chunks := make([][]byte, 0, len(e.manifest.Chunks))
	for _, ref := range e.manifest.Chunks {
		data := s.chunks[ref.Digest]
		if data == nil {
			return filbertstile.Manifest{}, nil, false
		}
		chunks = append(chunks, data)
	}
	return e.manifest, chunks, true
}
