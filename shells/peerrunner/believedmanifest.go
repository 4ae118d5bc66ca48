package peerrunner

import (
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
)

const (
	// maxSameMisfits is the number of times in a row that the origin sends the same wrong content for
	// a chunk before its manifest is in doubt, and maxMisfits the same for any wrong content.
	maxSameMisfits = 2
	maxMisfits     = 4
	// minDoubtDelay and maxDoubtDelay bound the delay between two reads of a manifest in doubt, and
	// between two contradictions of another one.
	minDoubtDelay = 500 * time.Millisecond
	maxDoubtDelay = 8 * time.Second
)

// believedManifest is the manifest that a version is believed to have. A wrong one fits the
// configuration, but the origin's chunks don't fit it.
type believedManifest struct {
	digest filbertstile.Digest
	// revision is the number of manifests that were believed before. Of two manifests the one with the
	// higher revision counts, on all hosts and entries.
	revision uint32
	// replaced is the digest of the manifest whose chunks are held, until those that the two share belong
	// to the new one; empty if there is none.
	replaced filbertstile.Digest
	// addedAt is when this process got the manifest, or last had to contradict another process.
	addedAt time.Time
	// misfits are the chunks whose content at the origin did not match their digests, by index.
	misfits map[int]misfit
	// suspect is true if the manifest must be read again.
	suspect bool
	// checks delays the reads of the manifest in doubt, and contradictions.
	checks backoff
}

// misfit is what the origin has sent for a chunk in place of the content with its digest.
type misfit struct {
	got filbertstile.Digest
	// same is the number of times in a row that it was this content, and all that of any wrong content
	// since the last right one.
	same, all int
}

// believed returns what is believed of the version's manifest, which may be nothing yet. The caller holds s.mu.
func (s *weightSource) believed(w filbertstile.WeightsVersion) *believedManifest {
	v := s.versions[w]
	if v == nil {
		v = &believedManifest{checks: backoff{initial: minDoubtDelay, limit: maxDoubtDelay}}
		s.versions[w] = v
	}
	return v
}

// replaceManifest makes the version's manifest the one with the digest, which comes from the peer. The
// caller holds s.mu.
func (s *weightSource) replaceManifest(w filbertstile.WeightsVersion, v *believedManifest, digest filbertstile.Digest, revision uint32, peer string) {
	s.log.Event(reporter.ManifestReplaced, reporter.Fields{
		"Model": w.Model, "Version": w.Version, "Manifest": digest, "Replaced": v.digest, "Revision": revision, "Peer": peer,
	})
	if v.replaced == "" {
		v.replaced = v.digest
	}
	v.digest, v.revision, v.misfits, v.suspect = digest, revision, nil, false
}

// addDigest adds the digest of a manifest that another process believes in, and reports whether this
// changes what this process does. Proven reports whether all chunks of the version are held: a wrong
// digest fits no content.
func (s *weightSource) addDigest(w filbertstile.WeightsVersion, digest filbertstile.Digest, revision uint32, proven func() bool, peer string) bool {
	if digest == "" {
		return false
	}
	known, _ := s.digest(w)
	// Proven needs the lock.
	complete := known != "" && known != digest && proven()
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.believed(w)
	switch {
	case v.digest == "":
		v.digest, v.revision = digest, revision
		return true
	case v.digest == digest:
		v.revision = max(v.revision, revision)
		return false
	case revision < v.revision:
		if time.Since(v.addedAt) >= digestAnnouncePeriod {
			v.addedAt = time.Now()
		}
		return false
	case complete:
		if !v.checks.due() {
			return false
		}
		v.checks.fail()
		v.revision, v.addedAt = revision+1, time.Now()
		return true
	case revision > v.revision:
		s.replaceManifest(w, v, digest, revision, peer)
		return true
	}
	v.suspect = true
	return true
}

// doubt makes the version's manifest one to read again.
func (s *weightSource) doubt(w filbertstile.WeightsVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.versions[w]; v != nil {
		v.suspect = true
	}
}

// recordChunk records the content that the origin has sent for a chunk with the digest.
func (s *weightSource) recordChunk(at chunkLocation, digest filbertstile.Digest, data []byte) {
	got := filbertstile.DigestOf(data)
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.versions[at.weights]
	if v == nil {
		return
	}
	chunks := s.manifests[v.digest].manifest.Chunks
	if at.index >= len(chunks) || chunks[at.index].Digest != digest || len(data) != chunks[at.index].Size {
		return // it belongs to another manifest, or was cut off
	}
	if got == digest {
		delete(v.misfits, at.index)
		return
	}
	if v.misfits == nil {
		v.misfits = make(map[int]misfit)
	}
	m := v.misfits[at.index]
	if m.got != got {
		m.got, m.same = got, 0
	}
	m.same++
	m.all++
	v.misfits[at.index] = m
	if m.same >= maxSameMisfits || m.all >= maxMisfits {
		v.suspect = true
	}
}

// takeSuspect returns a version whose manifest must be read again now, and begins the delay until its
// next read.
func (s *weightSource) takeSuspect() (filbertstile.WeightsVersion, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w, v := range s.versions {
		if v.suspect && v.checks.due() {
			v.checks.fail()
			return w, true
		}
	}
	return filbertstile.WeightsVersion{}, false
}

// endDoubt records that the origin has the manifest that the version is believed to have.
func (s *weightSource) endDoubt(w filbertstile.WeightsVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.versions[w]; v != nil {
		v.suspect, v.misfits = false, nil
	}
}

// replaced returns the digest of the manifest that was believed before; empty if there is none.
func (s *weightSource) replaced(w filbertstile.WeightsVersion) filbertstile.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.versions[w]; v != nil {
		return v.replaced
	}
	return ""
}

// forgetReplaced forgets the manifest that was believed before.
func (s *weightSource) forgetReplaced(w filbertstile.WeightsVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.versions[w]; v != nil {
		if v.replaced != v.digest {
			delete(s.manifests, v.replaced)
		}
		v.replaced = ""
	}
}
