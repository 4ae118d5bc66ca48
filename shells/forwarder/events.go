package forwarder

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// eventReader cuts a text/event-stream into whole events.
type eventReader struct {
	from io.Reader
	buf  []byte
	read []byte
}

func newEventReader(from io.Reader) *eventReader {
	return &eventReader{from: from, read: make([]byte, 4<<10)}
}

// next returns the next event with its empty line. io.EOF tells that the stream
// ended between two events, io.ErrUnexpectedEOF that it ended within one.
func (r *eventReader) next() ([]byte, error) {
	for {
		if end := eventEnd(r.buf); end > 0 {
			e := r.buf[:end:end]
			r.buf = r.buf[end:]
			return e, nil
		}
		if len(r.buf) > maxEvent {
			return nil, fmt.Errorf("read event: longer than %d bytes", maxEvent)
		}
		n, err := r.from.Read(r.read)
		r.buf = append(r.buf, r.read[:n]...)
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

// buffered tells whether a whole event has been read already.
func (r *eventReader) buffered() bool { return eventEnd(r.buf) > 0 }

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

// eventID returns the event's number, if it has one.
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
