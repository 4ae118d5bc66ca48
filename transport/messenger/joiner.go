package messenger

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header: version, type, flags, stream ID and length. A body of
// that length follows a data frame's header.
const (
	frameHeaderBytes   = 12
	frameTypeOffset    = 1
	frameLengthOffset  = 8
	dataFrameType      = 0
	maxJoinedBodyBytes = 64 << 10
)

// joiner is a connection that sends the header and the body of a yamux frame with one
// write: yamux writes them separately, which doubles the system calls and the packets.
// It relies on yamux writing from one goroutine.
type joiner struct {
	net.Conn
	// buffer holds a header whose body has not been written yet, and is kept for the
	// next frames.
	buffer []byte
}

func newJoiner(c net.Conn) *joiner { return &joiner{Conn: c} }

// Write writes b, or keeps it for the next call if it is a header that a body follows.
func (j *joiner) Write(b []byte) (int, error) {
	if len(j.buffer) == 0 {
		if precedesBody(b) {
			j.buffer = append(j.buffer, b...)
			return len(b), nil
		}
		return j.Conn.Write(b)
	}
	j.buffer = append(j.buffer, b...)
	n, err := j.Conn.Write(j.buffer)
	n = max(0, n-frameHeaderBytes)
	j.buffer = j.buffer[:0]
	if cap(j.buffer) > maxJoinedBodyBytes {
		j.buffer = nil
	}
	return min(n, len(b)), err
}

// precedesBody reports whether b is the header of a data frame with a body.
func precedesBody(b []byte) bool {
	return len(b) == frameHeaderBytes && b[frameTypeOffset] == dataFrameType && binary.BigEndian.Uint32(b[frameLengthOffset:]) > 0
}
