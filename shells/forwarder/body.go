package forwarder

import (
	"fmt"
	"io"
	"sync"
)

const (
	// maxResponseBytes is the maximum size of a response that is not a stream. Such a
	// response is read completely before it is sent to the caller.
	maxResponseBytes = 32 << 20
	// maxNotRunBodyBytes is how much of the response to a request that has not run is read,
	// so that its connection can be used again.
	maxNotRunBodyBytes = 4 << 10
	// defaultBufferBytes is the default of Config.BufferBytes.
	defaultBufferBytes = 64 << 20
	// bodyStepBytes is the smallest step in which the buffer of a body grows; larger ones grow by
	// a quarter. The first step of a body is not counted, so that short responses don't depend on
	// the others.
	bodyStepBytes = 16 << 10
	// maxFreeMultiple limits the memory of one response to this multiple of what it leaves free,
	// so that many responses without end can't take it all.
	maxFreeMultiple = 2
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

// buffers is the memory for the bodies and the long events of all responses that are being read.
type buffers struct {
	limit int64

	mu   sync.Mutex
	used int64
}

func newBuffers(limit int64) *buffers {
	if limit <= 0 {
		limit = defaultBufferBytes
	}
	return &buffers{limit: limit}
}

// reserve takes n more bytes for a response that holds some, and returns false if fewer are left,
// or if the response would hold too much of the memory.
func (b *buffers) reserve(held, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if free := b.limit - b.used - n; held+n > maxFreeMultiple*free {
		return false
	}
	b.used += n
	return true
}

func (b *buffers) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// read returns the complete body, and a function that must be called once the body is no
// longer used. It stops at maxResponseBytes, and when the memory for bodies is used up.
func (b *buffers) read(body io.Reader) (data []byte, done func(), err error) {
	reserved := int64(0)
	done = func() { b.release(reserved) }
	data = make([]byte, 0, bodyStepBytes)
	for {
		if len(data) == cap(data) {
			step := max(bodyStepBytes, int64(cap(data)/4))
			if !b.reserve(reserved, step) {
				return nil, done, ErrTooLong{Limit: "the memory that is left for responses", LimitBytes: b.limit}
			}
			reserved += step
			data = append(make([]byte, 0, int64(cap(data))+step), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > maxResponseBytes:
			return nil, done, ErrTooLong{Limit: "the limit for a response", LimitBytes: maxResponseBytes}
		case err == io.EOF:
			return data, done, nil
		case err != nil:
			return nil, done, err
		}
	}
}
