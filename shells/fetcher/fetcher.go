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
	// idleInterval is the time between ticks of the distributor while no events
	// arrive. It delays what depends on time alone: retries, takeovers and hedges.
	idleInterval = 20 * time.Millisecond
	// doneInterval replaces idleInterval while the host holds all wanted releases.
	doneInterval = time.Second
	// defaultPieceBytes is the default of Config.PieceBytes.
	defaultPieceBytes = 4 << 10
	resubscribeDelay  = 200 * time.Millisecond
	manifestTimeout   = 5 * time.Second
	// holdingBatchDelay is the minimum time between two Holding frames, so that
	// chunks that arrive together are reported together.
	holdingBatchDelay = 2 * time.Millisecond
	codeBusy          = "Busy"
	codeNotHeld       = "NotHeld"
	defaultMaxUploads = 3
	// maxCrossRegionUploads is the number of upload slots reserved for importers of
	// other regions, so that the link between the regions does not idle while the
	// host serves its own region.
	maxCrossRegionUploads = 3
	// fetchPoolSize is the maximum number of fetches in flight.
	fetchPoolSize = 64
	// uploadBurstBytes is the burst size of the upload rate limit: the size of a
	// typical chunk.
	uploadBurstBytes = 32 << 10
)

// Config configures a Fetcher.
type Config struct {
	Self   filbertstile.Member
	Core   distributor.Config
	Client *messenger.Client
	// Source is the origin of the weights.
	Source filbertstile.WeightSource
	Log    *reporter.Log
	// MemoryBytes is the maximum total size of the chunks held.
	MemoryBytes int64
	// MaxUploads is the maximum number of chunks that are sent to hosts of the region
	// at the same time; 0 means the default.
	MaxUploads int
	// UploadBytesPerSecond is the maximum rate at which chunks are sent to other
	// hosts; 0 is no limit. With a limit, chunks wait here rather than in the link's
	// queue, where they would delay requests and heartbeats.
	UploadBytesPerSecond float64
	// PieceBytes is the maximum size of the data in one frame; 0 means the default. On a
	// link that live requests share, a request waits for the piece that is being sent.
	PieceBytes int
	Metrics    metrics.Registry
	// OnManifest, if not nil, is called for each manifest that arrives from a peer, or from the
	// origin if that has no name, before its chunks are fetched. The manifest is not used if it
	// returns an error.
	OnManifest func(digest filbertstile.Digest, m filbertstile.Manifest, peer string) error
	// OnCompleted is called when all chunks of a release are held. It must not block.
	OnCompleted func(distributor.Completed)
}

// Fetcher executes the distributor's commands.
type Fetcher struct {
	config Config
	store  *ChunkStore
	loop   *ticker.Loop[distributor.Event, distributor.Command]
	core   *distributor.Core
	pool   *ants.Pool
	// uploadSlots and crossRegionSlots limit the number of concurrent uploads to the
	// host's own region and to other regions.
	uploadSlots      chan struct{}
	crossRegionSlots chan struct{}
	uploadLimiter    *rate.Limiter
	ctx              context.Context
	wg               sync.WaitGroup

	mu sync.Mutex
	// subscriptions has a cancel function for each active subscription.
	subscriptions map[subscriptionKey]context.CancelFunc
	// transfers has the context of the fetches of each manifest.
	transfers map[filbertstile.Digest]transferContext

	peerBytes     metrics.Counter
	importedBytes metrics.Counter
	sourceBytes   metrics.Counter
}

// subscriptionKey identifies a subscription to the holdings of a peer.
type subscriptionKey struct {
	manifest filbertstile.Digest
	peer     string
}

// New returns a fetcher. It fetches nothing until Run is called.
func New(c Config) (*Fetcher, error) {
	if c.MaxUploads == 0 {
		c.MaxUploads = defaultMaxUploads
	}
	if c.PieceBytes == 0 {
		c.PieceBytes = defaultPieceBytes
	}
	pool, err := ants.NewPool(fetchPoolSize, ants.WithDisablePurge(true))
	if err != nil {
		return nil, fmt.Errorf("create fetch pool: %w", err)
	}
	f := &Fetcher{
		config:           c,
		store:            NewChunkStore(c.MemoryBytes),
		core:             distributor.New(c.Core),
		pool:             pool,
		uploadSlots:      make(chan struct{}, c.MaxUploads),
		crossRegionSlots: make(chan struct{}, maxCrossRegionUploads),
		subscriptions:    make(map[subscriptionKey]context.CancelFunc),
		transfers:        make(map[filbertstile.Digest]transferContext),
		peerBytes:        metrics.NewRegisteredCounter("Weights.PeerBytes", c.Metrics),
		importedBytes:    metrics.NewRegisteredCounter("Weights.ImportedBytes", c.Metrics),
		sourceBytes:      metrics.NewRegisteredCounter("Weights.SourceBytes", c.Metrics),
	}
	f.uploadLimiter = rate.NewLimiter(rate.Inf, 0)
	if c.UploadBytesPerSecond > 0 {
		f.uploadLimiter = rate.NewLimiter(rate.Limit(c.UploadBytesPerSecond), uploadBurstBytes)
	}
	f.loop = ticker.New(ticker.Config[distributor.Event, distributor.Command]{
		Core: f.core, Execute: f.execute, IdleInterval: idleInterval, Quiet: f.core.Done, QuietInterval: doneInterval,
	})
	return f, nil
}

// ChunkStore returns the store of the manifests and chunks that the host holds.
func (f *Fetcher) ChunkStore() *ChunkStore { return f.store }

// Run fetches chunks until the context ends.
func (f *Fetcher) Run(ctx context.Context) {
	f.ctx = ctx
	f.loop.Run(ctx)
	f.wg.Wait()
	f.pool.Release()
}

// SetWanted sets the releases that the host should hold. The most urgent one is first.
func (f *Fetcher) SetWanted(wants []distributor.Want) {
	f.loop.Post(distributor.WantedChanged{Wants: wants})
}

// SetMembers sets the hosts that run the same service.
func (f *Fetcher) SetMembers(e distributor.MembersChanged) { f.loop.Post(e) }

// AddChunk verifies and adds a chunk that the host already has from another source, so
// that it is not fetched.
func (f *Fetcher) AddChunk(manifest filbertstile.Digest, index int, ref filbertstile.ChunkRef, data []byte) error {
	if err := f.store.AddChunk(ref, data, f.config.Self.Name); err != nil {
		return err
	}
	f.loop.Post(distributor.ChunkArrived{Manifest: manifest, Index: index, Peer: f.config.Self.Name})
	return nil
}

// Progress returns the state of all transfers.
func (f *Fetcher) Progress() []distributor.Progress {
	var out []distributor.Progress
	f.loop.Inspect(func() { out = f.core.Progress() })
	return out
}

// execute executes a command of the distributor.
func (f *Fetcher) execute(cmd distributor.Command) {
	switch cmd := cmd.(type) {
	case distributor.FetchManifest:
		f.config.Log.Event(reporter.TransferStarted, reporter.Fields{"Manifest": cmd.Digest, "Peer": cmd.Peer.Name})
		f.submit(func() { f.fetchManifest(cmd) }, distributor.ManifestFailed{Digest: cmd.Digest, Peer: cmd.Peer.Name})
	case distributor.FetchChunk:
		failed := distributor.ChunkFailed{Manifest: cmd.Manifest, Index: cmd.Index, Peer: cmd.Peer.Name, Failure: distributor.FailedLost}
		ctx := f.transferContext(cmd.Manifest)
		f.submit(func() { f.fetchChunk(ctx, cmd) }, failed)
	case distributor.Subscribe:
		f.subscribe(cmd)
	case distributor.Unsubscribe:
		f.unsubscribe(subscriptionKey{manifest: cmd.Manifest, peer: cmd.Peer})
	case distributor.Completed:
		f.config.Log.Event(reporter.TransferDone, reporter.Fields{"Release": cmd.Release})
		f.config.OnCompleted(cmd)
	case distributor.Drop:
		f.cancelTransfer(cmd.Manifest)
		f.store.Drop(cmd.Manifest)
	}
}

// submit runs the task on the pool. If the pool has been released, it posts the failure
// event instead.
func (f *Fetcher) submit(task func(), failure distributor.Event) {
	f.wg.Add(1)
	err := f.pool.Submit(func() {
		defer f.wg.Done()
		task()
	})
	if err != nil {
		f.wg.Done()
		f.wg.Go(func() { f.loop.Post(failure) })
	}
}

func (f *Fetcher) fetchManifest(cmd distributor.FetchManifest) {
	ctx, cancel := context.WithTimeout(f.ctx, manifestTimeout)
	defer cancel()
	raw, err := f.requestManifest(ctx, cmd)
	var m filbertstile.Manifest
	if err == nil {
		m, err = filbertstile.ParseManifest(cmd.Digest, raw)
	}
	if err == nil && f.config.OnManifest != nil {
		err = f.config.OnManifest(cmd.Digest, m, cmd.Peer.Name)
	}
	if err != nil {
		f.config.Log.Event(reporter.SourceFailed, reporter.Fields{"Manifest": cmd.Digest, "Peer": cmd.Peer.Name, "Error": err})
		f.loop.Post(distributor.ManifestFailed{Digest: cmd.Digest, Peer: cmd.Peer.Name})
		return
	}
	held := f.store.AddManifest(cmd.Digest, raw, m)
	f.loop.Post(distributor.ManifestArrived{Digest: cmd.Digest, Manifest: m, Held: held})
}

// requestManifest requests a manifest document from the peer or the origin.
func (f *Fetcher) requestManifest(ctx context.Context, cmd distributor.FetchManifest) ([]byte, error) {
	if cmd.Peer.Name == "" {
		return f.config.Source.Manifest(ctx, cmd.Digest)
	}
	return f.requestContent(ctx, cmd.Peer, cmd.Digest)
}

func (f *Fetcher) fetchChunk(transferCtx context.Context, cmd distributor.FetchChunk) {
	ctx, cancel := context.WithTimeout(transferCtx, cmd.Timeout)
	defer cancel()
	data, err := f.requestChunk(ctx, cmd)
	if err == nil {
		err = f.store.AddChunk(cmd.Ref, data, cmd.Peer.Name)
	}
	if err != nil && transferCtx.Err() != nil && f.ctx.Err() == nil {
		return // the manifest was dropped
	}
	if err != nil {
		f.loop.Post(f.chunkFailure(cmd, err))
		return
	}
	f.countBytes(cmd, len(data))
	f.loop.Post(distributor.ChunkArrived{Manifest: cmd.Manifest, Index: cmd.Index, Peer: cmd.Peer.Name})
}

// requestChunk requests a chunk from the peer or the origin.
func (f *Fetcher) requestChunk(ctx context.Context, cmd distributor.FetchChunk) ([]byte, error) {
	if cmd.Peer.Name == "" {
		return f.config.Source.Chunk(ctx, cmd.Ref.Digest)
	}
	return f.requestContent(ctx, cmd.Peer, cmd.Ref.Digest)
}

// countBytes adds a fetched chunk of n bytes to the metric for its source.
func (f *Fetcher) countBytes(cmd distributor.FetchChunk, n int) {
	switch {
	case cmd.Peer.Name == "":
		f.sourceBytes.Inc(int64(n))
	case cmd.Peer.Region != f.config.Self.Region:
		f.importedBytes.Inc(int64(n))
	default:
		f.peerBytes.Inc(int64(n))
	}
}

// chunkFailure returns the event for a failed fetch, and logs corrupt chunks.
func (f *Fetcher) chunkFailure(cmd distributor.FetchChunk, err error) distributor.ChunkFailed {
	out := distributor.ChunkFailed{Manifest: cmd.Manifest, Index: cmd.Index, Peer: cmd.Peer.Name, Failure: distributor.FailedLost}
	var refused messenger.ErrRefused
	var corrupt filbertstile.ErrDigest
	switch {
	case errors.As(err, &refused) && refused.Code == codeBusy:
		out.Failure = distributor.FailedBusy
	case errors.As(err, &corrupt):
		out.Failure = distributor.FailedCorrupt
		f.config.Log.Event(reporter.ChunkRefused, reporter.Fields{"Peer": cmd.Peer.Name, "Error": err})
		if cmd.Peer.Name != "" {
			f.config.Log.Event(reporter.PeerSetAside, reporter.Fields{"Peer": cmd.Peer.Name})
		}
	}
	return out
}

// requestContent requests the chunk or manifest with the digest from a peer.
func (f *Fetcher) requestContent(ctx context.Context, peer filbertstile.Member, digest filbertstile.Digest) ([]byte, error) {
	s, err := f.config.Client.Open(ctx, peer.Address, &wire.Request{
		Id:   f.config.Client.NextID(),
		Kind: &wire.Request_Chunk{Chunk: &wire.Chunk{Digest: string(digest), AcrossRegions: peer.Region != f.config.Self.Region}},
	})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	return s.ReceiveContent()
}

// subscribe subscribes to the holdings of a peer, again after each failure, until
// unsubscribe is called.
func (f *Fetcher) subscribe(cmd distributor.Subscribe) {
	ctx, cancel := context.WithCancel(f.ctx)
	key := subscriptionKey{manifest: cmd.Manifest, peer: cmd.Peer.Name}
	f.mu.Lock()
	f.subscriptions[key] = cancel
	f.mu.Unlock()
	f.wg.Go(func() {
		for ctx.Err() == nil {
			_ = f.receiveHoldings(ctx, cmd)
			f.loop.Post(distributor.PeerLost{Peer: cmd.Peer.Name, Manifest: cmd.Manifest})
			_ = sleeper.Sleep(ctx, resubscribeDelay)
		}
	})
}

func (f *Fetcher) unsubscribe(key subscriptionKey) {
	f.mu.Lock()
	cancel := f.subscriptions[key]
	delete(f.subscriptions, key)
	f.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// receiveHoldings subscribes once and posts the reports of the peer until the stream
// fails.
func (f *Fetcher) receiveHoldings(ctx context.Context, cmd distributor.Subscribe) error {
	s, err := f.config.Client.Open(ctx, cmd.Peer.Address, &wire.Request{
		Id: f.config.Client.NextID(), Kind: &wire.Request_Holdings{Holdings: &wire.Holdings{Manifest: string(cmd.Manifest)}},
	})
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		frame, err := s.Receive()
		if err != nil {
			return err
		}
		h := frame.GetHolding()
		if h == nil {
			continue
		}
		f.loop.Post(distributor.HoldingReported{
			Peer: cmd.Peer.Name, Manifest: cmd.Manifest, Complete: len(h.GetBitmap()) > 0, Chunks: chunkIndexes(h),
		})
	}
}

// chunkIndexes returns the indexes of the chunks that the frame lists.
func chunkIndexes(h *wire.Holding) []int {
	var out []int
	for i, b := range h.GetBitmap() {
		for bit := range 8 {
			if b&(1<<bit) != 0 {
				out = append(out, 8*i+bit)
			}
		}
	}
	for _, index := range h.GetAdded() {
		out = append(out, int(index))
	}
	return out
}
