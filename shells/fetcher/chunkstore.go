// Package fetcher moves manifests and chunks between hosts, as the
// distributor decides, and keeps them in bounded memory.
package fetcher

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"

	"filbertstile.example/filbertstile"
)

// ErrFull is weight memory that cannot take another chunk.
type ErrFull struct {
	Step string
	// Limit and Held are in bytes.
	Limit int64
	Held  int64
}

// Error names the bytes.
func (e ErrFull) Error() string {
	return fmt.Sprintf("%s: weight memory holds %d of %d bytes", e.Step, e.Held, e.Limit)
}

type document struct {
	raw      []byte
	manifest filbertstile.Manifest
	held     []bool
	// changed is closed when a chunk is added.
	changed chan struct{}
}

// Shelf holds verified chunks and manifests.
type Shelf struct {
	mu     sync.Mutex
	limit  int64
	bytes  int64
	chunks map[filbertstile.Digest][]byte
	docs   map[filbertstile.Digest]*document
}

// NewShelf returns a shelf for at most limit bytes of chunks.
func NewShelf(limit int64) *Shelf {
	return &Shelf{limit: limit, chunks: make(map[filbertstile.Digest][]byte), docs: make(map[filbertstile.Digest]*document)}
}

// Bytes returns the bytes of chunks held.
func (s *Shelf) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// AddManifest keeps a checked manifest and returns the indexes of its chunks
// that are held already.
func (s *Shelf) AddManifest(digest filbertstile.Digest, raw []byte, m filbertstile.Manifest) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.docs[digest]; d != nil {
		// Whoever waits for more chunks of it waits on this document.
		return d.indexes()
	}
	d := &document{raw: raw, manifest: m, held: make([]bool, len(m.Chunks)), changed: make(chan struct{})}
	s.docs[digest] = d
	for i, ref := range m.Chunks {
		_, d.held[i] = s.chunks[ref.Digest]
	}
	return d.indexes()
}

// indexes lists the chunks that are held.
func (d *document) indexes() []int {
	var held []int
	for i, h := range d.held {
		if h {
			held = append(held, i)
		}
	}
	return held
}

// Manifest returns a manifest's document, or nil.
func (s *Shelf) Manifest(digest filbertstile.Digest) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.docs[digest]; d != nil {
		return d.raw
	}
	return nil
}

// AddChunk verifies a chunk and keeps it.
func (s *Shelf) AddChunk(ref filbertstile.ChunkRef, data []byte, peer string) error {
	if got := filbertstile.DigestOf(data); got != ref.Digest {
		return filbertstile.ErrDigest{Step: "verify chunk", Peer: peer, Want: ref.Digest, Got: got}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.chunks[ref.Digest]; ok {
		return nil
	}
	if s.bytes+int64(len(data)) > s.limit {
		return ErrFull{Step: "keep chunk", Limit: s.limit, Held: s.bytes}
	}
	s.chunks[ref.Digest] = data
	s.bytes += int64(len(data))
	for _, d := range s.docs {
		s.mark(d, ref.Digest)
	}
	return nil
}

func (s *Shelf) mark(d *document, digest filbertstile.Digest) {
	added := false
	for i, ref := range d.manifest.Chunks {
		if ref.Digest == digest && !d.held[i] {
			d.held[i] = true
			added = true
		}
	}
	if added {
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

// Chunk returns a held chunk, or nil.
func (s *Shelf) Chunk(digest filbertstile.Digest) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chunks[digest]
}

// Held returns which chunks of the manifest are held, and a channel that is
// closed when there are more; nil if the manifest is not known.
func (s *Shelf) Held(digest filbertstile.Digest) ([]bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.docs[digest]
	if d == nil {
		return nil, nil
	}
	return append([]bool(nil), d.held...), d.changed
}

// Drop forgets a manifest, and the chunks that no other manifest names.
func (s *Shelf) Drop(digest filbertstile.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.docs[digest]
	if d == nil {
		return
	}
	delete(s.docs, digest)
	needed := make(map[filbertstile.Digest]bool)
	for _, other := range s.docs {
		for _, ref := range other.manifest.Chunks {
			needed[ref.Digest] = true
		}
	}
	for _, ref := range d.manifest.Chunks {
		if data, ok := s.chunks[ref.Digest]; ok && !needed[ref.Digest] {
			s.bytes -= int64(len(data))
			delete(s.chunks, ref.Digest)
		}
	}
}

// Whole returns all chunks of a release in order, after checking the digest
// over them.
func (s *Shelf) Whole(digest filbertstile.Digest) (filbertstile.Manifest, [][]byte, error) {
	m, chunks, ok := s.All(digest)
	if !ok {
		return filbertstile.Manifest{}, nil, filbertstile.ErrNotFound{Step: "gather weights", Key: string(digest)}
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

// All returns the manifest and its chunks in order, or false until all are
// held. Each chunk was verified when it was taken in.
func (s *Shelf) All(digest filbertstile.Digest) (filbertstile.Manifest, [][]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.docs[digest]
	if d == nil {
		return filbertstile.Manifest{}, nil, false
	}
	chunks := make([][]byte, 0, len(d.manifest.Chunks))
	for _, ref := range d.manifest.Chunks {
		c := s.chunks[ref.Digest]
		if c == nil {
			return filbertstile.Manifest{}, nil, false
		}
		chunks = append(chunks, c)
	}
	return d.manifest, chunks, true
}
