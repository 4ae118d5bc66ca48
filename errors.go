package filbertstile

import (
	"fmt"
	"time"
)

// RunState tells what is known about whether a request ran.
type RunState string

// States of a request that has ended.
const (
	NotRun  RunState = "NotRun"
	Ran     RunState = "Ran"
	Unknown RunState = "Unknown"
)

// ErrRequest is the end of a request without a whole answer.
type ErrRequest struct {
	// Code is the stable name of the refusal, as in docs/OPERATING.md.
	Code string
	Run  RunState
	// Step is where the request ended, and Peer the process or store involved.
	Step string
	Peer string
	// RetryAfter is zero where trying again makes no sense.
	RetryAfter time.Duration
	Detail     string
}

// Error describes the end of the request.
func (e ErrRequest) Error() string {
	return fmt.Sprintf("%s at %s (peer %q, %s): %s", e.Code, e.Step, e.Peer, e.Run, e.Detail)
}

// ErrDigest is content that does not match its name.
type ErrDigest struct {
	Step string
	Peer string
	Want Digest
	Got  Digest
}

// Error names both digests.
func (e ErrDigest) Error() string {
	return fmt.Sprintf("%s: peer %q: content has digest %s, want %s", e.Step, e.Peer, e.Got, e.Want)
}

// ErrConflict is a conditional update whose condition no longer holds.
type ErrConflict struct {
	Step string
	Peer string
	Key  string
	// Have is the version found; 0 if there is no object.
	Have uint64
	// Want is the version that the writer expected.
	Want uint64
}

// Error names the key and both versions.
func (e ErrConflict) Error() string {
	return fmt.Sprintf("%s: peer %q: %s is at version %d, not %d", e.Step, e.Peer, e.Key, e.Have, e.Want)
}

// ErrNotFound is an object that the store does not hold.
type ErrNotFound struct {
	Step string
	Peer string
	Key  string
}

// Error names the key.
func (e ErrNotFound) Error() string {
	return fmt.Sprintf("%s: peer %q: no object %s", e.Step, e.Peer, e.Key)
}

// ErrUncertain is a write that may or may not have taken effect.
type ErrUncertain struct {
	Step  string
	Peer  string
	Key   string
	Cause error
}

// Error names the key and the last failure.
func (e ErrUncertain) Error() string {
	return fmt.Sprintf("%s: peer %q: outcome of the write to %s is not known: %v", e.Step, e.Peer, e.Key, e.Cause)
}

// Unwrap returns the last failure.
func (e ErrUncertain) Unwrap() error { return e.Cause }

// ErrField is bad input, by the name of the field at fault.
type ErrField struct {
	Step  string
	Field string
	// Line is the line of the input, from 1; 0 if it is not known.
	Line    int
	Problem string
}

// Error names the field and, where known, the line.
func (e ErrField) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("%s: line %d: %s: %s", e.Step, e.Line, e.Field, e.Problem)
	}
	return fmt.Sprintf("%s: %s: %s", e.Step, e.Field, e.Problem)
}

// ErrHistoryGone is a watch from a revision that the store no longer keeps.
type ErrHistoryGone struct {
	Step string
	Peer string
}

// Error names the store.
func (e ErrHistoryGone) Error() string {
	return fmt.Sprintf("%s: peer %q: the history from there is gone", e.Step, e.Peer)
}
