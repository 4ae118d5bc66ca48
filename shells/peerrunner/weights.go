package peerrunner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
)

// keptVersions is the number of versions whose chunks a host keeps: the one that
// replicas run and two that may be in rollout.
const keptVersions = 3

// originName is the name of the origin in errors.
const originName = "origin"

// weightSource is the source that the fetcher reads from. It knows the manifests of
// versions, and reads from the origin what other hosts do not provide.
type weightSource struct {
	log *reporter.Log

	mu     sync.Mutex
	origin filbertstile.Origin
	// engine describes the engine that the weights are for.
	engine filbertstile.EngineSpec
	// digests are the digests of the versions' manifests, including those of manifests
	// that this process does not have.
	digests map[filbertstile.WeightsVersion]filbertstile.Digest
	// addedAt is when this process got the manifest of a version.
	addedAt        map[filbertstile.WeightsVersion]time.Time
	manifests      map[filbertstile.Digest]manifestRecord
	chunkLocations map[filbertstile.Digest]chunkLocation
}

// manifestRecord is a manifest that this process has, with its document.
type manifestRecord struct {
	weights  filbertstile.WeightsVersion
	manifest filbertstile.Manifest
	document []byte
}

// chunkLocation is where the origin has a chunk.
type chunkLocation struct {
	weights filbertstile.WeightsVersion
	index   int
}

func newWeightSource(log *reporter.Log) *weightSource {
	return &weightSource{
		log: log, digests: make(map[filbertstile.WeightsVersion]filbertstile.Digest),
		addedAt:   make(map[filbertstile.WeightsVersion]time.Time),
		manifests: make(map[filbertstile.Digest]manifestRecord), chunkLocations: make(map[filbertstile.Digest]chunkLocation),
	}
}

func (s *weightSource) setOrigin(o filbertstile.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origin = o
}

// setEngine sets the engine that the weights are for.
func (s *weightSource) setEngine(engine filbertstile.EngineSpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine = engine
}

// check returns ErrManifest if the manifest from the peer cannot be one of the engine's weights.
func (s *weightSource) check(m filbertstile.Manifest, peer string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.engine.CheckManifest(m)
	var odd filbertstile.ErrManifest
	if errors.As(err, &odd) {
		odd.Step, odd.Peer = "check manifest", peer
		return odd
	}
	return err
}

// originClient returns the client of the origin, or an error until setOrigin is
// called.
func (s *weightSource) originClient() (filbertstile.Origin, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.origin == nil {
		return nil, fmt.Errorf("ask the origin: its address is not known yet")
	}
	return s.origin, nil
}

// readManifest reads the manifest of a version from the origin, or that of the newest
// version if the version is 0. It reads the manifest twice, as nothing else reveals a
// corrupted list of digests.
func (s *weightSource) readManifest(ctx context.Context, w filbertstile.WeightsVersion) (filbertstile.WeightsVersion, filbertstile.Digest, error) {
	o, err := s.originClient()
	if err != nil {
		return w, "", err
	}
	version, m, err := o.Manifest(ctx, w)
	if err != nil {
		return w, "", err
	}
	if err := s.check(m, originName); err != nil {
		return w, "", err
	}
	version2, m2, err := o.Manifest(ctx, version)
	if err != nil {
		return w, "", err
	}
	digest := filbertstile.DigestOf(m.Encode())
	if digest2 := filbertstile.DigestOf(m2.Encode()); version != version2 || digest != digest2 {
		return w, "", filbertstile.ErrDigest{Step: "read manifest twice", Peer: originName, Want: digest, Got: digest2}
	}
	s.addManifest(version, digest, m)
	return version, digest, nil
}

func (s *weightSource) addManifest(w filbertstile.WeightsVersion, digest filbertstile.Digest, m filbertstile.Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.digests[w] = digest
	s.addedAt[w] = time.Now()
	s.manifests[digest] = manifestRecord{weights: w, manifest: m, document: m.Encode()}
	for i, c := range m.Chunks {
		s.chunkLocations[c.Digest] = chunkLocation{weights: w, index: i}
	}
}

// addDigest adds the digest of a manifest that another process has read, and reports
// whether it was unknown.
func (s *weightSource) addDigest(w filbertstile.WeightsVersion, digest filbertstile.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.digests[w]; ok || digest == "" {
		return false
	}
	s.digests[w] = digest
	return true
}

// removeOlder removes the versions of the model before the given one, so that the
// tables stay bounded.
func (s *weightSource) removeOlder(model string, before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w, digest := range s.digests {
		if w.Model == model && w.Version < before {
			delete(s.digests, w)
			delete(s.addedAt, w)
			delete(s.manifests, digest)
		}
	}
	for digest, location := range s.chunkLocations {
		if location.weights.Model == model && location.weights.Version < before {
			delete(s.chunkLocations, digest)
		}
	}
}

func (s *weightSource) digest(w filbertstile.WeightsVersion) (filbertstile.Digest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.digests[w]
	return d, ok
}

// hasManifest reports whether this process has the manifest itself, and not only its
// digest.
func (s *weightSource) hasManifest(w filbertstile.WeightsVersion) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.manifests[s.digests[w]]
	return ok
}

// cachedManifest returns the manifest with the digest, or nil if this process does not
// have it.
func (s *weightSource) cachedManifest(digest filbertstile.Digest) *filbertstile.Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, ok := s.manifests[digest]; ok {
		return &d.manifest
	}
	return nil
}

// addedWithin returns the versions whose manifests this process got within the last d,
// and their digests.
func (s *weightSource) addedWithin(d time.Duration) map[filbertstile.WeightsVersion]filbertstile.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[filbertstile.WeightsVersion]filbertstile.Digest)
	for w, digest := range s.digests {
		if time.Since(s.addedAt[w]) < d {
			out[w] = digest
		}
	}
	return out
}

// Manifest returns the manifest document with the digest. If this process does not
// have it, Manifest reads it from the origin and verifies the digest.
func (s *weightSource) Manifest(ctx context.Context, digest filbertstile.Digest) ([]byte, error) {
	w, document, err := s.find(digest)
	if document != nil || err != nil {
		return document, err
	}
	o, err := s.originClient()
	if err != nil {
		return nil, err
	}
	_, m, err := o.Manifest(ctx, w)
	if err != nil {
		return nil, err
	}
	if got := filbertstile.DigestOf(m.Encode()); got != digest {
		return nil, filbertstile.ErrDigest{Step: "read manifest", Peer: originName, Want: digest, Got: got}
	}
	if err := s.check(m, originName); err != nil {
		return nil, err
	}
	s.addManifest(w, digest, m)
	return m.Encode(), nil
}

// find returns the document with the digest and its version. The document is nil if
// this process has only the digest.
func (s *weightSource) find(digest filbertstile.Digest) (filbertstile.WeightsVersion, []byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, ok := s.manifests[digest]; ok {
		return d.weights, d.document, nil
	}
	for w, d := range s.digests {
		if d == digest {
			return w, nil, nil
		}
	}
	return filbertstile.WeightsVersion{}, nil, filbertstile.ErrNotFound{Step: "find manifest", Peer: originName, Key: string(digest)}
}

// addReceivedManifest adds a manifest that another host sent, so that its chunks can
// be read from the origin. It returns ErrManifest if it cannot be one of the engine's weights.
func (s *weightSource) addReceivedManifest(digest filbertstile.Digest, m filbertstile.Manifest, peer string) error {
	if err := s.check(m, peer); err != nil {
		return err
	}
	w, document, err := s.find(digest)
	if err == nil && document == nil {
		s.addManifest(w, digest, m)
	}
	return nil
}

// Chunk reads a chunk from the origin.
func (s *weightSource) Chunk(ctx context.Context, digest filbertstile.Digest) ([]byte, error) {
	o, err := s.originClient()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	location, ok := s.chunkLocations[digest]
	s.mu.Unlock()
	if !ok {
		return nil, filbertstile.ErrNotFound{Step: "find chunk", Peer: originName, Key: string(digest)}
	}
	return o.Chunk(ctx, location.weights, location.index)
}
