package peerrunner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/outside/tracker"
	"filbertstile.example/filbertstile/transport/pulser"
)

// testModel is the model of the tests of manifests.
const testModel = "m"

// fakeOrigin has one manifest for all versions, and counts its reads.
type fakeOrigin struct {
	filbertstile.Origin
	manifest filbertstile.Manifest
	reads    int
	// gone is true if it does not answer.
	gone bool
}

// errGone reports that nothing answers.
var errGone = errors.New("connection refused")

func (o *fakeOrigin) Manifest(_ context.Context, w filbertstile.WeightsVersion) (filbertstile.WeightsVersion, filbertstile.Manifest, error) {
	o.reads++
	if o.gone {
		return w, filbertstile.Manifest{}, errGone
	}
	return w, o.manifest, nil
}

func (o *fakeOrigin) Chunk(context.Context, filbertstile.WeightsVersion, int) ([]byte, error) {
	if o.gone {
		return nil, errGone
	}
	return nil, nil
}

// newManifest returns a manifest with chunks of the given size, whose contents differ if their sizes do.
func newManifest(chunks, size int) filbertstile.Manifest {
	var m filbertstile.Manifest
	for n := range chunks {
		m.Chunks = append(m.Chunks, filbertstile.ChunkRef{Digest: filbertstile.DigestOf(fmt.Append(nil, n, size)), Size: size})
	}
	return m
}

// newManifestHost returns a host without others whose configuration is the result of routing, and whose
// origin is o, whatever its address.
func newManifestHost(o filbertstile.Origin, routing func() filbertstile.Routing) *Peer {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := reporter.New(reporter.Config{Logger: logger})
	p := New(Config{
		Self: filbertstile.Member{Name: "h0", Service: testService}, Log: log, Origin: func(string) filbertstile.Origin { return o },
		Clock: func() time.Duration { return time.Hour },
	})
	members := tracker.New(tracker.Config[filbertstile.Member]{Log: log, Clock: p.config.Clock, OnChange: func() {}})
	p.sources = Sources{Members: members, Contacts: members, Routing: func(context.Context) (filbertstile.Routing, error) { return routing(), nil }}
	p.pulser = pulser.New(pulser.Config{Conn: newSilentConn(), Log: log})
	p.applyRouting(routing())
	return p
}

// routingWithChunks returns a configuration whose engine loads as many chunks of the size.
func routingWithChunks(chunks, size int) filbertstile.Routing {
	return filbertstile.Routing{Version: 1, Pools: filbertstile.NewTable(
		filbertstile.PoolSpec{Service: "o", Origin: "origin:1"},
		filbertstile.PoolSpec{Service: testService, Engine: &filbertstile.EngineSpec{Model: testModel, Chunks: chunks, ChunkBytes: size}},
	)}
}

// TestOddManifestIsNotBelieved guards against a manifest that does not fit the configuration, and
// against reading it again and again without a pause.
func TestOddManifestIsNotBelieved(t *testing.T) {
	for name, c := range map[string]struct {
		manifest filbertstile.Manifest
		field    string
	}{
		"NoChunks":   {newManifest(0, 8), "number of chunks"},
		"FewChunks":  {newManifest(3, 8), "number of chunks"},
		"ManyChunks": {newManifest(5, 8), "number of chunks"},
		"OtherSize":  {newManifest(4, 9), "chunk size"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := &fakeOrigin{manifest: c.manifest}
				p := newManifestHost(o, func() filbertstile.Routing { return routingWithChunks(4, 8) })
				w := filbertstile.WeightsVersion{Model: testModel, Version: 2}
				_, read, err := p.readManifest(t.Context(), w)
				var odd filbertstile.ErrManifest
				is.True(errors.As(err, &odd))
				is.Equal(odd.Field, c.field)
				is.Equal(odd.Peer, originName)
				is.True(!read)
				// Nor is it believed if another host sends it.
				digest := filbertstile.DigestOf(c.manifest.Encode())
				p.weightSource.addDigest(w, digest, 0, func() bool { return false }, "e0")
				is.True(errors.As(p.weightSource.addReceivedManifest(digest, c.manifest, "h1"), &odd))
				is.True(!p.weightSource.hasManifest(w))
				for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					_, _, _ = p.readManifest(t.Context(), w)
				}
				is.True(o.reads <= 9) // after 0, 0.25, 0.75, 1.75 s, and every 2 s from then on
				o.manifest = newManifest(4, 8)
				time.Sleep(maxManifestRetryDelay)
				_, read, err = p.readManifest(t.Context(), w)
				is.NoErr(err)
				is.True(read)
			})
		})
	}
}

// TestManifestOfChangedEngine guards against a host that refuses the manifests of an engine that
// operators have changed since it started.
func TestManifestOfChangedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		chunks := 4
		o := &fakeOrigin{manifest: newManifest(6, 8)}
		p := newManifestHost(o, func() filbertstile.Routing { return routingWithChunks(chunks, 8) })
		w := filbertstile.WeightsVersion{Model: testModel, Version: 2}
		_, read, err := p.readManifest(t.Context(), w)
		is.True(err != nil && !read)
		chunks = 6
		for end := time.Now().Add(2 * maxManifestRetryDelay); !read && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			_, read, _ = p.readManifest(t.Context(), w)
		}
		is.True(read)
	})
}

// TestMovedOriginIsFound guards against a host that asks for good the address at which the origin was
// when the host started.
func TestMovedOriginIsFound(t *testing.T) {
	for name, hasManifest := range map[string]bool{"ForManifest": false, "ForChunk": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				old, moved, address, configReads := &fakeOrigin{manifest: newManifest(4, 8)}, &fakeOrigin{manifest: newManifest(4, 8)}, "old:1", 0
				routing := func() filbertstile.Routing {
					configReads++
					r := routingWithChunks(4, 8)
					r.Pools = r.Pools.With(filbertstile.PoolSpec{Service: "o", Origin: address})
					return r
				}
				p := newManifestHost(nil, routing)
				p.config.Origin = func(address string) filbertstile.Origin {
					return map[string]filbertstile.Origin{"old:1": old, "new:1": moved}[address]
				}
				p.originAddress = ""
				p.applyRouting(routing())
				w := filbertstile.WeightsVersion{Model: testModel, Version: 2}
				if hasManifest {
					_, read, _ := p.readManifest(t.Context(), w)
					is.True(read)
				}
				read := func() error {
					p.findOrigin(t.Context())
					if hasManifest {
						_, err := p.weightSource.Chunk(t.Context(), old.manifest.Chunks[0].Digest)
						return err
					}
					_, _, err := p.readManifest(t.Context(), w)
					return err
				}
				old.gone, configReads = true, 0
				for end := time.Now().Add(10 * time.Minute); time.Now().Before(end); time.Sleep(syncInterval) {
					is.True(read() != nil)
				}
				is.True(configReads >= 5 && configReads <= 10) // after 8, 16, 32, 64 s, and every 2 minutes from then on
				address = "new:1"
				for end := time.Now().Add(maxOriginReadDelay + time.Second); read() != nil; time.Sleep(syncInterval) {
					if time.Now().After(end) {
						t.Fatal("the origin is not found")
					}
				}
			})
		})
	}
}
