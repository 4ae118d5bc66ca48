package filbertstile

import (
	"context"
	"net"
)

// Network dials and accepts connections between processes, by IP and port.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

// Object is a value in the platform's object store.
type Object struct {
	Key string
	// Version is the revision of the store at which the object was last written.
	Version uint64
	Value   []byte
	// Removed is true if a watch reports that the object was deleted.
	Removed bool
}

// Batch is the result of a list or a watch.
type Batch struct {
	// Revision is the revision of the store up to which the batch is complete.
	Revision uint64
	Objects  []Object
	// More is true if a list continues after the last object of the batch.
	More bool
	// Era is the number of the store's era; 0 if the store names no eras, and so has only one.
	// Revisions of different eras cannot be compared.
	Era uint64
}

// Store is the platform's object store.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose key starts with the prefix and is greater
	// than after, in key order.
	List(ctx context.Context, prefix, after string) (Batch, error)
	// Put writes the value if the object is still at the version; version 0 creates
	// the object. It returns ErrConflict if the condition does not hold, and
	// ErrUncertain if the context ended before the outcome was known. Each value
	// must be unique to its writer, so that after a lost reply the writer can find
	// the outcome by reading the object.
	Put(ctx context.Context, key string, version uint64, value []byte) (Object, error)
	// Delete deletes the object if it is still at the version.
	Delete(ctx context.Context, key string, version uint64) error
	// Watch waits for objects under the prefix that were written after the
	// revision. It returns an empty batch if none are written for some time.
	Watch(ctx context.Context, prefix string, after uint64) (Batch, error)
}

// EraRecord is a record, in the object store, of the latest era of the store in which entries have
// compared what they have in force. After the store has come back from an older copy of its data,
// the record shows an earlier era, or the same if the entries have compared it since.
type EraRecord interface {
	// Read returns the recorded era; the zero Era if there is none.
	Read(ctx context.Context) (Era, error)
	// Write records the era in the name of the writer, unless it or a later one is recorded.
	Write(ctx context.Context, writer string, era uint64) error
}

// HostList is the platform's list of live and leaving processes. It lags behind
// the actual state.
type HostList interface {
	// Members returns the listed processes.
	Members(ctx context.Context) ([]Member, error)
	// Announce adds the member to the list, or replaces its entry.
	Announce(ctx context.Context, m Member) error
}

// WeightSource serves manifests and chunks at a limited rate.
type WeightSource interface {
	// Manifest returns the manifest document with the digest.
	Manifest(ctx context.Context, digest Digest) ([]byte, error)
	// Chunk returns the chunk with the digest.
	Chunk(ctx context.Context, digest Digest) ([]byte, error)
}

// EngineState is the state of a backend server, as the server reports it. It lags
// behind the actual state.
type EngineState struct {
	// Loaded is the Manifest.Whole digest of the weights that the engine runs.
	Loaded Digest
	// Role is the engine role.
	Role string
	// Cold is true while the engine warms up.
	Cold bool
	// Running and Waiting are the numbers of running and queued requests.
	Running int
	Waiting int
}

// LoadOrder orders an engine to load and run weights.
type LoadOrder struct {
	Release string
	// Whole is the Manifest.Whole digest of the weights.
	Whole Digest
	// Fence is the fencing token of the order. Engines that check it reject an
	// order with a lower token than they have seen.
	Fence uint64
	// Role is the engine role to assume.
	Role string
	// Chunks are the chunks of the weights, in order.
	Chunks [][]byte
}

// BackendRequest is a request that is sent to a backend server.
type BackendRequest struct {
	RequestID string
	Service   string
	Account   string
	Priority  int
	Method    string
	Path      string
	Body      []byte
	// Offset is the number of tokens that the caller has already received.
	Offset int
	// Stream is true if the caller wants the response as a stream.
	Stream bool
	// IdempotencyKey is the caller's key for a call that must not run twice; it is
	// forwarded to plain services.
	IdempotencyKey string
}

// ResponseWriter receives the response to a request in pieces.
type ResponseWriter interface {
	// WriteHead writes the status and the content type. It is called once, before
	// the first WriteData.
	WriteHead(status int, contentType string) error
	// WriteData writes the next piece of the body.
	WriteData(piece []byte) error
}

// Backend is the backend server of a host process: a model engine or a plain
// service.
type Backend interface {
	// Run sends the request and returns nil after the complete response has been
	// written.
	Run(ctx context.Context, r BackendRequest, w ResponseWriter) error
	// Load orders the engine to run other weights, and returns the engine's state.
	Load(ctx context.Context, order LoadOrder) (EngineState, error)
	// State asks the backend server for its state.
	State(ctx context.Context) (EngineState, error)
}

// Engine is a model engine that loads weights staged at the engine in advance.
type Engine interface {
	// Report asks the engine for its state.
	Report(ctx context.Context) (EngineReport, error)
	// Stage stores a chunk at the engine for a later Load.
	Stage(ctx context.Context, model string, index int, data []byte) error
	// Staged returns a staged chunk, or ErrNotFound.
	Staged(ctx context.Context, model string, index int) ([]byte, error)
	// Load orders the engine to run the staged weights, if the number of orders
	// that it has started equals expectedOrders. Running requests are cancelled if
	// cancelRunning is true; otherwise the engine waits for them to finish. The
	// result is false if the engine has not started the order, because it has
	// loaded the version already. After an error it may have started it.
	Load(ctx context.Context, w WeightsVersion, expectedOrders int64, cancelRunning bool) (accepted bool, err error)
}

// Origin serves the manifests and chunks of versions of weights.
type Origin interface {
	// Manifest returns the manifest of a version, and the version that it belongs
	// to. Version 0 requests the newest version. It returns ErrManifest if the response is of another
	// version or model, or names no version, and ErrVersionGone if the origin no longer has the
	// version.
	Manifest(ctx context.Context, w WeightsVersion) (WeightsVersion, Manifest, error)
	// Chunk returns one chunk of a version, or ErrVersionGone.
	Chunk(ctx context.Context, w WeightsVersion, index int) ([]byte, error)
}
