package distributor

import (
	"time"

	"filbertstile.example/filbertstile"
)

// fetch is a chunk in flight.
type fetch struct {
	index int
	// peer is empty for the origin.
	peer string
	// imported is true if the peer is in another region.
	imported bool
	started  time.Time
}

// peerState is the state of a peer that the host subscribes to.
type peerState struct {
	member filbertstile.Member
	// holds has an element for each chunk, true if the peer holds the chunk.
	holds []bool
	// holdingKnown is true if the peer has reported its chunks since the
	// subscription last broke.
	holdingKnown bool
	// inFlight is the number of fetches in flight from the peer.
	inFlight int
}

// ownerProgress is the progress of one owner: the designated reader or importer of
// part of the chunks.
type ownerProgress struct {
	// lastChunk is when one of the owner's chunks last became available in the
	// region; it starts at since.
	lastChunk time.Time
	// since is when this host began to track the owner.
	since time.Time
	// chunks is the number of the owner's chunks that have become available.
	chunks int
	// firstMissing is the first of the owner's chunks that is missing in the region, since
	// firstMissingSince.
	firstMissing      int
	firstMissingSince time.Time
	// failedAt is when the owner had made no progress for so long that the next host in
	// order reads its chunks; zero if it has not failed.
	failedAt time.Time
}

// corruptReads are reads of a chunk from the origin, in a row, that did not match its digest.
type corruptReads struct {
	// delay is the delay after the last one, and retryAt when it ends.
	delay   time.Duration
	retryAt time.Time
}

// maxCorruptReadDelay is the maximum delay before a chunk that did not match its digest is read from the
// origin again.
const maxCorruptReadDelay = 2 * time.Second

// transfer is the transfer of the weights of one manifest to this host.
type transfer struct {
	digest filbertstile.Digest
	// processHasManifest is true if the host's process has the manifest, so that it need not come
	// from a peer.
	processHasManifest bool
	// releases are the wanted releases with the manifest.
	releases []string
	manifest filbertstile.Manifest
	// hasManifest is true if manifest is set.
	hasManifest bool
	// manifestRequested is when the manifest was last requested.
	manifestRequested time.Time
	// originManifestRequested is when the request to the origin that has not failed yet
	// began; zero if there is none.
	originManifestRequested time.Time
	started                 time.Time
	// have has an element for each chunk, true if this host holds the chunk.
	have []bool
	// missing is the number of chunks that this host does not hold.
	missing int
	// seenInRegion has an element for each chunk, true if this host or a peer of the
	// region is known to have held the chunk at some time.
	seenInRegion []bool
	// fetching holds the fetches in flight, by chunk index.
	fetching map[int]fetch
	peers    map[string]*peerState
	// ownerProgress is the progress of each owner, by name.
	ownerProgress map[string]*ownerProgress
	// regionChunks is the number of chunks that have become available in the region since
	// regionSince.
	regionChunks int
	regionSince  time.Time
	// lastProgress is when a chunk was last seen in the region for the first time;
	// initially, when the transfer started or its manifest arrived.
	lastProgress time.Time
	// nextImport is the earliest time of the next import over the region link.
	nextImport time.Time
	// importFetches and originFetches are the numbers of fetches in flight from
	// another region and from the origin.
	importFetches int
	originFetches int
	// corruptReads are the chunks whose last reads from the origin did not match their digests, by index.
	corruptReads map[int]corruptReads
	done         bool
	topology     topology
}

// topology is the host's place among the members, for one transfer. It is computed
// again when the members change.
type topology struct {
	// membersVersion is the version of the members that the topology is based on.
	membersVersion int
	// neighbours are the peers in the host's region, and sourcePeers those in the
	// source region.
	neighbours  []filbertstile.Member
	sourcePeers []filbertstile.Member
	// importRank is the rank of this host in the order in which hosts import into its
	// region; -1 if it is not a member.
	importRank int
	importers  []filbertstile.Member
	leads      []filbertstile.Member
	// owners lists the names of the owners, to which the chunks are assigned in turn.
	owners []string
	// ranks has the results of ownerRank so far, by chunk index.
	ranks map[int]int
}

// recordCorruptRead delays the next read of a chunk from the origin, at first by the initial delay. A
// chunk that never matches its digest must not take the link from the others.
func (t *transfer) recordCorruptRead(now time.Time, index int, initial time.Duration) {
	delay := min(max(initial, 2*t.corruptReads[index].delay), maxCorruptReadDelay)
	t.corruptReads[index] = corruptReads{delay: delay, retryAt: now.Add(delay)}
}

// awaitsRetry reports whether the delay after a corrupt read of the chunk from the origin has not ended.
func (t *transfer) awaitsRetry(now time.Time, index int) bool {
	return now.Before(t.corruptReads[index].retryAt)
}

// usualGap returns the usual time between two chunks of an owner; 0 if it is not known.
func (t *transfer) usualGap(now time.Time) time.Duration {
	if t.regionChunks == 0 {
		return 0
	}
	return now.Sub(t.regionSince) * time.Duration(len(t.topology.owners)) / time.Duration(t.regionChunks)
}

// resize returns a copy of the flags with length n.
func resize(flags []bool, n int) []bool {
	out := make([]bool, n)
	copy(out, flags)
	return out
}

// endFetch removes a fetch that has ended. It returns false if no fetch of the chunk
// from the peer is in flight.
func (t *transfer) endFetch(index int, peer string) (fetch, bool) {
	f, ok := t.fetching[index]
	if !ok || f.peer != peer {
		return fetch{}, false
	}
	delete(t.fetching, index)
	switch {
	case f.peer == "":
		t.originFetches--
	case f.imported:
		t.importFetches--
	}
	if p := t.peers[f.peer]; p != nil {
		p.inFlight--
	}
	return f, true
}

// progressOf returns the progress of the owner, and starts to track it if needed.
func (t *transfer) progressOf(now time.Time, owner string) *ownerProgress {
	p, ok := t.ownerProgress[owner]
	if !ok {
		p = &ownerProgress{lastChunk: now, since: now}
		t.ownerProgress[owner] = p
	}
	return p
}
