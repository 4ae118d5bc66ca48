package imitator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/transport/responder"
)

// ReleaseConfig configures a release with generated weights.
type ReleaseConfig struct {
	Name string
	// Seed determines the content of the chunks.
	Seed uint64
	// ChunkBytes is the size of a chunk.
	ChunkBytes int
	// Chunks is the number of chunks.
	Chunks int
	// ChangedChunks is the number of chunks, from the first, that differ from those
	// of a release with the same seed and no changed chunks. Their content also
	// depends on the length of the name.
	ChangedChunks int
}

// WeightStore is a stand-in for the weight store and the origin from which it reads.
type WeightStore struct {
	mu        sync.Mutex
	chunks    map[filbertstile.Digest][]byte
	manifests map[filbertstile.Digest][]byte
	bytesRead int64
	// corruptInterval is n if every nth chunk read is corrupted, or 0.
	corruptInterval int
	// chunkReads is the number of chunk reads, including those that found no chunk.
	chunkReads int
	down       bool
}

// NewWeightStore returns a store without releases.
func NewWeightStore() *WeightStore {
	return &WeightStore{
		chunks:    make(map[filbertstile.Digest][]byte),
		manifests: make(map[filbertstile.Digest][]byte),
	}
}

// AddRelease generates the weights of a release and returns the digest of its manifest
// and the manifest.
func (w *WeightStore) AddRelease(c ReleaseConfig) (filbertstile.Digest, filbertstile.Manifest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	whole := sha256.New()
	m := filbertstile.Manifest{Name: c.Name}
	for i := range c.Chunks {
		seed := c.Seed
		if i < c.ChangedChunks {
			seed ^= 0x9e3779b97f4a7c15 * uint64(len(c.Name)+1)
		}
		data := generateChunk(seed, uint64(i), c.ChunkBytes)
		whole.Write(data)
		d := filbertstile.DigestOf(data)
		w.chunks[d] = data
		m.Chunks = append(m.Chunks, filbertstile.ChunkRef{Digest: d, Size: len(data)})
		m.Size += int64(len(data))
	}
	m.Whole = filbertstile.Digest(hex.EncodeToString(whole.Sum(nil)))
	doc := m.Encode()
	digest := filbertstile.DigestOf(doc)
	w.manifests[digest] = doc
	return digest, m
}

// generateChunk returns size pseudo-random bytes that the seed and the index determine.
func generateChunk(seed, index uint64, size int) []byte {
	src := rand.NewPCG(seed, index)
	data := make([]byte, 0, size+8)
	for len(data) < size {
		v := src.Uint64()
		data = append(data, byte(v), byte(v>>8), byte(v>>16), byte(v>>24), byte(v>>32), byte(v>>40), byte(v>>48), byte(v>>56))
	}
	return data[:size]
}

// CorruptOneIn makes the store corrupt the result of every nth chunk read; 0 means none.
func (w *WeightStore) CorruptOneIn(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.corruptInterval = n
}

// SetDown sets whether the store responds to every call with status 503.
func (w *WeightStore) SetDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// Chunk returns the uncorrupted chunk with the digest, or nil.
func (w *WeightStore) Chunk(digest filbertstile.Digest) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.chunks[digest]
}

// Bytes returns the number of chunk bytes that were read so far.
func (w *WeightStore) Bytes() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytesRead
}

// Serve serves requests until the context ends.
func (w *WeightStore) Serve(ctx context.Context, l net.Listener) error {
	return responder.Serve(ctx, l, responder.Config{Name: "weights", Handler: w.handle})
}

func (w *WeightStore) handle(rc *fasthttp.RequestCtx) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	path := string(rc.Path())
	if d, ok := strings.CutPrefix(path, "/manifests/"); ok {
		w.writeBody(rc, w.manifests[filbertstile.Digest(d)])
		return
	}
	d := strings.TrimPrefix(path, "/chunks/")
	data := w.chunks[filbertstile.Digest(d)]
	w.bytesRead += int64(len(data))
	w.chunkReads++
	if w.corruptInterval > 0 && w.chunkReads%w.corruptInterval == 0 && len(data) > 0 {
		data = append([]byte(nil), data...)
		data[len(data)/2] ^= 1
	}
	w.writeBody(rc, data)
}

func (w *WeightStore) writeBody(rc *fasthttp.RequestCtx, data []byte) {
	if data == nil {
		rc.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	rc.SetContentType("application/octet-stream")
	rc.SetBody(data)
}
