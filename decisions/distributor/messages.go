package distributor

import (
	"time"

	"filbertstile.example/filbertstile"
)

// Event is an input of the core.
type Event interface{ event() }

// WantedChanged replaces the list of wanted releases. The most urgent one is first.
type WantedChanged struct{ Wants []Want }

// MembersChanged replaces the list of the service's hosts.
type MembersChanged struct {
	Members []filbertstile.Member
	// Listed is true if the list contains all hosts that are registered.
	Listed bool
	// Expected is about how many hosts the origin's region has, for as long as the list may
	// be incomplete; 0 if it is not known.
	Expected int
}

// ManifestArrived provides a verified manifest.
type ManifestArrived struct {
	Digest   filbertstile.Digest
	Manifest filbertstile.Manifest
	// Held lists the chunks that the host already holds.
	Held []int
}

// ManifestFailed reports that a FetchManifest failed. An empty Peer is the origin.
type ManifestFailed struct {
	Digest filbertstile.Digest
	Peer   string
}

// ChunkArrived reports that the host holds a verified chunk that came from the peer.
// An empty Peer is the origin.
type ChunkArrived struct {
	Manifest filbertstile.Digest
	Index    int
	Peer     string
}

// Failure is the reason why a fetch of a chunk failed.
type Failure string

// Reasons for a failed fetch.
const (
	// FailedBusy means that the peer had no free slot.
	FailedBusy Failure = "Busy"
	// FailedCorrupt means that the chunk did not match its digest.
	FailedCorrupt Failure = "Corrupt"
	// FailedLost means any other failure, such as a lost connection.
	FailedLost Failure = "Lost"
)

// ChunkFailed reports that a FetchChunk failed. An empty Peer is the origin.
type ChunkFailed struct {
	Manifest filbertstile.Digest
	Index    int
	Peer     string
	Failure  Failure
}

// HoldingReported lists chunks that a peer holds.
type HoldingReported struct {
	Peer     string
	Manifest filbertstile.Digest
	// Complete is true if Chunks lists all chunks of the peer and replaces its
	// earlier reports. Otherwise Chunks adds to them.
	Complete bool
	Chunks   []int
}

// PeerLost reports that the subscription to a peer broke.
type PeerLost struct {
	Peer     string
	Manifest filbertstile.Digest
}

func (WantedChanged) event()   {}
func (MembersChanged) event()  {}
func (ManifestArrived) event() {}
func (ManifestFailed) event()  {}
func (ChunkArrived) event()    {}
func (ChunkFailed) event()     {}
func (HoldingReported) event() {}
func (PeerLost) event()        {}

// Command is an output of the core, which the caller of Tick executes.
type Command interface{ command() }

// FetchManifest requests a manifest from a peer. An empty Peer is the origin.
type FetchManifest struct {
	Digest filbertstile.Digest
	Peer   filbertstile.Member
}

// FetchChunk requests a chunk from a peer. An empty Peer is the origin.
type FetchChunk struct {
	Manifest filbertstile.Digest
	Index    int
	Ref      filbertstile.ChunkRef
	Peer     filbertstile.Member
	Timeout  time.Duration
}

// Subscribe subscribes to reports of the chunks that a peer holds.
type Subscribe struct {
	Manifest filbertstile.Digest
	Peer     filbertstile.Member
}

// Unsubscribe ends a subscription.
type Unsubscribe struct {
	Manifest filbertstile.Digest
	Peer     string
}

// Completed reports that the host holds all chunks of a release.
type Completed struct {
	Release  string
	Manifest filbertstile.Digest
}

// Drop discards the chunks of a release that is no longer wanted.
type Drop struct{ Manifest filbertstile.Digest }

func (FetchManifest) command() {}
func (FetchChunk) command()    {}
func (Subscribe) command()     {}
func (Unsubscribe) command()   {}
func (Completed) command()     {}
func (Drop) command()          {}
