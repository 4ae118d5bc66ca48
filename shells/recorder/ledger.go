// Package recorder ensures that a non-idempotent call runs at most once. An intent is
// committed to a log in the object API before the call is sent, and the outcome is
// stored for later attempts with the same key.
package recorder

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
)

// Shards is the number of shards that keys are distributed over. Each has its own log.
const Shards = 8

// ShardOf returns the shard of a key.
func ShardOf(key string) int { return int(xxhash.Sum64String(key) % Shards) }

// Intent announces that an attempt to run a call may be sent.
type Intent struct {
	Key string
	// BodyDigest distinguishes calls with different content under the same key.
	BodyDigest string
	// RequestID identifies the attempt.
	RequestID string
	At        time.Time
}

// Outcome is the outcome of an attempt.
type Outcome struct {
	Key         string
	RequestID   string
	Run         filbertstile.RunState
	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	// BodyOmitted is true if the body was too large to be stored.
	BodyOmitted bool   `json:",omitempty"`
	Host        string `json:",omitempty"`
	At          time.Time
}

// Batch is the value of one log entry.
type Batch struct {
	Writer string
	// Nonce makes the value of each write unique, as filbertstile.Store requires.
	Nonce    string
	Intents  []Intent  `json:",omitempty"`
	Outcomes []Outcome `json:",omitempty"`
}

// Record is the state of one key: its last attempt and, if known, the outcome.
type Record struct {
	Intent  Intent
	Outcome Outcome
	// Ended is true once an outcome is recorded, which may be filbertstile.Unknown.
	Ended bool
}

// Decision says how an attempt to run a call proceeds.
type Decision string

// Decisions on an attempt.
const (
	// DecisionNew means that the call may be sent once the intent is committed.
	DecisionNew Decision = "New"
	// DecisionReplay means that the call ran and the recorded outcome is the response.
	DecisionReplay Decision = "Replay"
	// DecisionInProgress means that an earlier attempt has not ended.
	DecisionInProgress Decision = "InProgress"
	// DecisionUnknown means that an earlier attempt may have run, and that its outcome is
	// unknown.
	DecisionUnknown Decision = "Unknown"
	// DecisionMismatch means that the key was used for a call with different content.
	DecisionMismatch Decision = "Mismatch"
	// DecisionCommitted means that the intent of this same attempt is committed already.
	DecisionCommitted Decision = "Committed"
)

// Ledger holds the records of one shard.
type Ledger struct {
	records map[string]Record
	// abandonAfter is the age after which the outcome of an intent counts as unknown if none
	// is recorded.
	abandonAfter time.Duration
	// retention is how long records are stored.
	retention time.Duration
}

// NewLedger returns an empty ledger. Records are stored for the retention. An outcome
// that is not recorded within abandonAfter of the intent counts as unknown.
func NewLedger(retention, abandonAfter time.Duration) *Ledger {
	return &Ledger{records: make(map[string]Record), retention: retention, abandonAfter: abandonAfter}
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Apply adds a committed batch to the records.
func (l *Ledger) Apply(b Batch) {
	for _, i := range b.Intents {
		l.records[i.Key] = Record{Intent: i}
	}
	for _, o := range b.Outcomes {
		r := l.records[o.Key]
		// The outcome of a replaced attempt does not apply to the current one, and a known
		// outcome does not change.
		if r.Intent.RequestID != o.RequestID || r.Ended && r.Outcome.Run != filbertstile.Unknown {
			continue
		}
		r.Outcome = o
		r.Ended = true
		l.records[o.Key] = r
	}
}

// Decide returns the decision on an attempt, and the record that it is based on.
func (l *Ledger) Decide(now time.Time, i Intent) (Decision, Record) {
	r, ok := l.records[i.Key]
	switch {
	case !ok || l.expired(now, r):
		return DecisionNew, Record{}
	case r.Intent.RequestID == i.RequestID && !r.Ended:
		return DecisionCommitted, r
	case r.Ended && r.Outcome.Run == filbertstile.NotRun:
		return DecisionNew, r
	case r.Intent.BodyDigest != i.BodyDigest:
		return DecisionMismatch, r
	case r.Ended && r.Outcome.Run == filbertstile.Ran:
		return DecisionReplay, r
	case r.Ended:
		return DecisionUnknown, r
	case now.Sub(r.Intent.At) > l.abandonAfter:
		return DecisionUnknown, r
	default:
		return DecisionInProgress, r
	}
}

func (l *Ledger) expired(now time.Time, r Record) bool {
	return now.Sub(r.Intent.At) > l.retention
}

// Expire deletes the records that are older than the retention.
func (l *Ledger) Expire(now time.Time) {
	for key, r := range l.records {
		if l.expired(now, r) {
			delete(l.records, key)
		}
	}
}
