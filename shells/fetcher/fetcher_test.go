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

// slowSource knows the manifest and never gives a chunk.
type slowSource struct{ raw []byte }

func (s slowSource) Manifest(context.Context, filbertstile.Digest) ([]byte, error) { return s.raw, nil }

func (slowSource) Chunk(ctx context.Context, _ filbertstile.Digest) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestAddedChunksAreNotFetched is for hosts that found all chunks beside their
// engine after a power loss and went on fetching them from others.
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
		done := make(chan struct{}, 1)
		f, err := fetcher.New(fetcher.Config{
			Self: self, Source: slowSource{raw: m.Encode()}, Metrics: metrics.NewRegistry(), MemoryBytes: 1 << 20,
			Log:  reporter.New(reporter.Config{Logger: log}),
			Core: distributor.Config{Self: self, SourceRegion: "r0", Limits: distributor.DefaultLimits()},

			Completed: func(distributor.Completed) { done <- struct{}{} },
		})
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { f.Run(ctx); close(ended) }()
		defer func() { cancel(); <-ended }()
		f.SetMembers([]filbertstile.Member{self})
		f.SetWanted([]distributor.Want{{Release: "r", Manifest: digest}})
		time.Sleep(time.Second) // the manifest is here, and chunks are asked of the source
		for n, ref := range m.Chunks {
			is.NoErr(f.Add(digest, n, ref, data[n]))
		}
		time.Sleep(time.Second)
		is.Equal(len(done), 1)
		is.True(f.Add(digest, 0, m.Chunks[0], []byte("spoilt")) != nil)
	})
}
