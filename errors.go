package filbertstile

import (
	"fmt"
	"time"
)

// RunState says whether a request ran, as far as is known.
type RunState string

// States of a request that has ended.
const (
	NotRun  RunState = "NotRun"
	Ran     RunState = "Ran"
	Unknown RunState = "Unknown"
)

// ErrRequest reports that a request ended without a complete response.
type ErrRequest struct {
	// Code is the stable error code, listed in docs/OPERATING.md.
	Code string
	// Run says whether the request ran.
	Run RunState
	// Step is where the request ended, and Peer the process or store involved.
	Step string
	Peer string
	// RetryAfter is the delay before the caller may retry; zero if a retry cannot
	// succeed.
	RetryAfter time.Duration
	Detail     string
}

// Error returns the code, the step, the peer, the run state and the detail.
func (e ErrRequest) Error() string {
	return fmt.Sprintf("%s at %s (peer %q, %s): %s", e.Code, e.Step, e.Peer, e.Run, e.Detail)
}

// ErrDigest reports content that does not match its digest.
type ErrDigest struct {
	Step string
	Peer string
	Want Digest
	Got  Digest
}

// Error returns a message with both digests.
func (e ErrDigest) Error() string {
	return fmt.Sprintf("%s: peer %q: content has digest %s, want %s", e.Step, e.Peer, e.Got, e.Want)
}

// ErrVersionGone reports a version of weights that the origin no longer has, as newer ones were chosen.
type ErrVersionGone struct {
	Step    string
	Peer    string
	Weights WeightsVersion
}

// Error returns a message with the model and the version.
func (e ErrVersionGone) Error() string {
	return fmt.Sprintf("%s: peer %q: version %d of %s is gone", e.Step, e.Peer, e.Weights.Version, e.Weights.Model)
}

// ErrManifest reports a manifest that cannot be that of the weights that were asked for.
type ErrManifest struct {
	Step string
	Peer string
	// Field is the field that does not fit, with the value Got in place of Want.
	Field string
	Got   string
	Want  string
}

// Error returns a message with the field and both values.
func (e ErrManifest) Error() string {
	return fmt.Sprintf("%s: peer %q: the manifest has %s %s, want %s", e.Step, e.Peer, e.Field, e.Got, e.Want)
}

// ErrConflict reports a conditional update whose condition does not hold.
type ErrConflict struct {
	Step string
	Peer string
	Key  string
	// Have is the object's current version; 0 if there is no object or its
	// version is unknown.
	Have uint64
	// Want is the version that the writer expected.
	Want uint64
}

// Error returns a message with the key and both versions.
func (e ErrConflict) Error() string {
	return fmt.Sprintf("%s: peer %q: %s is at version %d, want %d", e.Step, e.Peer, e.Key, e.Have, e.Want)
}

// ErrNotFound reports a key that the peer does not have.
type ErrNotFound struct {
	Step string
	Peer string
	Key  string
}

// Error returns a message with the key.
func (e ErrNotFound) Error() string {
	return fmt.Sprintf("%s: peer %q: object %s not found", e.Step, e.Peer, e.Key)
}

// ErrUncertain reports a write that may or may not have taken effect.
type ErrUncertain struct {
	Step string
	Peer string
	Key  string
	// Cause is the last failure.
	Cause error
}

// Error returns a message with the key and the last failure.
func (e ErrUncertain) Error() string {
	return fmt.Sprintf("%s: peer %q: outcome of the write to %s is unknown: %v", e.Step, e.Peer, e.Key, e.Cause)
}

// Unwrap returns the last failure.
func (e ErrUncertain) Unwrap() error { return e.Cause }

// ErrField reports an invalid field of the input.
type ErrField struct {
	Step  string
	Field string
	// Line is the line number in the input, starting at 1; 0 if it is unknown.
	Line    int
	Problem string
}

// Error returns a message with the field and, if known, the line.
func (e ErrField) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("%s: line %d: %s: %s", e.Step, e.Line, e.Field, e.Problem)
	}
	return fmt.Sprintf("%s: %s: %s", e.Step, e.Field, e.Problem)
}

// ErrHistoryGone reports a watch from a revision whose history the store no
// longer keeps.
type ErrHistoryGone struct {
	Step string
	Peer string
}

// Error returns a message with the step and the store.
func (e ErrHistoryGone) Error() string {
	return fmt.Sprintf("%s: peer %q: the history from the requested revision is no longer available", e.Step, e.Peer)
}

// ErrUnreadable reports a response of a peer that cannot be read as a whole, so that none
// of its parts can be told from the others.
type ErrUnreadable struct {
	Step  string
	Peer  string
	Cause error
}

// Error returns a message with the step, the peer and the cause.
func (e ErrUnreadable) Error() string {
	return fmt.Sprintf("%s: peer %s: unreadable response: %v", e.Step, e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e ErrUnreadable) Unwrap() error { return e.Cause }
