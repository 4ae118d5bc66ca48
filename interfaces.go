package filbertstile

import (
	"context"
	"net"
)

// Network opens and accepts connections between processes, by IP and port.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

// Object is a value in the platform's object API.
type Object struct {
	Key string
	// Version is the store's revision at which the object was last written.
	Version uint64
	Value   []byte
	// Removed is true in a watch's batch where the object is gone.
	Removed bool
}

// Batch is what a watch saw.
type Batch struct {
	// Revision is the store's revision up to which the batch is complete.
	Revision uint64
	Objects  []Object
	// More tells that a list goes on after its last object.
	More bool
}

// Store is the platform's object API.
type Store interface {
	// Get returns one object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects whose key starts with the prefix and is greater
	// than after, in key order.
	List(ctx context.Context, prefix, after string) (Batch, error)
	// Put writes the value if the object is still at the version; 0 creates it.
	// It returns ErrConflict if the condition does not hold, and ErrUncertain if
	// the context ended before the outcome was known. A value must be unique to
	// its writer, so that a lost reply can be resolved by reading back.
	Put(ctx context.Context, key string, version uint64, value []byte) (Object, error)
	// Delete removes the object if it is still at the version.
	Delete(ctx context.Context, key string, version uint64) error
	// Watch waits for objects under the prefix that were written after the
	// revision, and returns an empty batch if there are none for a while.
	Watch(ctx context.Context, prefix string, after uint64) (Batch, error)
}

// HostList is the platform's lagging list of live and leaving processes.
type HostList interface {
	Members(ctx context.Context) ([]Member, error)
	// Announce adds the member to the list, or replaces it.
	Announce(ctx context.Context, m Member) error
}

// WeightSource gives out manifests and chunks at a limited rate.
type WeightSource interface {
	Manifest(ctx context.Context, digest Digest) ([]byte, error)
	Chunk(ctx context.Context, digest Digest) ([]byte, error)
}

// EngineState is what a backend server says of itself, with a lag.
type EngineState struct {
	// Loaded is the whole digest of the weights that the engine runs.
	Loaded Digest
	Role   string
	// Cold is true while the engine warms up.
	Cold    bool
	Running int
	Waiting int
}

// LoadOrder tells an engine which weights to run.
type LoadOrder struct {
	Release string
	Whole   Digest
	// Fence is the fencing number of the order; engines that check it refuse
	// an order with a lower one than they have seen.
	Fence uint64
	Role  string
	// Chunks are the weights in order.
	Chunks [][]byte
}

// Work is a request as the backend server gets it.
type Work struct {
	RequestID string
	Service   string
	Account   string
	Priority  int
	Method    string
	Path      string
	Body      []byte
	// Offset is the number of tokens that the caller already has.
	Offset int
	Stream bool
	// IdempotencyKey is passed on to plain services.
	IdempotencyKey string
}

// Reply receives the answer piece by piece.
type Reply interface {
	// Head is called once, before any Data.
	Head(status int, contentType string) error
	Data(piece []byte) error
}

// Backend is a model engine or a plain service behind a host process.
type Backend interface {
	// Run does the work and returns after the whole answer was passed on.
	Run(ctx context.Context, w Work, reply Reply) error
	// Load orders the engine to run other weights, and returns its answer.
	Load(ctx context.Context, order LoadOrder) (EngineState, error)
	// State asks the backend server for its state.
	State(ctx context.Context) (EngineState, error)
}

// Engine is a model engine that loads the weights that lie beside it.
type Engine interface {
	// Report asks the engine for its state.
	Report(ctx context.Context) (EngineReport, error)
	// Stage puts a chunk beside the engine.
	Stage(ctx context.Context, model string, index int, data []byte) error
	// Staged returns a chunk that lies beside the engine, or ErrNotFound.
	Staged(ctx context.Context, model string, index int) ([]byte, error)
	// Load orders the engine to run what lies beside it, if it has begun as many
	// orders as expected. What still runs is waited for, or cut off.
	Load(ctx context.Context, w NamedWeights, orders int64, cut bool) error
}

// Origin gives out the digests and chunks of versions of weights.
type Origin interface {
	// Manifest returns the list of chunks of a version; version 0 is the newest.
	Manifest(ctx context.Context, w NamedWeights) (NamedWeights, Manifest, error)
	// Chunk returns one chunk of a version.
	Chunk(ctx context.Context, w NamedWeights, index int) ([]byte, error)
}
