package suspector

import "time"

// requestBit is set in the keys of requests, and in no key of a part.
const requestBit = uint64(1) << 63

// PartKey returns the key of a part of prompts with the ID.
func PartKey(id uint64) uint64 { return id &^ requestBit }

// RequestKey returns the key of a request as a whole, of which the hash covers all that
// repeats of it have in common.
func RequestKey(hash uint64) uint64 { return hash | requestBit }

// IsRequest reports whether the key is that of a request as a whole.
func IsRequest(key uint64) bool { return key&requestBit != 0 }

// policy is what keys of one kind need.
type policy struct {
	// ordered is true if a crash also counts as an episode of its own if its request was
	// sent after the crash before it.
	ordered bool
	// holdFor is the time after the last of several episodes in which a suspected key is
	// not tried.
	holdFor time.Duration
	// trialInterval is the time after which twice as many entries may try a suspected key:
	// one at first, so that requests with it end few replicas, and all after a while, so that
	// requests with a sound one need not find the right entry.
	trialInterval time.Duration
	// maxEpisodes is the number of episodes from which a blocked key is not tried again; 0
	// means that there is none.
	maxEpisodes int
	// forgetBlockedAfter is the time from the last crash after which a blocked key is
	// forgotten.
	forgetBlockedAfter time.Duration
}

var (
	// partPolicy: a rare part may be in many requests, so that one of them is often sent
	// between crashes that have another cause. Blocked parts are tried again without limit.
	partPolicy = policy{trialInterval: 500 * time.Millisecond, forgetBlockedAfter: 30 * time.Minute}
	// requestPolicy: a request that has ended two replicas one after the other is held until
	// they are back, which takes some seconds, as the third may be the last of its service.
	// After its third crash, it may reach replicas no more than three times. One entry tries
	// it after the hold, unless that trial was the third crash, and one after retrialAfter.
	// The third time is for entries that disagree about which of them may.
	requestPolicy = policy{
		ordered: true, holdFor: 4 * time.Second, trialInterval: 4 * time.Second, maxEpisodes: blockEpisodes + 1, forgetBlockedAfter: 24 * time.Hour,
	}
)

func policyOf(key uint64) policy {
	if IsRequest(key) {
		return requestPolicy
	}
	return partPolicy
}
