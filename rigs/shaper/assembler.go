package shaper

import (
	"encoding/binary"
	"io"
	"net"
)

const (
	// frameHeaderBytes is the size of a yamux frame header.
	frameHeaderBytes = 12
	// frameTypeData is the type of the only yamux frames with a payload.
	frameTypeData = 0
)

// assembler returns yamux frames to its reader only when they have arrived completely.
// yamux reads the payload of a frame while it holds a mutex, and a goroutine that waits
// for a mutex does not count as idle in virtual time. A payload that arrives in two parts
// would therefore stop the virtual clock. Connections with another protocol pass through
// unchanged.
type assembler struct {
	net.Conn
	// probed is true if the first bytes have been checked for yamux.
	probed  bool
	isYamux bool
	// unread holds the bytes that have arrived but were not yet returned by Read.
	unread []byte
}

// Read returns bytes of complete frames, or any bytes if the protocol is not yamux.
func (a *assembler) Read(p []byte) (int, error) {
	if len(a.unread) == 0 {
		if err := a.fill(p); err != nil {
			return 0, err
		}
	}
	n := copy(p, a.unread)
	a.unread = a.unread[n:]
	return n, nil
}

// fill reads more bytes into unread, which is empty.
func (a *assembler) fill(p []byte) error {
	if !a.isYamux {
		buf := make([]byte, max(len(p), frameHeaderBytes))
		n, err := a.Conn.Read(buf)
		if n == 0 {
			return err
		}
		// The first byte of a yamux frame is its version, which is 0. Text protocols
		// never send this byte.
		a.isYamux = !a.probed && buf[0] == 0
		a.probed = true
		a.unread = buf[:n]
		if !a.isYamux {
			return nil
		}
		return a.completeFrames()
	}
	a.unread = make([]byte, frameHeaderBytes)
	if _, err := io.ReadFull(a.Conn, a.unread); err != nil {
		a.unread = nil
		return err
	}
	return a.completeFrames()
}

// completeFrames reads until unread ends at the end of a frame.
func (a *assembler) completeFrames() error {
	end := 0
	for end < len(a.unread) {
		if err := a.readAtLeast(end + frameHeaderBytes); err != nil {
			return err
		}
		end += frameHeaderBytes
		if a.unread[end-frameHeaderBytes+1] == frameTypeData {
			end += int(binary.BigEndian.Uint32(a.unread[end-4 : end]))
		}
		if err := a.readAtLeast(end); err != nil {
			return err
		}
	}
	return nil
}

// readAtLeast reads until unread holds at least n bytes.
func (a *assembler) readAtLeast(n int) error {
	have := len(a.unread)
	if have >= n {
		return nil
	}
	a.unread = append(a.unread, make([]byte, n-have)...)
	_, err := io.ReadFull(a.Conn, a.unread[have:])
	return err
}
