package peerrunner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/wire"
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
	// failingSince is when the first of the reads from the origin failed that have failed since the last
	// successful one; zero if that was the last one.
	failingSince time.Time
	// engine describes the engine that the weights are for.
	engine filbertstile.EngineSpec
	// versions are what is believed of the manifests of versions, including those that this
	// process does not have.
	versions       map[filbertstile.WeightsVersion]*believedManifest
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
		log: log, versions: make(map[filbertstile.WeightsVersion]*believedManifest),
		manifests: make(map[filbertstile.Digest]manifestRecord), chunkLocations: make(map[filbertstile.Digest]chunkLocation),
	}
}

func (s *weightSource) setOrigin(o filbertstile.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origin, s.failingSince = o, time.Time{}
}

// recordRead records whether a read from the origin has failed. One that this process has cancelled has
// not.
func (s *weightSource) recordRead(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.failingSince = time.Time{}
	case s.failingSince.IsZero():
		s.failingSince = time.Now()
	}
}

// failingFor returns how long all reads from the origin have failed; 0 if the last one succeeded.
func (s *weightSource) failingFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingSince.IsZero() {
		return 0
	}
	return time.Since(s.failingSince)
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
	s.recordRead(ctx, err)
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
	s.endDoubt(version)
	return version, digest, nil
}

func (s *weightSource) addManifest(w filbertstile.WeightsVersion, digest filbertstile.Digest, m filbertstile.Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.believed(w)
	switch v.digest {
	case "":
		v.digest = digest
	case digest:
	default:
		s.replaceManifest(w, v, digest, v.revision+1, originName)
	}
	v.addedAt = time.Now()
	s.manifests[digest] = manifestRecord{weights: w, manifest: m, document: m.Encode()}
	for i, c := range m.Chunks {
		s.chunkLocations[c.Digest] = chunkLocation{weights: w, index: i}
	}
}

// removeOlder removes the versions of the model before the given one, so that the
// tables stay bounded.
func (s *weightSource) removeOlder(model string, before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.versions {
		if w.Model == model && w.Version < before {
			delete(s.versions, w)
		}
	}
	for digest, r := range s.manifests {
		if r.weights.Model == model && r.weights.Version < before {
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
	if v := s.versions[w]; v != nil {
		return v.digest, true
	}
	return "", false
}

// hasManifest reports whether this process has the manifest itself, and not only its
// digest.
func (s *weightSource) hasManifest(w filbertstile.WeightsVersion) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[w]
	if v == nil {
		return false
	}
	_, ok := s.manifests[v.digest]
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

// addedWithin returns the versions whose manifests this process got, or must announce again, within the
// last d.
func (s *weightSource) addedWithin(d time.Duration) []*wire.WeightsVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*wire.WeightsVersion
	for w, v := range s.versions {
		if time.Since(v.addedAt) < d {
			out = append(out, &wire.WeightsVersion{Model: w.Model, Version: w.Version, Manifest: string(v.digest), ManifestRevision: v.revision})
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
	s.recordRead(ctx, err)
	if err != nil {
		return nil, err
	}
	if got := filbertstile.DigestOf(m.Encode()); got != digest {
		s.doubt(w)
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
	for w, v := range s.versions {
		if v.digest == digest {
			return w, nil, nil
		}
	}
	return filbertstile.WeightsVersion{}, nil, filbertstile.ErrNotFound{Step: "find manifest", Peer: originName, Key: string(digest)}
}

// addReceivedManifest adds a manifest that another host sent, so that its chunks can
// be read from the origin. It returns ErrManifest if it cannot be one of the engine's weights.
func (s *weightSource) addReceivedManifest(digest filbertstile.Digest, m filbertstile.Manifest, peer string) error {
	w, document, err := s.find(digest)
	if odd := s.check(m, peer); odd != nil {
		s.doubt(w)
		return odd
	}
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
	data, err := o.Chunk(ctx, location.weights, location.index)
	s.recordRead(ctx, err)
	var gone filbertstile.ErrVersionGone
	switch {
	case err == nil:
		s.recordChunk(location, digest, data)
	case errors.As(err, &gone):
		s.doubt(location.weights)
	}
	return data, err
}
