package peerrunner

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

// stagedEngine is an engine with staged chunks that is silent until a time.
type stagedEngine struct {
	filbertstile.Engine
	chunks      [][]byte
	silentUntil time.Time
}

func (e *stagedEngine) Staged(_ context.Context, _ string, n int) ([]byte, error) {
	if time.Now().Before(e.silentUntil) {
		time.Sleep(2 * time.Second)
		return nil, context.DeadlineExceeded
	}
	return e.chunks[n], nil
}

// TestStagedChunksOfSilentEngine guards against a host that transfers all chunks again, as its
// engine, which has them, was silent when it was asked.
func TestStagedChunksOfSilentEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		log := reporter.New(reporter.Config{Logger: logger})
		engine := &stagedEngine{silentUntil: time.Now().Add(2 * time.Second)}
		var m filbertstile.Manifest
		for n := range 4 {
			data := fmt.Appendf(nil, "chunk %d", n)
			engine.chunks = append(engine.chunks, data)
			m.Chunks = append(m.Chunks, filbertstile.ChunkRef{Digest: filbertstile.DigestOf(data), Size: len(data)})
		}
		digest := filbertstile.DigestOf(m.Encode())
		self := filbertstile.Member{Name: "h0", Region: "r0"}
		p := New(Config{Self: self, Engine: engine, Log: log})
		f, err := fetcher.New(fetcher.Config{
			Self: self, Source: p.weightSource, Metrics: metrics.NewRegistry(), MemoryBytes: 1 << 20, Log: log,
			Core:        distributor.Config{Self: self, SourceRegion: "r0", Limits: distributor.DefaultLimits()},
			OnCompleted: func(distributor.Completed) {},
		})
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() { f.Run(ctx); close(stopped) }()
		defer func() { cancel(); <-stopped }()
		w := filbertstile.WeightsVersion{Model: "m", Version: 1}
		p.weightSource.addManifest(w, digest, m)
		p.fetcher.Store(f)
		p.report.Store(&filbertstile.EngineReport{})
		f.SetMembers([]filbertstile.Member{self})
		f.SetWanted([]distributor.Want{{Release: "r", Manifest: digest}})
		for range 3 {
			p.addStagedChunks(ctx, w)
			time.Sleep(syncInterval)
		}
		_, _, held := f.ChunkStore().AllChunks(digest)
		is.True(held)
	})
}
