// Package inspector checks the heads and the trailers of HTTP/1.1 responses as their bytes arrive.
// Libraries interpret more than the protocol allows: fasthttp takes status 000 as 200, and both
// fasthttp and net/http accept names of fields with spaces. What such a response says is not known.
package inspector

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

const (
	// maxLineBytes is the maximum length of a line. A peer that sends a line without end, such as
	// the extensions of a chunk, gets no more than that kept.
	maxLineBytes = 32 << 10
	// maxQuotedBytes is the maximum length of the part of a line that an ErrLine has.
	maxQuotedBytes = 64
)

// ErrLine reports a line of a response that the protocol does not allow there.
type ErrLine struct {
	// Line is the line, or its first bytes.
	Line string
	// Problem is what is wrong with it.
	Problem string
}

// newErrLine returns an error for the line.
func newErrLine(line []byte, problem string) ErrLine {
	return ErrLine{Line: string(line[:min(len(line), maxQuotedBytes)]), Problem: problem}
}

// Error returns a message with the line and the problem.
func (e ErrLine) Error() string { return fmt.Sprintf("response line %q %s", e.Line, e.Problem) }

// part is a part of a response.
type part int

const (
	statusLine part = iota
	fieldLines
	chunkSize
	chunkData
	chunkEnd
	trailerLines
	// unchecked is all that has no lines, such as a body that is not in chunks.
	unchecked
)

// Response checks the response to one request, and the informational (1xx) responses before it.
// The zero value expects the first byte.
type Response struct {
	part part
	// partial is the beginning of a line whose end has not arrived.
	partial []byte
	status  int
	// mayChunk is true if the protocol's version has transfer codings, and chunked if the body
	// is in chunks.
	mayChunk, chunked bool
	// chunkBytes is the number of bytes of the chunk that have not arrived.
	chunkBytes uint64
	err        error
}

// Check checks the next bytes of the response. After an error it returns the same one.
func (r *Response) Check(b []byte) error {
	for r.err == nil && len(b) > 0 && r.part != unchecked {
		if r.part == chunkData {
			n := min(uint64(len(b)), r.chunkBytes)
			b = b[n:]
			if r.chunkBytes -= n; r.chunkBytes == 0 {
				r.part = chunkEnd
			}
			continue
		}
		line, rest, complete := bytes.Cut(b, []byte("\n"))
		b = rest
		if len(r.partial)+len(line) > maxLineBytes {
			r.err = newErrLine(append(r.partial, line...), fmt.Sprintf("is longer than %d bytes", maxLineBytes))
			r.partial = nil
			break
		}
		if !complete || len(r.partial) > 0 {
			r.partial = append(r.partial, line...)
			line = r.partial
		}
		if complete {
			r.partial = nil
			r.err = r.checkLine(bytes.TrimSuffix(line, []byte("\r")))
		}
	}
	return r.err
}

// Err returns the error that Check has returned; nil if there is none.
func (r *Response) Err() error { return r.err }

// checkLine checks a line, and goes on to the part that follows it.
func (r *Response) checkLine(line []byte) error {
	switch r.part {
	case statusLine:
		r.part = fieldLines
		return r.checkStatusLine(line)
	case fieldLines:
		if len(line) > 0 {
			return r.checkField(line)
		}
		r.endHead()
	case chunkSize:
		r.beginChunk(line)
	case chunkEnd:
		r.part = chunkSize
	case trailerLines:
		if len(line) > 0 {
			return r.checkField(line)
		}
		r.part = unchecked
	case chunkData, unchecked: // have no lines
	}
	return nil
}

// checkStatusLine checks a status line. RFC 9112, section 4, allows several spaces before the
// status, and asks clients to ignore the reason after it.
func (r *Response) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return newErrLine(line, "is no status line of HTTP/1")
	}
	r.mayChunk = minor[0] != '0'
	status, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(status) != 3 || status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) {
		return newErrLine(line, "has no status from 100 to 599")
	}
	r.status = int(status[0]-'0')*100 + int(status[1]-'0')*10 + int(status[2]-'0')
	if r.status == http.StatusSwitchingProtocols {
		return newErrLine(line, "changes to a protocol that was not asked for")
	}
	return nil
}

// checkField checks a field line. A line that begins with a space, which older versions of the
// protocol append to the line before, is an error: RFC 9112, section 5.2, lets gateways discard the
// response.
func (r *Response) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return newErrLine(line, "has no name of a field")
	}
	if bytes.ContainsFunc(value, func(c rune) bool { return c < ' ' && c != '\t' || c == '\x7f' }) {
		return newErrLine(line, "has a control character in its value")
	}
	if r.part == fieldLines && strings.EqualFold(string(name), "Transfer-Encoding") {
		r.chunked = strings.EqualFold(string(bytes.Trim(value, " \t")), "chunked")
	}
	return nil
}

// endHead goes on after the empty line that ends a head.
func (r *Response) endHead() {
	switch {
	case r.status < http.StatusOK:
		*r = Response{}
	case r.chunked && r.mayChunk:
		r.part = chunkSize
	default:
		r.part = unchecked
	}
}

// beginChunk goes on after the line with the size of a chunk, which may have extensions. The
// library that reads the body reports an invalid one.
func (r *Response) beginChunk(line []byte) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.Trim(size, " \t")), 16, 63)
	switch {
	case err != nil:
		r.part = unchecked
	case n == 0:
		r.part = trailerLines
	default:
		r.part, r.chunkBytes = chunkData, n
	}
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isToken reports whether the name is a token of RFC 9110, section 5.6.2.
func isToken(name []byte) bool {
	for _, c := range name {
		isLetter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !isLetter && !isDigit(c) && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return len(name) > 0
}
