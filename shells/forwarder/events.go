package forwarder

import (
	"bytes"
	"io"
	"strconv"
)

// maxEventBytes is the maximum size of a stream event.
const maxEventBytes = 256 << 10

// eventReader splits a text/event-stream into events.
type eventReader struct {
	source io.Reader
	// buf holds data that was read and not yet returned.
	buf []byte
	// searched is the number of bytes at the beginning of buf in which no event ends.
	searched int
	// readBuf is the buffer for one call of source.Read.
	readBuf []byte
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source, readBuf: make([]byte, 4<<10)}
}

// next returns the next event, including the empty line at its end. It returns io.EOF if
// the stream ended after a complete event, and io.ErrUnexpectedEOF if it ended within
// an event.
func (r *eventReader) next() ([]byte, error) {
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

// eventID returns the event's ID, and whether it has a numeric one.
func eventID(e []byte) (int64, bool) {
	for _, line := range bytes.Split(e, []byte("\n")) {
		rest, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r"), []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(rest)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
