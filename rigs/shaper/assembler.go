package shaper

import (
	"encoding/binary"
	"io"
	"net"
)

const (
	frameHeaderBytes = 12
	frameTypeData    = 0
)

// assembler hands out yamux frames only when they have arrived whole. yamux
// reads a frame's payload with a mutex held, and a wait for a mutex does not
// count as idle in virtual time: a payload in two parts would stop the clock.
// Connections that do not start like yamux are passed through.
type assembler struct {
	net.Conn
	known  bool
	frames bool
	rest   []byte
}

// Read returns bytes of whole frames.
func (a *assembler) Read(p []byte) (int, error) {
	if len(a.rest) == 0 {
		if err := a.fill(p); err != nil {
			return 0, err
		}
	}
	n := copy(p, a.rest)
	a.rest = a.rest[n:]
	return n, nil
}

func (a *assembler) fill(p []byte) error {
	if !a.frames {
		buf := make([]byte, max(len(p), frameHeaderBytes))
		n, err := a.Conn.Read(buf)
		if n == 0 {
			return err
		}
		// The first byte of a yamux frame is its version, which is 0; text
		// protocols never send it.
		a.frames = !a.known && buf[0] == 0
		a.known = true
		a.rest = buf[:n]
		if !a.frames {
			return nil
		}
		return a.complete()
	}
	a.rest = make([]byte, frameHeaderBytes)
	if _, err := io.ReadFull(a.Conn, a.rest); err != nil {
		a.rest = nil
		return err
	}
	return a.complete()
}

// complete reads on until rest ends with a frame.
func (a *assembler) complete() error {
	at := 0
	for at < len(a.rest) {
		if err := a.atLeast(at + frameHeaderBytes); err != nil {
			return err
		}
		at += frameHeaderBytes
		if a.rest[at-frameHeaderBytes+1] == frameTypeData {
			at += int(binary.BigEndian.Uint32(a.rest[at-4 : at]))
		}
		if err := a.atLeast(at); err != nil {
			return err
		}
	}
	return nil
}

func (a *assembler) atLeast(n int) error {
	have := len(a.rest)
	if have >= n {
		return nil
	}
	a.rest = append(a.rest, make([]byte, n-have)...)
	_, err := io.ReadFull(a.Conn, a.rest[have:])
	return err
}
