// Package recorder makes sure that a non-idempotent call runs at most once: an
// intent is committed to a log in the object API before the call is sent, and
// its outcome is kept for later attempts with the same key.
package recorder

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
)

// Shards is the number of logs that keys are spread over.
const Shards = 8

// ShardOf returns the shard of a key.
func ShardOf(key string) int { return int(xxhash.Sum64String(key) % Shards) }

// Intent is the wish to run a call.
type Intent struct {
	Key string
	// BodyDigest tells another body under the same key apart.
	BodyDigest string
	RequestID  string
	At         time.Time
}

// Outcome is how a call ended.
type Outcome struct {
	Key         string
	RequestID   string
	Run         filbertstile.RunState
	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	// BodyOmitted is true if the body was too large to keep.
	BodyOmitted bool   `json:",omitempty"`
	Host        string `json:",omitempty"`
	At          time.Time
}

// Batch is one entry of a shard's log.
type Batch struct {
	Writer   string
	Nonce    string
	Intents  []Intent  `json:",omitempty"`
	Outcomes []Outcome `json:",omitempty"`
}

// Record is what is known of one key.
type Record struct {
	Intent  Intent
	Outcome Outcome
	// Ended tells that the outcome is known, or known to be unknown.
	Ended bool
}

// Verdict says what is to become of an attempt.
type Verdict string

// Verdicts on an attempt.
const (
	// VerdictNew: the intent may be committed, and then the call may be sent.
	VerdictNew Verdict = "New"
	// VerdictReplay: the call ran, and the outcome is at hand.
	VerdictReplay Verdict = "Replay"
	// VerdictInProgress: another attempt is under way.
	VerdictInProgress Verdict = "InProgress"
	// VerdictUnknown: an attempt may have run, and nobody can tell.
	VerdictUnknown Verdict = "Unknown"
	// VerdictMismatch: the key was used with another body.
	VerdictMismatch Verdict = "Mismatch"
	// VerdictCommitted: this very attempt is committed already.
	VerdictCommitted Verdict = "Committed"
)

// Ledger is the state of one shard.
type Ledger struct {
	records map[string]Record
	// abandonAfter is when an intent without an outcome counts as unknown.
	abandonAfter time.Duration
	keep         time.Duration
}

// NewLedger returns an empty ledger. Records are kept for the duration, and an
// intent without an outcome counts as unknown after abandonAfter.
func NewLedger(keep, abandonAfter time.Duration) *Ledger {
	return &Ledger{records: make(map[string]Record), keep: keep, abandonAfter: abandonAfter}
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Apply takes in a committed batch.
func (l *Ledger) Apply(b Batch) {
	for _, i := range b.Intents {
		l.records[i.Key] = Record{Intent: i}
	}
	for _, o := range b.Outcomes {
		r := l.records[o.Key]
		// An outcome of an attempt that was replaced says nothing of the present one.
		if r.Intent.RequestID != o.RequestID || r.Ended && r.Outcome.Run != filbertstile.Unknown {
			continue
		}
		r.Outcome = o
		r.Ended = true
		l.records[o.Key] = r
	}
}

// Judge says what is to become of an attempt.
func (l *Ledger) Judge(now time.Time, i Intent) (Verdict, Record) {
	r, ok := l.records[i.Key]
	switch {
	case !ok || l.expired(now, r):
		return VerdictNew, Record{}
	case r.Intent.RequestID == i.RequestID && !r.Ended:
		return VerdictCommitted, r
	case r.Ended && r.Outcome.Run == filbertstile.NotRun:
		return VerdictNew, r
	case r.Intent.BodyDigest != i.BodyDigest:
		return VerdictMismatch, r
	case r.Ended && r.Outcome.Run == filbertstile.Ran:
		return VerdictReplay, r
	case r.Ended:
		return VerdictUnknown, r
	case now.Sub(r.Intent.At) > l.abandonAfter:
		return VerdictUnknown, r
	default:
		return VerdictInProgress, r
	}
}

func (l *Ledger) expired(now time.Time, r Record) bool {
	return now.Sub(r.Intent.At) > l.keep
}

// Expire drops the records that are older than the retention.
func (l *Ledger) Expire(now time.Time) {
	for key, r := range l.records {
		if l.expired(now, r) {
			delete(l.records, key)
		}
	}
}
