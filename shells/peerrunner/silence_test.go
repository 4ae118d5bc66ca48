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
	if e.chunks[n] == nil {
		return nil, filbertstile.ErrNotFound{}
	}
	return e.chunks[n], nil
}

// TestStagedChunksWithGaps guards against a host that transfers chunks which its engine has,
// because an earlier one is missing or of another version there.
func TestStagedChunksWithGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		testStagedChunks(t, 0, func(e *stagedEngine) { e.chunks[0], e.chunks[2] = nil, []byte("other version") }, []bool{false, true, false, true})
	})
}

// TestStagedChunksOfSilentEngine guards against a host that transfers all chunks again, as its
// engine, which has them, was silent when it was asked.
func TestStagedChunksOfSilentEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		testStagedChunks(t, 2*time.Second, func(*stagedEngine) {}, []bool{true, true, true, true})
	})
}

// testStagedChunks starts a host whose engine is silent at first, and then has the chunks that
// remain after the change. It must hold the wanted ones.
func testStagedChunks(t *testing.T, silent time.Duration, change func(e *stagedEngine), want []bool) {
	t.Helper()
	is := is.New(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := reporter.New(reporter.Config{Logger: logger})
	engine := &stagedEngine{silentUntil: time.Now().Add(silent)}
	var m filbertstile.Manifest
	for n := range 4 {
		data := fmt.Appendf(nil, "chunk %d", n)
		engine.chunks = append(engine.chunks, data)
		m.Chunks = append(m.Chunks, filbertstile.ChunkRef{Digest: filbertstile.DigestOf(data), Size: len(data)})
	}
	change(engine)
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
	f.SetMembers(distributor.MembersChanged{Members: []filbertstile.Member{self}})
	f.SetWanted([]distributor.Want{{Release: "r", Manifest: digest}})
	for range 3 {
		p.addStagedChunks(ctx, w)
		time.Sleep(syncInterval)
	}
	held, _ := f.ChunkStore().Held(digest)
	is.Equal(held, want)
}
