package forwarder

import (
	"bytes"
	"io"
	"strconv"

	"filbertstile.example/filbertstile/base/collector"
)

const (
	// maxEventBytes is the maximum size of a stream event.
	maxEventBytes = 256 << 10
	// smallEventBytes is how much of an event is held without memory of the buffers.
	smallEventBytes = 16 << 10
	// eventReadBytes is the size of the buffer for one read of a stream.
	eventReadBytes = 4 << 10
)

// eventReader splits a text/event-stream into events.
type eventReader struct {
	source  io.Reader
	buffers eventMemory
	// reserved is the number of bytes that were taken from buffers.
	reserved int64
	// buf holds data that was read and not yet returned.
	buf []byte
	// searched is the number of bytes at the beginning of buf in which no event ends.
	searched int
	// readBuf is the buffer for one call of source.Read.
	readBuf []byte
}

// eventMemory is memory for long events.
type eventMemory interface {
	// Reserve takes n more bytes for a stream that holds some.
	Reserve(held, n int64) error
	// Release returns n bytes.
	Release(n int64)
}

// newEventReader returns a reader that holds long events in memory of the buffers.
func newEventReader(source io.Reader, b eventMemory) *eventReader {
	return &eventReader{source: source, buffers: b, readBuf: make([]byte, eventReadBytes)}
}

// close frees the memory of the buffers. The reader must not be used afterwards.
func (r *eventReader) close() {
	r.buffers.Release(r.reserved)
	r.reserved = 0
}

// freeLongEvent frees the memory of the last event if it was a long one.
func (r *eventReader) freeLongEvent() {
	if r.reserved > 0 && len(r.buf) <= smallEventBytes {
		r.buf = bytes.Clone(r.buf)
		r.close()
	}
}

// reserve takes memory of the buffers for n more bytes.
func (r *eventReader) reserve(n int) error {
	missing := int64(len(r.buf)+n) - smallEventBytes - r.reserved
	if missing <= 0 {
		return nil
	}
	missing = max(missing, collector.StepBytes)
	if err := r.buffers.Reserve(r.reserved, missing); err != nil {
		return err
	}
	r.reserved += missing
	return nil
}

// next returns the next event, including the empty line at its end. It returns io.EOF if
// the stream ended after a complete event, and io.ErrUnexpectedEOF if it ended within
// an event. The event is valid until the next call.
func (r *eventReader) next() ([]byte, error) {
	r.freeLongEvent()
	for {
		if end := r.eventEnd(); end > 0 {
			e := r.buf[:end:end]
			r.buf, r.searched = r.buf[end:], 0
			return e, nil
		}
		r.searched = len(r.buf)
		if len(r.buf) > maxEventBytes {
			return nil, ErrTooLong{Limit: "the limit for an event", LimitBytes: maxEventBytes}
		}
		n, err := r.source.Read(r.readBuf)
		if err := r.reserve(n); err != nil {
			return nil, err
		}
		r.buf = append(r.buf, r.readBuf[:n]...)
		if n > 0 {
			continue
		}
		if err == io.EOF && len(bytes.TrimSpace(r.buf)) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
}

// hasBufferedEvent reports whether a complete event is buffered.
func (r *eventReader) hasBufferedEvent() bool { return r.eventEnd() > 0 }

// eventEnd returns the length of the first event in the buffer; 0 if it holds no complete event.
func (r *eventReader) eventEnd() int {
	from := max(0, r.searched-len("\r\n\r\n")+1) // the end of an event may have arrived in parts
	if end := eventEnd(r.buf[from:]); end > 0 {
		return from + end
	}
	return 0
}

// eventEnd returns the length of the first event in b, including the empty line at its
// end; 0 if b holds no complete event.
func eventEnd(b []byte) int {
	if i := bytes.Index(b, []byte("\n\n")); i >= 0 {
		j := bytes.Index(b, []byte("\r\n\r\n"))
		if j >= 0 && j < i {
			return j + 4
		}
		return i + 2
	}
	if j := bytes.Index(b, []byte("\r\n\r\n")); j >= 0 {
		return j + 4
	}
	return 0
}

// isComment reports whether the event consists of comments only, which keep a connection alive.
func isComment(e []byte) bool {
	for _, line := range bytes.Split(e, []byte("\n")) {
		if line = bytes.TrimRight(line, "\r"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the event's ID; none if it has no numeric one.
func eventID(e []byte) EventID {
	for _, line := range bytes.Split(e, []byte("\n")) {
		rest, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r"), []byte("id:"))
		if !ok {
			continue
		}
		if number, err := strconv.ParseInt(string(bytes.TrimSpace(rest)), 10, 64); err == nil {
			return NewEventID(number)
		}
		break
	}
	return EventID{}
}
