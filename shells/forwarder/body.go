package forwarder

import (
	"fmt"

	"filbertstile.example/filbertstile/base/collector"
)

const (
	// maxResponseBytes is the maximum size of a response that is not a stream. Such a
	// response is read completely before it is sent to the caller.
	maxResponseBytes = 32 << 20
	// maxNotRunBodyBytes is how much of the response to a request that has not run is read,
	// so that its connection can be used again.
	maxNotRunBodyBytes = 4 << 10
)

// ErrTooLong reports a response of which no more is read.
type ErrTooLong struct {
	// Limit names the limit, and LimitBytes is its size.
	Limit      string
	LimitBytes int64
}

// Error returns a message with the limit.
func (e ErrTooLong) Error() string {
	return fmt.Sprintf("response is longer than %s, which is %d bytes", e.Limit, e.LimitBytes)
}

// newBuffers returns the memory for the bodies and the long events of all responses that are
// being read.
func newBuffers(limit int64, d *deliveries) *collector.Memory {
	return collector.New(collector.Config{Name: "responses", LimitBytes: limit, Reclaim: d.reclaim})
}
