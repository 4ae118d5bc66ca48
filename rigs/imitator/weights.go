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

// ReleaseConfig describes weights to make up.
type ReleaseConfig struct {
	Name       string
	Seed       uint64
	ChunkBytes int
	Chunks     int
	// ChangedChunks is the number of chunks, from the first, that differ from
	// those of the same seed.
	ChangedChunks int
}

// WeightStore is a stand-in for the weight store and the origin behind it.
type WeightStore struct {
	mu      sync.Mutex
	chunks  map[filbertstile.Digest][]byte
	docs    map[filbertstile.Digest][]byte
	bytes   int64
	corrupt int
	served  int
	down    bool
}

// NewWeightStore returns a store without weights.
func NewWeightStore() *WeightStore {
	return &WeightStore{
		chunks: make(map[filbertstile.Digest][]byte),
		docs:   make(map[filbertstile.Digest][]byte),
	}
}

// AddRelease makes up the weights of a release, and returns its manifest's
// digest and the manifest.
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
		data := madeUp(seed, uint64(i), c.ChunkBytes)
		whole.Write(data)
		d := filbertstile.DigestOf(data)
		w.chunks[d] = data
		m.Chunks = append(m.Chunks, filbertstile.ChunkRef{Digest: d, Size: len(data)})
		m.Size += int64(len(data))
	}
	m.Whole = filbertstile.Digest(hex.EncodeToString(whole.Sum(nil)))
	doc := m.Encode()
	digest := filbertstile.DigestOf(doc)
	w.docs[digest] = doc
	return digest, m
}

func madeUp(seed, index uint64, size int) []byte {
	src := rand.NewPCG(seed, index)
	data := make([]byte, 0, size+8)
	for len(data) < size {
		v := src.Uint64()
		data = append(data, byte(v), byte(v>>8), byte(v>>16), byte(v>>24), byte(v>>32), byte(v>>40), byte(v>>48), byte(v>>56))
	}
	return data[:size]
}

// CorruptOneIn makes one chunk in n arrive damaged; 0 stops it.
func (w *WeightStore) CorruptOneIn(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.corrupt = n
}

// SetDown makes the store refuse every call.
func (w *WeightStore) SetDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// Chunk returns a chunk as it truly is, or nil.
func (w *WeightStore) Chunk(digest filbertstile.Digest) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.chunks[digest]
}

// Bytes returns the chunk bytes that were read so far.
func (w *WeightStore) Bytes() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes
}

// Serve answers until the context ends.
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
		w.answer(rc, w.docs[filbertstile.Digest(d)])
		return
	}
	d := strings.TrimPrefix(path, "/chunks/")
	data := w.chunks[filbertstile.Digest(d)]
	w.bytes += int64(len(data))
	w.served++
	if w.corrupt > 0 && w.served%w.corrupt == 0 && len(data) > 0 {
		data = append([]byte(nil), data...)
		data[len(data)/2] ^= 1
	}
	w.answer(rc, data)
}

func (w *WeightStore) answer(rc *fasthttp.RequestCtx, data []byte) {
	if data == nil {
		rc.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	rc.SetContentType("application/octet-stream")
	rc.SetBody(data)
}
