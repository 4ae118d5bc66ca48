package fetcher_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/distributor"
	"filbertstile.example/filbertstile/shells/fetcher"
)

// stalledSource returns the manifest and no chunks.
type stalledSource struct{ raw []byte }

func (s stalledSource) Manifest(context.Context, filbertstile.Digest) ([]byte, error) {
	return s.raw, nil
}

func (stalledSource) Chunk(ctx context.Context, _ filbertstile.Digest) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestAddedChunksAreNotFetched guards against fetching chunks that the host already has.
// After a power loss, hosts found all chunks at their engine but continued to fetch them
// from other hosts.
func TestAddedChunksAreNotFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var m filbertstile.Manifest
		var data [][]byte
		for n := range 4 {
			data = append(data, fmt.Appendf(nil, "chunk %d", n))
			m.Chunks = append(m.Chunks, filbertstile.ChunkRef{Digest: filbertstile.DigestOf(data[n]), Size: len(data[n])})
		}
		digest := filbertstile.DigestOf(m.Encode())
		log := logrus.New()
		log.SetOutput(io.Discard)
		self := filbertstile.Member{Name: "h0", Region: "r0"}
		completed := make(chan struct{}, 1)
		f, err := fetcher.New(fetcher.Config{
			Self: self, Source: stalledSource{raw: m.Encode()}, Metrics: metrics.NewRegistry(), MemoryBytes: 1 << 20,
			Log:  reporter.New(reporter.Config{Logger: log}),
			Core: distributor.Config{Self: self, SourceRegion: "r0", Limits: distributor.DefaultLimits()},

			OnCompleted: func(distributor.Completed) { completed <- struct{}{} },
		})
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() { f.Run(ctx); close(stopped) }()
		defer func() { cancel(); <-stopped }()
		f.SetMembers(distributor.MembersChanged{Members: []filbertstile.Member{self}})
		f.SetWanted([]distributor.Want{{Release: "r", Manifest: digest}})
		time.Sleep(time.Second) // the manifest arrives, and chunks are requested from the source
		for n, ref := range m.Chunks {
			is.NoErr(f.AddChunk(digest, n, ref, data[n]))
		}
		time.Sleep(time.Second)
		is.Equal(len(completed), 1)
		is.True(f.AddChunk(digest, 0, m.Chunks[0], []byte("corrupt")) != nil)
	})
}

// TestFetchesOfDroppedReleaseEnd guards against fetches of a superseded release that keep the
// links busy.
func TestFetchesOfDroppedReleaseEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var m filbertstile.Manifest
		m.Chunks = append(m.Chunks, filbertstile.ChunkRef{Digest: "c", Size: 1})
		source := endingSource{stalledSource: stalledSource{raw: m.Encode()}, ended: make(chan struct{}, 9)}
		log := logrus.New()
		log.SetOutput(io.Discard)
		self := filbertstile.Member{Name: "h0", Region: "r0"}
		f, err := fetcher.New(fetcher.Config{
			Self: self, Source: source, Metrics: metrics.NewRegistry(), MemoryBytes: 1 << 20,
			Log:         reporter.New(reporter.Config{Logger: log}),
			Core:        distributor.Config{Self: self, SourceRegion: "r0", Limits: distributor.DefaultLimits()},
			OnCompleted: func(distributor.Completed) {},
		})
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() { f.Run(ctx); close(stopped) }()
		defer func() { cancel(); <-stopped }()
		f.SetMembers(distributor.MembersChanged{Members: []filbertstile.Member{self}})
		f.SetWanted([]distributor.Want{{Release: "r", Manifest: filbertstile.DigestOf(m.Encode())}})
		time.Sleep(time.Second) // the chunk is requested
		is.Equal(len(source.ended), 0)
		f.SetWanted(nil)
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(source.ended), 1)
	})
}

// endingSource is a stalledSource that records which requests for chunks have ended.
type endingSource struct {
	stalledSource
	ended chan struct{}
}

func (s endingSource) Chunk(ctx context.Context, d filbertstile.Digest) ([]byte, error) {
	defer func() { s.ended <- struct{}{} }()
	return s.stalledSource.Chunk(ctx, d)
}
