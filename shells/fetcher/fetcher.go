package fetcher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/ticker"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/distributor"
	"filbertstile.example/filbertstile/transport/messenger"
)

const (
	idleTick       = 5 * time.Millisecond
	pieceBytes     = 4 << 10
	followPause    = 200 * time.Millisecond
	manifestWait   = 5 * time.Second
	holdingPause   = 2 * time.Millisecond
	manifestPoll   = 20 * time.Millisecond
	codeBusy       = "Busy"
	codeNotHeld    = "NotHeld"
	defaultUploads = 3
	// abroadUploads are kept for importers of other regions, whose link must
	// not idle while the region itself is being served.
	abroadUploads = 3
	fetchPool     = 64
	// paceBurst is what may be sent at once, in bytes: a chunk of usual size.
	paceBurst = 32 << 10
)

// Config puts a fetcher together.
type Config struct {
	Self   filbertstile.Member
	Core   distributor.Config
	Client *messenger.Client
	Source filbertstile.WeightSource
	Log    *reporter.Log
	// MemoryBytes bounds the chunks held.
	MemoryBytes int64
	// Uploads bounds the chunks that are sent at the same time.
	Uploads int
	// UploadBytesPerSecond bounds what is sent to other hosts, so that their data
	// waits here and not in the link's queue, before requests and heartbeats; 0
	// is no bound.
	UploadBytesPerSecond float64
	Metrics              metrics.Registry
	// Learned is told of each manifest that came, before its chunks are fetched.
	Learned func(digest filbertstile.Digest, m filbertstile.Manifest)
	// Completed is told when a release is whole; it must not block.
	Completed func(distributor.Completed)
}

// Fetcher carries out the distributor's commands.
type Fetcher struct {
	config  Config
	shelf   *Shelf
	loop    *ticker.Loop[distributor.Event, distributor.Command]
	core    *distributor.Core
	pool    *ants.Pool
	uploads chan struct{}
	abroad  chan struct{}
	pace    *rate.Limiter
	ctx     context.Context
	wg      sync.WaitGroup

	mu      sync.Mutex
	follows map[followKey]context.CancelFunc

	fetched  metrics.Counter
	imported metrics.Counter
	sourced  metrics.Counter
}

type followKey struct {
	manifest filbertstile.Digest
	peer     string
}

// New returns a fetcher that does not run yet.
func New(c Config) (*Fetcher, error) {
	if c.Uploads == 0 {
		c.Uploads = defaultUploads
	}
	pool, err := ants.NewPool(fetchPool, ants.WithDisablePurge(true))
	if err != nil {
		return nil, fmt.Errorf("create fetch pool: %w", err)
	}
	t := &Fetcher{
		config:   c,
		shelf:    NewShelf(c.MemoryBytes),
		core:     distributor.New(c.Core),
		pool:     pool,
		uploads:  make(chan struct{}, c.Uploads),
		abroad:   make(chan struct{}, abroadUploads),
		follows:  make(map[followKey]context.CancelFunc),
		fetched:  metrics.NewRegisteredCounter("Weights.PeerBytes", c.Metrics),
		imported: metrics.NewRegisteredCounter("Weights.ImportedBytes", c.Metrics),
		sourced:  metrics.NewRegisteredCounter("Weights.SourceBytes", c.Metrics),
	}
	t.pace = rate.NewLimiter(rate.Inf, 0)
	if c.UploadBytesPerSecond > 0 {
		t.pace = rate.NewLimiter(rate.Limit(c.UploadBytesPerSecond), paceBurst)
	}
	t.loop = ticker.New(ticker.Config[distributor.Event, distributor.Command]{Core: t.core, Execute: t.execute, IdleInterval: idleTick})
	return t, nil
}

// Shelf returns the weights that the host holds.
func (t *Fetcher) Shelf() *Shelf { return t.shelf }

// Run carries out transfers until the context ends.
func (t *Fetcher) Run(ctx context.Context) {
	t.ctx = ctx
	t.loop.Run(ctx)
	t.wg.Wait()
	t.pool.Release()
}

// SetWanted says which releases the host should hold, most urgent first.
func (t *Fetcher) SetWanted(wants []distributor.Want) {
	t.loop.Post(distributor.WantedChanged{Wants: wants})
}

// SetMembers says which hosts run the same service.
func (t *Fetcher) SetMembers(members []filbertstile.Member) {
	t.loop.Post(distributor.MembersChanged{Members: members})
}

// Add takes in a chunk that the host has found in its own keeping, so that it is
// neither fetched nor waited for.
func (t *Fetcher) Add(manifest filbertstile.Digest, index int, ref filbertstile.ChunkRef, data []byte) error {
	if err := t.shelf.AddChunk(ref, data, t.config.Self.Name); err != nil {
		return err
	}
	t.loop.Post(distributor.ChunkArrived{Manifest: manifest, Index: index, Peer: t.config.Self.Name})
	return nil
}

// Progress returns the state of all transfers.
func (t *Fetcher) Progress() []distributor.Progress {
	var out []distributor.Progress
	t.loop.Inspect(func() { out = t.core.Progress() })
	return out
}

func (t *Fetcher) execute(cmd distributor.Command) {
	switch cmd := cmd.(type) {
	case distributor.FetchManifest:
		t.config.Log.Event(reporter.TransferStarted, reporter.Fields{"Manifest": cmd.Digest, "Peer": cmd.Peer.Name})
		t.submit(func() { t.fetchManifest(cmd) }, distributor.ManifestFailed{Digest: cmd.Digest, Peer: cmd.Peer.Name})
	case distributor.FetchChunk:
		lost := distributor.ChunkFailed{Manifest: cmd.Manifest, Index: cmd.Index, Peer: cmd.Peer.Name, Failure: distributor.FailedLost}
		t.submit(func() { t.fetchChunk(cmd) }, lost)
	case distributor.Subscribe:
		t.follow(cmd)
	case distributor.Unsubscribe:
		t.unfollow(followKey{manifest: cmd.Manifest, peer: cmd.Peer})
	case distributor.Completed:
		t.config.Log.Event(reporter.TransferDone, reporter.Fields{"Release": cmd.Release})
		t.config.Completed(cmd)
	case distributor.Drop:
		t.shelf.Drop(cmd.Manifest)
	}
}

// submit runs the task on the pool; where the pool is gone, the task failed.
func (t *Fetcher) submit(task func(), failed distributor.Event) {
	t.wg.Add(1)
	err := t.pool.Submit(func() {
		defer t.wg.Done()
		task()
	})
	if err != nil {
		t.wg.Done()
		t.wg.Go(func() { t.loop.Post(failed) })
	}
}

func (t *Fetcher) fetchManifest(cmd distributor.FetchManifest) {
	ctx, cancel := context.WithTimeout(t.ctx, manifestWait)
	defer cancel()
	raw, err := t.manifestFrom(ctx, cmd)
	var m filbertstile.Manifest
	if err == nil {
		m, err = filbertstile.ParseManifest(cmd.Digest, raw)
	}
	if err != nil {
		t.config.Log.Event(reporter.SourceFailed, reporter.Fields{"Manifest": cmd.Digest, "Peer": cmd.Peer.Name, "Error": err})
		t.loop.Post(distributor.ManifestFailed{Digest: cmd.Digest, Peer: cmd.Peer.Name})
		return
	}
	if t.config.Learned != nil {
		t.config.Learned(cmd.Digest, m)
	}
	held := t.shelf.AddManifest(cmd.Digest, raw, m)
	t.loop.Post(distributor.ManifestArrived{Digest: cmd.Digest, Manifest: m, Held: held})
}

func (t *Fetcher) manifestFrom(ctx context.Context, cmd distributor.FetchManifest) ([]byte, error) {
	if cmd.Peer.Name == "" {
		return t.config.Source.Manifest(ctx, cmd.Digest)
	}
	return t.ask(ctx, cmd.Peer, cmd.Digest)
}

func (t *Fetcher) fetchChunk(cmd distributor.FetchChunk) {
	ctx, cancel := context.WithTimeout(t.ctx, cmd.Timeout)
	defer cancel()
	data, err := t.chunkFrom(ctx, cmd)
	if err == nil {
		err = t.shelf.AddChunk(cmd.Ref, data, cmd.Peer.Name)
	}
	if err != nil {
		t.loop.Post(t.failure(cmd, err))
		return
	}
	t.count(cmd, len(data))
	t.loop.Post(distributor.ChunkArrived{Manifest: cmd.Manifest, Index: cmd.Index, Peer: cmd.Peer.Name})
}

func (t *Fetcher) chunkFrom(ctx context.Context, cmd distributor.FetchChunk) ([]byte, error) {
	if cmd.Peer.Name == "" {
		return t.config.Source.Chunk(ctx, cmd.Ref.Digest)
	}
	return t.ask(ctx, cmd.Peer, cmd.Ref.Digest)
}

func (t *Fetcher) count(cmd distributor.FetchChunk, n int) {
	switch {
	case cmd.Peer.Name == "":
		t.sourced.Inc(int64(n))
	case cmd.Peer.Region != t.config.Self.Region:
		t.imported.Inc(int64(n))
	default:
		t.fetched.Inc(int64(n))
	}
}

func (t *Fetcher) failure(cmd distributor.FetchChunk, err error) distributor.ChunkFailed {
	out := distributor.ChunkFailed{Manifest: cmd.Manifest, Index: cmd.Index, Peer: cmd.Peer.Name, Failure: distributor.FailedLost}
	var refused messenger.ErrRefused
	var bad filbertstile.ErrDigest
	switch {
	case errors.As(err, &refused) && refused.Code == codeBusy:
		out.Failure = distributor.FailedBusy
	case errors.As(err, &bad):
		out.Failure = distributor.FailedCorrupt
		t.config.Log.Event(reporter.ChunkRefused, reporter.Fields{"Peer": cmd.Peer.Name, "Error": err})
		if cmd.Peer.Name != "" {
			t.config.Log.Event(reporter.PeerSetAside, reporter.Fields{"Peer": cmd.Peer.Name})
		}
	}
	return out
}

// ask gets content by digest from a peer.
func (t *Fetcher) ask(ctx context.Context, peer filbertstile.Member, digest filbertstile.Digest) ([]byte, error) {
	s, err := t.config.Client.Open(ctx, peer.Address, &wire.Request{
		Id:   t.config.Client.NextID(),
		Kind: &wire.Request_Chunk{Chunk: &wire.Chunk{Digest: string(digest), AcrossRegions: peer.Region != t.config.Self.Region}},
	})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	return s.ReceiveContent()
}

// HandleChunk sends a chunk or a manifest, if a slot is free.
func (t *Fetcher) HandleChunk(ctx context.Context, req *wire.Request, s *messenger.Stream) {
	digest := filbertstile.Digest(req.GetChunk().GetDigest())
	if doc := t.shelf.Manifest(digest); doc != nil {
		_ = s.SendContent(doc, pieceBytes)
		return
	}
	data := t.shelf.Chunk(digest)
	if data == nil {
		_ = s.Send(refusal(codeNotHeld))
		return
	}
	slots := t.uploads
	if req.GetChunk().GetAcrossRegions() {
		slots = t.abroad
	}
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		_ = s.Send(refusal(codeBusy))
		return
	}
	if t.pace.WaitN(ctx, min(len(data), paceBurst)) != nil {
		return
	}
	_ = s.SendContent(data, pieceBytes)
}

func refusal(code string) *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_Refusal{Refusal: &wire.Refusal{Code: code, Run: string(filbertstile.NotRun)}}}
}

// HandleHoldings tells a peer which chunks are held, now and as more come.
func (t *Fetcher) HandleHoldings(ctx context.Context, req *wire.Request, s *messenger.Stream) {
	digest := filbertstile.Digest(req.GetHoldings().GetManifest())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.wg.Go(func() {
		// The peer sends nothing: this ends when it goes away.
		_, _ = s.Receive()
		cancel()
	})
	var told []bool
	for {
		held, changed := t.shelf.Held(digest)
		if held == nil {
			if sleeper.Sleep(ctx, manifestPoll) != nil {
				return
			}
			continue
		}
		if s.Send(&wire.Frame{Kind: &wire.Frame_Holding{Holding: news(told, held)}}) != nil {
			return
		}
		told = held
		// Chunks that come together are told together.
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		if sleeper.Sleep(ctx, holdingPause) != nil {
			return
		}
	}
}

// news returns the chunks that were not told yet; the first time, all as a
// bitmap.
func news(told, held []bool) *wire.Holding {
	if told == nil {
		bitmap := make([]byte, (len(held)+7)/8)
		for i, h := range held {
			if h {
				bitmap[i/8] |= 1 << (i % 8)
			}
		}
		return &wire.Holding{Bitmap: bitmap}
	}
	var added []uint32
	for i, h := range held {
		if h && !told[i] {
			added = append(added, uint32(i))
		}
	}
	return &wire.Holding{Added: added}
}

func (t *Fetcher) follow(cmd distributor.Subscribe) {
	ctx, cancel := context.WithCancel(t.ctx)
	key := followKey{manifest: cmd.Manifest, peer: cmd.Peer.Name}
	t.mu.Lock()
	t.follows[key] = cancel
	t.mu.Unlock()
	t.wg.Go(func() {
		for ctx.Err() == nil {
			_ = t.followOnce(ctx, cmd)
			t.loop.Post(distributor.PeerLost{Peer: cmd.Peer.Name, Manifest: cmd.Manifest})
			_ = sleeper.Sleep(ctx, followPause)
		}
	})
}

func (t *Fetcher) unfollow(key followKey) {
	t.mu.Lock()
	cancel := t.follows[key]
	delete(t.follows, key)
	t.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (t *Fetcher) followOnce(ctx context.Context, cmd distributor.Subscribe) error {
	s, err := t.config.Client.Open(ctx, cmd.Peer.Address, &wire.Request{
		Id: t.config.Client.NextID(), Kind: &wire.Request_Holdings{Holdings: &wire.Holdings{Manifest: string(cmd.Manifest)}},
	})
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		f, err := s.Receive()
		if err != nil {
			return err
		}
		h := f.GetHolding()
		if h == nil {
			continue
		}
		t.loop.Post(distributor.HoldingReported{
			Peer: cmd.Peer.Name, Manifest: cmd.Manifest, Complete: len(h.GetBitmap()) > 0, Chunks: chunksOf(h),
		})
	}
}

func chunksOf(h *wire.Holding) []int {
	var out []int
	for i, b := range h.GetBitmap() {
		for bit := range 8 {
			if b&(1<<bit) != 0 {
				out = append(out, 8*i+bit)
			}
		}
	}
	for _, a := range h.GetAdded() {
		out = append(out, int(a))
	}
	return out
}
