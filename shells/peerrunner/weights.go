package peerrunner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
)

// keptVersions is the number of versions whose chunks a host keeps: the one
// that replicas run and two that may be on their way.
const keptVersions = 3

// library knows the manifests of versions, and reads what the host lacks from
// the origin. It is the source that the fetcher asks.
type library struct {
	log *reporter.Log

	mu       sync.Mutex
	origin   filbertstile.Origin
	versions map[filbertstile.WeightsVersion]filbertstile.Digest
	// learned is when this process read a manifest itself.
	learned map[filbertstile.WeightsVersion]time.Time
	docs    map[filbertstile.Digest]document
	chunks  map[filbertstile.Digest]place
}

type document struct {
	weights  filbertstile.WeightsVersion
	manifest filbertstile.Manifest
	raw      []byte
}

// place is where the origin has a chunk.
type place struct {
	weights filbertstile.WeightsVersion
	index   int
}

func newLibrary(log *reporter.Log) *library {
	return &library{
		log: log, versions: make(map[filbertstile.WeightsVersion]filbertstile.Digest),
		learned: make(map[filbertstile.WeightsVersion]time.Time),
		docs:    make(map[filbertstile.Digest]document), chunks: make(map[filbertstile.Digest]place),
	}
}

func (l *library) setOrigin(o filbertstile.Origin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.origin = o
}

func (l *library) source() (filbertstile.Origin, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.origin == nil {
		return nil, fmt.Errorf("ask the origin: its address is not known yet")
	}
	return l.origin, nil
}

// learn reads the manifest of a version from the origin, twice, as nothing else
// tells a corrupted list of digests; version 0 is the newest.
func (l *library) learn(ctx context.Context, w filbertstile.WeightsVersion) (filbertstile.WeightsVersion, filbertstile.Digest, error) {
	o, err := l.source()
	if err != nil {
		return w, "", err
	}
	named, m, err := o.Manifest(ctx, w)
	if err != nil {
		return w, "", err
	}
	again, m2, err := o.Manifest(ctx, named)
	if err != nil {
		return w, "", err
	}
	digest := filbertstile.DigestOf(m.Encode())
	if other := filbertstile.DigestOf(m2.Encode()); named != again || digest != other {
		return w, "", filbertstile.ErrDigest{Step: "read manifest twice", Peer: "origin", Want: digest, Got: other}
	}
	l.add(named, digest, m)
	return named, digest, nil
}

func (l *library) add(w filbertstile.WeightsVersion, digest filbertstile.Digest, m filbertstile.Manifest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions[w] = digest
	l.learned[w] = time.Now()
	l.docs[digest] = document{weights: w, manifest: m, raw: m.Encode()}
	for i, c := range m.Chunks {
		l.chunks[c.Digest] = place{weights: w, index: i}
	}
}

// hear takes in the digest of a manifest that another process has read.
func (l *library) hear(w filbertstile.WeightsVersion, digest filbertstile.Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.versions[w]; !ok && digest != "" {
		l.versions[w] = digest
	}
}

// forget drops what has become old, so that the tables stay bounded.
func (l *library) forget(model string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w, digest := range l.versions {
		if w.Model == model && w.Version < before {
			delete(l.versions, w)
			delete(l.learned, w)
			delete(l.docs, digest)
		}
	}
	for digest, p := range l.chunks {
		if p.weights.Model == model && p.weights.Version < before {
			delete(l.chunks, digest)
		}
	}
}

func (l *library) digest(w filbertstile.WeightsVersion) (filbertstile.Digest, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := l.versions[w]
	return d, ok
}

// read tells whether this process has the manifest itself.
func (l *library) read(w filbertstile.WeightsVersion) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.docs[l.versions[w]]
	return ok
}

// document returns a manifest that this process has.
func (l *library) document(digest filbertstile.Digest) *filbertstile.Manifest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d, ok := l.docs[digest]; ok {
		return &d.manifest
	}
	return nil
}

// fresh returns the versions whose manifests became known within the time.
func (l *library) fresh(within time.Duration) map[filbertstile.WeightsVersion]filbertstile.Digest {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[filbertstile.WeightsVersion]filbertstile.Digest)
	for w, d := range l.versions {
		if time.Since(l.learned[w]) < within {
			out[w] = d
		}
	}
	return out
}

// Manifest returns a manifest's document; where only its digest is known, it is
// read from the origin and checked against that.
func (l *library) Manifest(ctx context.Context, digest filbertstile.Digest) ([]byte, error) {
	w, raw, err := l.find(digest)
	if raw != nil || err != nil {
		return raw, err
	}
	o, err := l.source()
	if err != nil {
		return nil, err
	}
	_, m, err := o.Manifest(ctx, w)
	if err != nil {
		return nil, err
	}
	if got := filbertstile.DigestOf(m.Encode()); got != digest {
		return nil, filbertstile.ErrDigest{Step: "read manifest", Peer: "origin", Want: digest, Got: got}
	}
	l.add(w, digest, m)
	return m.Encode(), nil
}

// find returns the document if this process has it, or else the version that
// the digest stands for.
func (l *library) find(digest filbertstile.Digest) (filbertstile.WeightsVersion, []byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d, ok := l.docs[digest]; ok {
		return d.weights, d.raw, nil
	}
	for w, d := range l.versions {
		if d == digest {
			return w, nil, nil
		}
	}
	return filbertstile.WeightsVersion{}, nil, filbertstile.ErrNotFound{Step: "find manifest", Peer: "origin", Key: string(digest)}
}

// take keeps a manifest that came from another host, so that its chunks can be
// asked for at the origin.
func (l *library) take(digest filbertstile.Digest, m filbertstile.Manifest) {
	w, raw, err := l.find(digest)
	if err == nil && raw == nil {
		l.add(w, digest, m)
	}
}

// Chunk reads a chunk from the origin.
func (l *library) Chunk(ctx context.Context, digest filbertstile.Digest) ([]byte, error) {
	o, err := l.source()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	p, ok := l.chunks[digest]
	l.mu.Unlock()
	if !ok {
		return nil, filbertstile.ErrNotFound{Step: "find chunk", Peer: "origin", Key: string(digest)}
	}
	return o.Chunk(ctx, p.weights, p.index)
}
