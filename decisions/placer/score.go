package placer

import (
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/estimator"
)

const (
	// maxLoadAge is the age at which a host's report becomes stale; hosts report every
	// 400 ms, and some reports are lost while links are saturated.
	maxLoadAge = 1500 * time.Millisecond
	// minFailureCooldown and maxFailureCooldown bound the cooldown of a replica after
	// a failure; it doubles with each consecutive failure.
	minFailureCooldown = 250 * time.Millisecond
	maxFailureCooldown = 4 * time.Second
	// notRunCooldown is the cooldown after a full replica did not run a request. It
	// covers the lag of the replica's load reports.
	notRunCooldown = 120 * time.Millisecond
	// failureRateWeight is the weight of the latest outcome in the moving average of
	// the failure rate.
	failureRateWeight = 0.15
	// failureRateCost is added to the score at a failure rate of 1, in requests.
	failureRateCost = 24.0
	// maxUnanswered is the number of requests in a row to a replica that may be abandoned with
	// their callers without any response. A replica that wants no requests says so only in
	// responses.
	maxUnanswered = 2
	// pendingTokenCost is added to the score for each prompt token that the replica has
	// yet to read, in requests: a prompt of some 900 tokens delays the next response as
	// much as a dozen requests that generate output.
	pendingTokenCost = 12.0 / 900
	// otherRegionCost is added to the score of a replica in another region, in
	// requests.
	otherRegionCost = 0.4
	// scoreJitter is the width of the random part of the score, in requests. It makes
	// entries with the same reports choose different replicas.
	scoreJitter = 2.0
	// limitPreference is taken off the score of a replica that has named a limit, in
	// requests. A share that is not used soon is lost, so that the random part of the score
	// must not decide between the replica and others that are as idle.
	limitPreference = scoreJitter
	// maxAssumedEntries bounds the number of entries that are assumed to load a replica
	// as much as this one if no report shows their load.
	maxAssumedEntries = 3
	// loadTolerance is the number of requests by which a replica's report must exceed
	// the sum that entries report to replace it, as it is some 200 ms older.
	loadTolerance = 4
	// delayPerRequest is added to the estimated time to the first event for each request
	// in flight: the prompts of requests that arrive later are read before the engine
	// continues with earlier requests.
	delayPerRequest = 14 * time.Millisecond
	// idlePreference is the weight of the requests in flight in the score for a request that
	// prefers an idle replica.
	idlePreference = 8
	// maxIdleRequests is the number of requests up to which a replica counts as idle:
	// no other replica would start the response much earlier, however long the prompt is.
	maxIdleRequests = 2
	// latestStartFactor is the multiple of the expected time to the first event within
	// which a response almost certainly begins.
	latestStartFactor = 2
	// maxSlotWait is the time within which a full replica frees slots for all requests
	// that are queued in it, unless more output is known to come: most streams end within about
	// a second.
	maxSlotWait = 1500 * time.Millisecond
)

// ReplicaLoad is the load of a replica as reported by its host process.
type ReplicaLoad struct {
	// Born is the time at which the replica started; zero if it is unknown.
	Born time.Time
	// Running and Waiting are the numbers of running and queued requests.
	Running int
	Waiting int
	// Version is the version of the weights that the replica runs; 0 if there is none.
	Version int64
	// Loading is true while the replica loads weights.
	Loading bool
	// Pace is how much slower than its specification the engine works, as it reports; 0 if it
	// does not say.
	Pace float64
}

// Outcome is how a request at a replica ended.
type Outcome int

// Outcomes.
const (
	// Completed means that the complete response arrived.
	Completed Outcome = iota
	// Failed means that the response reports a failure of the replica.
	Failed
	// NoResponse means that the response was invalid, incomplete or missing.
	NoResponse
	// Unreachable means that no connection to the replica could be made.
	Unreachable
	// NotRun means that the replica reported that it did not run the request, as it does
	// when it is full.
	NotRun
	// WrongReplica means that another replica responded at the address.
	WrongReplica
	// Abandoned means that the request was cancelled, for example because the caller
	// disconnected.
	Abandoned
)

// replicaState is a replica with what this entry knows of it.
type replicaState struct {
	replica filbertstile.Replica
	region  string
	// entries is the number of entries that send requests to the replica.
	entries int
	// otherGroup is true if the replica belongs to another group of entries.
	otherGroup bool
	// localRequests is the number of requests that this entry has in flight here.
	localRequests int
	// load is the latest report of the replica's host, received at loadAt.
	load   ReplicaLoad
	loadAt time.Time
	// localAtLoad is the value of localRequests at loadAt.
	localAtLoad int
	// localTokens is the number of prompt tokens of this entry's requests whose response
	// has not begun.
	localTokens int
	// observed is what this entry observes of the engine's pace; nil before the first event.
	observed *estimator.Pace
	// usedPace is the pace that counts, as of the last call of usePace.
	usedPace float64
	// usedDelay is the delay by later prompts, as of that call.
	usedDelay laterDelay
	// localOutput is the time that the output still to come of this entry's requests takes at an
	// engine that works as specified.
	localOutput time.Duration
	// localMemory is the number of tokens that this entry's requests may hold in the replica's memory,
	// which was last nearly full at memoryFullAt.
	// The entry has the place memoryRank among the memoryUsers entries that use the memory.
	localMemory  int
	memoryUsers  int
	memoryRank   int
	memoryFullAt time.Time
	// lastLocalLoad is the load that LocalLoads last returned.
	lastLocalLoad EntryLoad
	// peerLoad is the sum of the loads of the other entries.
	peerLoad EntryLoad
	// failures is the number of consecutive failures.
	failures int
	// failureRate is a moving average, from 0 to 1.
	failureRate   float64
	cooldownUntil time.Time
	// unanswered is the number of requests that were sent since the latest response and were
	// abandoned.
	unanswered int
	// coldTokens is the token bucket for requests to a cold replica, refilled at
	// coldRefilledAt.
	coldTokens     float64
	coldRefilledAt time.Time
	// placed is this entry's number of placements, and lastPlaced what LocalCounts last returned.
	placed     uint32
	lastPlaced uint32
	// ownPlaced and peerPlaced count the latest placements by this and by the other entries.
	ownPlaced  rateWindow
	peerPlaced rateWindow
	// newUntil is the time until which the replica counts as new.
	newUntil time.Time
	// senderRank is the rank of this entry for the replica among Fleet.Senders; negative if it
	// has not been worked out.
	senderRank int
	// quota is the number of its slots that belong to this entry, and turn the number of entries
	// of the group that come before this one; see divideSlots and setTurns.
	quota int
	turn  int
}

func (r *replicaState) hasFreshLoad(now time.Time) bool { return now.Sub(r.loadAt) < maxLoadAge }

// version returns the version of the weights that the replica runs, as reported by its
// host or, if that report is stale, by the platform's list.
func (r *replicaState) version(now time.Time) int64 {
	if r.hasFreshLoad(now) {
		return r.load.Version
	}
	return r.replica.Version
}

// inFlight estimates the number of requests in flight at the replica: the sum that the
// entries report or, if that is much higher, the number in the replica's own report,
// which is older.
func (r *replicaState) inFlight(now time.Time) int {
	byEntries := r.localRequests + r.peerLoad.Requests
	if r.hasFreshLoad(now) {
		byReplica := r.load.Running + r.load.Waiting + r.localRequests - r.localAtLoad
		if byReplica > byEntries+loadTolerance {
			return byReplica
		}
		return byEntries
	}
	if r.peerLoad.Requests > 0 {
		return byEntries
	}
	return r.localRequests * min(max(1, r.entries), maxAssumedEntries)
}

// pendingTokens returns the number of prompt tokens that the replica has yet to read.
func (r *replicaState) pendingTokens() int { return r.localTokens + r.peerLoad.Tokens }

// timeToFirstEvent estimates the time until the response to a new request begins: the
// rest of the current event interval (half of it on average), the pending prompts and
// the request's own, one more event interval, and a delay by later requests that grows
// with the load.
func (r *replicaState) timeToFirstEvent(e filbertstile.EngineSpec, inFlight, tokens int) time.Duration {
	known := e.EventInterval(inFlight)*3/2 + e.PrefillTime(r.pendingTokens()+tokens)
	return r.atPace(known + r.delay(known, inFlight))
}

// startTime returns the time that the response to the request may take to begin, for a replica
// whose version is due to end. For a request that may be repeated it is the expected one, as
// the request is withdrawn if it begins later. Another request would be lost then, so that it
// must almost certainly begin: other entries that see the same free slots use them too, and
// their prompts are read first.
func (r *replicaState) startTime(e filbertstile.EngineSpec, req Request, inFlight int) time.Duration {
	expected := r.timeToFirstEvent(e, inFlight, req.PromptTokens)
	if req.Repeatable {
		return expected
	}
	out := latestStartFactor*expected + e.PrefillTime((max(1, r.entries)-1)*req.PromptTokens)
	if inFlight > maxIdleRequests {
		out += r.atPace(r.slotWait(inFlight))
	}
	return out
}

// startsTooLate reports whether the response to the request might begin after the version of
// the replica is due to end.
func (r *replicaState) startsTooLate(now time.Time, e filbertstile.EngineSpec, req Request, inFlight int) bool {
	end, ok := req.VersionFloor.end(r.version(now))
	return ok && now.Add(r.startTime(e, req, inFlight)).After(end.Add(-WithdrawMargin))
}

// requestEnded updates the load, the failure rate and the cooldown.
func (r *replicaState) requestEnded(now time.Time, o Outcome) {
	r.localRequests = max(0, r.localRequests-1)
	if r.hasFreshLoad(now) && r.load.Loading {
		// The order to load other weights interrupts streams, which is not a failure.
		return
	}
	switch o {
	case Completed:
		r.failures = 0
		r.failureRate *= 1 - failureRateWeight
	case Failed:
		r.failureRate = r.failureRate*(1-failureRateWeight) + failureRateWeight
	case NoResponse, Unreachable, WrongReplica:
		r.failures++
		r.failureRate = r.failureRate*(1-failureRateWeight) + failureRateWeight
		r.cooldownUntil = now.Add(min(maxFailureCooldown, minFailureCooldown<<min(r.failures-1, 6)))
	case NotRun:
		r.cooldownUntil = now.Add(notRunCooldown)
	case Abandoned:
	}
}
