package peerrunner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/distributor"
	"filbertstile.example/filbertstile/shells/fetcher"
)

// doubtedVersion is the version whose manifest the tests doubt.
var doubtedVersion = filbertstile.WeightsVersion{Model: testModel, Version: 2}

// spoiltOrigin is an origin whose chunks have the given contents.
type spoiltOrigin struct {
	fakeOrigin
	contents [][]byte
}

func (o *spoiltOrigin) Chunk(_ context.Context, _ filbertstile.WeightsVersion, index int) ([]byte, error) {
	return o.contents[index], nil
}

// newSpoiltOrigin returns an origin with as many chunks, in whose manifest the digest of chunk 1 is
// wrong, and the sound manifest.
func newSpoiltOrigin(chunks int) (o *spoiltOrigin, sound filbertstile.Manifest) {
	o = &spoiltOrigin{}
	for n := range chunks {
		content := []byte{byte(n), 1, 2, 3, 4, 5, 6, 7}
		ref := filbertstile.ChunkRef{Digest: filbertstile.DigestOf(content), Size: len(content)}
		sound.Chunks = append(sound.Chunks, ref)
		if n == 1 {
			ref.Digest = filbertstile.DigestOf([]byte("other"))
		}
		o.contents, o.manifest.Chunks = append(o.contents, content), append(o.manifest.Chunks, ref)
	}
	return o, sound
}

func digestOf(m filbertstile.Manifest) filbertstile.Digest { return filbertstile.DigestOf(m.Encode()) }

// withSpoiltOrigin calls f with a host that has read the wrong manifest.
func withSpoiltOrigin(t *testing.T, f func(is *is.I, p *Peer, o *spoiltOrigin, sound filbertstile.Manifest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o, sound := newSpoiltOrigin(4)
		p := newManifestHost(o, func() filbertstile.Routing { return routingWithChunks(4, 8) })
		_, read, err := p.readManifest(t.Context(), doubtedVersion)
		is.NoErr(err)
		is.True(read)
		f(is, p, o, sound)
	})
}

// announced returns the digest and the revision that the host announces, if it does.
func announced(p *Peer) (digest filbertstile.Digest, revision uint32) {
	for _, w := range p.weightSource.addedWithin(digestAnnouncePeriod) {
		digest, revision = filbertstile.Digest(w.GetManifest()), w.GetManifestRevision()
	}
	return digest, revision
}

func isProven() bool    { return true }
func isNotProven() bool { return false }

// TestManifestInDoubtIsReadAgain guards against a manifest that a host keeps although a chunk of the
// origin never fits it, and against reading it without end if the origin keeps the wrong one.
func TestManifestInDoubtIsReadAgain(t *testing.T) {
	withSpoiltOrigin(t, func(is *is.I, p *Peer, o *spoiltOrigin, sound filbertstile.Manifest) {
		wrong, readsBefore := o.manifest, o.reads
		readChunk := func() {
			_, err := p.weightSource.Chunk(context.Background(), wrong.Chunks[1].Digest)
			is.NoErr(err)
			is.NoErr(p.checkManifests(context.Background()))
		}
		readChunk()
		is.Equal(o.reads, readsBefore) // the content may have been wrong
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			readChunk()
		}
		is.True(o.reads > readsBefore)
		is.True(o.reads-readsBefore <= 2*12) // twice after 0, 0.5, 1.5, 3.5, 7.5, 15.5 s, and every 8 s from then on
		o.manifest = sound
		time.Sleep(maxDoubtDelay)
		readChunk()
		digest, revision := announced(p)
		is.Equal(digest, digestOf(sound))
		is.Equal(revision, uint32(1))
		is.Equal(p.weightSource.cachedManifest(digest).Chunks, sound.Chunks)
	})
}

// TestOriginContradictsManifest guards against a digest that a host has heard of, that nobody has the
// manifest of any more, and that the origin's manifest doesn't have.
func TestOriginContradictsManifest(t *testing.T) {
	withSpoiltOrigin(t, func(is *is.I, p *Peer, o *spoiltOrigin, sound filbertstile.Manifest) {
		o.manifest = sound
		is.True(p.weightSource.addDigest(doubtedVersion, "heard", 7, isNotProven, "e1"))
		_, err := p.weightSource.Manifest(context.Background(), "heard")
		is.True(err != nil)
		is.NoErr(p.checkManifests(context.Background()))
		digest, revision := announced(p)
		is.Equal(digest, digestOf(sound))
		is.Equal(revision, uint32(8))
	})
}

// TestHostsAgreeOnManifest guards against hosts that keep different manifests of a version, of which all
// but one are wrong.
func TestHostsAgreeOnManifest(t *testing.T) {
	for name, c := range map[string]struct {
		revision uint32
		proven   func() bool
		// wantHeard is true if the host must take the heard digest, wantRead if it must ask the origin, and
		// wantRevision is the revision that it must announce then.
		wantHeard, wantRead bool
		wantRevision        uint32
	}{
		"Later":        {revision: 1, proven: isNotProven, wantHeard: true},
		"Same":         {revision: 0, proven: isNotProven, wantRead: true},
		"LaterIsWrong": {revision: 3, proven: isProven, wantRevision: 4},
		"SameIsWrong":  {revision: 0, proven: isProven, wantRevision: 1},
	} {
		t.Run(name, func(t *testing.T) {
			withSpoiltOrigin(t, func(is *is.I, p *Peer, o *spoiltOrigin, _ filbertstile.Manifest) {
				readsBefore := o.reads
				time.Sleep(2 * digestAnnouncePeriod)
				p.weightSource.addDigest(doubtedVersion, "heard", c.revision, c.proven, "e1")
				is.NoErr(p.checkManifests(context.Background()))
				digest, _ := p.weightSource.digest(doubtedVersion)
				is.Equal(digest == "heard", c.wantHeard)
				is.Equal(o.reads > readsBefore, c.wantRead)
				if c.wantRevision > 0 {
					_, revision := announced(p)
					is.Equal(revision, c.wantRevision)
					time.Sleep(2 * digestAnnouncePeriod)
					p.weightSource.addDigest(doubtedVersion, "heard", c.revision, c.proven, "e2") // it missed the contradiction
					_, revision = announced(p)
					is.Equal(revision, c.wantRevision)
				}
			})
		})
	}
}

// TestContradictionsAreFew guards against two hosts that contradict each other without a pause.
func TestContradictionsAreFew(t *testing.T) {
	withSpoiltOrigin(t, func(is *is.I, p *Peer, _ *spoiltOrigin, _ filbertstile.Manifest) {
		revision, contradictions := uint32(0), 0
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if p.weightSource.addDigest(doubtedVersion, "heard", revision, isProven, "e1") {
				contradictions++
				revision += 2
			}
		}
		is.True(contradictions > 0 && contradictions <= 12)
	})
}

// TestChunksOutliveTheirManifest guards against a host that gets all chunks again because one digest in
// the manifest was wrong.
func TestChunksOutliveTheirManifest(t *testing.T) {
	withSpoiltOrigin(t, func(is *is.I, p *Peer, o *spoiltOrigin, sound filbertstile.Manifest) {
		f, err := fetcher.New(fetcher.Config{
			Self: p.config.Self, Source: p.weightSource, Metrics: metrics.NewRegistry(), MemoryBytes: 1 << 20, Log: p.config.Log,
			Core:        distributor.Config{Self: p.config.Self, Limits: distributor.DefaultLimits()},
			OnCompleted: func(distributor.Completed) {},
		})
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() { f.Run(ctx); close(stopped) }()
		defer func() { cancel(); <-stopped }()
		p.fetcher.Store(f)
		hold := func() {
			f.SetWanted(p.versionsToHold(doubtedVersion))
			time.Sleep(syncInterval)
		}
		wrong := o.manifest
		hold()
		for _, n := range []int{0, 2, 3} {
			is.NoErr(f.AddChunk(digestOf(wrong), n, wrong.Chunks[n], o.contents[n]))
		}
		is.True(p.weightSource.addDigest(doubtedVersion, digestOf(sound), 1, isNotProven, "e1"))
		hold() // its manifest is not known yet
		is.NoErr(p.weightSource.addReceivedManifest(digestOf(sound), sound, "h1"))
		hold()
		hold()
		is.Equal(len(p.versionsToHold(doubtedVersion)), 1)
		is.Equal(f.ChunkStore().Manifest(digestOf(wrong)), nil)
		held, _ := f.ChunkStore().Held(digestOf(sound))
		is.Equal(held, []bool{true, false, true, true})
	})
}
