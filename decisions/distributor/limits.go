package distributor

import "time"

// Limits are the limits and delays of a host. The maximum numbers of fetches apply
// to each transfer separately.
type Limits struct {
	// RingPeersPerSide is the number of peers that a host subscribes to in each
	// direction of its region's ring.
	RingPeersPerSide int
	// SourcePeers is the number of peers in the source region that an importer
	// subscribes to.
	SourcePeers int
	// MaxPeerFetches is the maximum number of fetches in flight from peers of the
	// region.
	MaxPeerFetches int
	// MaxFetchesPerPeer is the maximum number of fetches in flight from one peer.
	MaxFetchesPerPeer int
	// MaxOriginFetches is the maximum number of fetches in flight from the origin.
	MaxOriginFetches int
	// MaxImportFetches is the maximum number of fetches in flight from another
	// region.
	MaxImportFetches int
	// ImportShare is the share of the region link that imports may use.
	ImportShare float64
	// TakeoverDelay is the minimum time without progress after which the next host
	// in order takes over. It is also how long a peer gets no requests after a fetch
	// from it was lost.
	TakeoverDelay time.Duration
	// ChunkTimeout is the timeout of a fetch, and how long a peer gets no requests
	// after a slow one.
	ChunkTimeout time.Duration
	// MinHedgeDelay is the minimum time after which a chunk in flight is also
	// requested from another peer. The actual delay grows with the average fetch
	// time, up to ChunkTimeout.
	MinHedgeDelay time.Duration
	// CorruptPeerCooldown is how long a peer that sent a corrupt chunk gets no
	// requests.
	CorruptPeerCooldown time.Duration
	// BusyPeerCooldown is how long a peer that had no free slot gets no requests.
	BusyPeerCooldown time.Duration
	// OriginRetryDelay is the delay before the origin is read again after a failure.
	OriginRetryDelay time.Duration
	// ManifestRetryDelay is the minimum time between two requests for a manifest, and
	// how long a peer gets no requests after it failed to send one.
	ManifestRetryDelay time.Duration
	// MaxReaders is the maximum number of hosts that read from the origin and divide
	// its chunks among them. It is limited because origins limit their connections.
	MaxReaders int
	// SettleDelay is how long after its last growth the list of members counts as complete,
	// and MaxSettleDelay the maximum time from the first list; 0 if lists are always
	// complete.
	SettleDelay, MaxSettleDelay time.Duration
	// Leads is the number of hosts that subscribe to all readers of the origin.
	Leads int
	// SlowOriginRead is the duration of a read of a chunk from the origin from which on a host
	// reads one chunk at a time; 0 is no limit.
	SlowOriginRead time.Duration
	// MaxImporters is the maximum number of hosts of a region that import chunks from
	// the source region and divide them among each other.
	MaxImporters int
}

// DefaultLimits returns the default limits, which docs/design/weights.md discusses.
func DefaultLimits() Limits {
	return Limits{
		RingPeersPerSide:    4,
		SourcePeers:         4,
		MaxPeerFetches:      4,
		MaxFetchesPerPeer:   2,
		MaxOriginFetches:    2,
		MaxImportFetches:    8,
		ImportShare:         0.97,
		TakeoverDelay:       time.Second,
		ChunkTimeout:        4 * time.Second,
		MinHedgeDelay:       2 * time.Second,
		CorruptPeerCooldown: 30 * time.Second,
		BusyPeerCooldown:    10 * time.Millisecond,
		OriginRetryDelay:    50 * time.Millisecond,
		ManifestRetryDelay:  50 * time.Millisecond,
		MaxReaders:          12,
		MaxImporters:        2,
	}
}

// SmallReleaseLimits returns the limits for releases of a few megabytes. In a region of
// up to a dozen hosts, each one subscribes to all others, and each imports a part of the
// chunks from other regions: with a single importer the region would wait for that
// host's link.
func SmallReleaseLimits() Limits {
	l := DefaultLimits()
	l.RingPeersPerSide, l.SourcePeers, l.MaxImporters, l.MaxOriginFetches = 4, 6, 6, 2
	l.MaxPeerFetches, l.MaxFetchesPerPeer = 5, 2
	l.MinHedgeDelay = smallReleaseHedgeDelay
	l.Leads = 2
	l.SettleDelay, l.MaxSettleDelay, l.SlowOriginRead = 200*time.Millisecond, 2*time.Second, 500*time.Millisecond
	return l
}

// smallReleaseHedgeDelay is about three times the time in which a host that serves all
// its uploads at once completes them, at some 30 ms each at the rate of its link.
const smallReleaseHedgeDelay = 800 * time.Millisecond
