package inspector_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/outside/inspector"
	"filbertstile.example/filbertstile/rigs/garbler"
)

const (
	ok    = "HTTP/1.1 200 OK\r\n"
	hints = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	// noField is bytes that no field line has.
	noField = "no field\x00\r\n: \r\n"
)

// soundResponses returns responses that the protocol allows.
func soundResponses() map[string]string {
	out := map[string]string{
		"Length":           ok + "Content-Length: 16\r\n\r\n" + noField,
		"UntilEnd":         "HTTP/1.0 200 OK\r\n\r\n" + noField,
		"BareLF":           "HTTP/1.1 200 OK\nA: b\n\n" + noField,
		"Interim":          "HTTP/1.1 100 Continue\r\n\r\n" + hints + ok + "\r\n" + noField,
		"SeveralSpaces":    "HTTP/1.1   200 OK\r\n\r\n",
		"Chunks":           ok + "Transfer-Encoding: chunked\r\n\r\n00e\r\n" + noField + "\r\n1;a=b\r\n\n\r\n0\r\n\r\n" + noField,
		"ChunksOfOldHTTP":  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + noField,
		"Trailers":         ok + "transfer-encoding:CHUNKED \r\n\r\n1\r\nx\r\n0\r\nA: b\r\nC:\r\n\r\n" + noField,
		"SizeOfNoChunk":    ok + "Transfer-Encoding: chunked\r\n\r\nx\r\n" + noField,
		"CodingOfInterims": "HTTP/1.1 103 x\r\nTransfer-Encoding: chunked\r\n\r\n" + ok + "\r\n0\r\n" + noField,
	}
	for _, f := range garbler.UnusualStatusLines() {
		out[f.Name] = f.Text + "\r\n\r\n" + noField
	}
	for _, f := range garbler.UnusualFieldLines() {
		out[f.Name] = ok + f.Text + "\r\n\r\n" + noField
	}
	return out
}

// brokenResponses returns responses that the protocol does not allow.
func brokenResponses() map[string]string {
	out := make(map[string]string)
	for _, f := range garbler.StatusLines() {
		out["Status/"+f.Name] = f.Text + "\r\n\r\n"
		out["StatusAfterInterim/"+f.Name] = hints + f.Text + "\r\n\r\n"
	}
	for _, f := range append(garbler.FieldLines("X-Field", "x"), garbler.ValueLines("X-Field")...) {
		out["First/"+f.Name] = ok + f.Text + "\r\n\r\n"
		out["Later/"+f.Name] = ok + "A: b\r\n" + f.Text + "\r\n\r\n"
		out["Interim/"+f.Name] = "HTTP/1.1 103 Early Hints\r\n" + f.Text + "\r\n\r\n" + ok + "\r\n"
		out["Trailer/"+f.Name] = ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + f.Text + "\r\n\r\n"
	}
	return out
}

// checkInParts checks the text in parts of the size, and returns the first error.
func checkInParts(text string, size int) error {
	var r inspector.Response
	for ; len(text) > size; text = text[size:] {
		if err := r.Check([]byte(text[:size])); err != nil {
			return err
		}
	}
	return r.Check([]byte(text))
}

// TestResponsesInParts guards against a verdict that depends on how the bytes arrive, and against
// bytes of bodies that are taken for lines.
func TestResponsesInParts(t *testing.T) {
	for size := range 40 {
		t.Run(fmt.Sprint(size+1), func(t *testing.T) {
			for name, text := range soundResponses() {
				if err := checkInParts(text, size+1); err != nil {
					t.Errorf("%s: %v", name, err)
				}
			}
			for name, text := range brokenResponses() {
				var line inspector.ErrLine
				if err := checkInParts(text, size+1); !errors.As(err, &line) {
					t.Errorf("%s: got %v, want an ErrLine", name, err)
				}
			}
		})
	}
}

// TestLineWithoutEnd guards against a line that a peer sends without end, and that takes ever more
// memory where a library keeps nothing of it.
func TestLineWithoutEnd(t *testing.T) {
	const chunked, maxBlocks = ok + "Transfer-Encoding: chunked\r\n\r\n", 33
	block := []byte(strings.Repeat("0", 1<<10))
	for name, prefix := range map[string]string{
		"StatusLine": "", "Reason": "HTTP/1.1 200 ", "Name": ok, "Value": ok + "A: ", "Interim": hints, "ChunkSize": chunked,
		"ChunkExtension": chunked + "1;a=", "ChunkEnd": chunked + "1\r\nx", "Trailer": chunked + "0\r\nA: ",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r inspector.Response
			is.NoErr(r.Check([]byte(prefix)))
			blocks := 0
			for ; r.Check(block) == nil && blocks < maxBlocks; blocks++ {
			}
			is.True(r.Err() != nil)
			is.True(blocks < maxBlocks)
		})
	}
}

// TestErrorRemains guards against a response that is read on after its error.
func TestErrorRemains(t *testing.T) {
	is := is.New(t)
	var r inspector.Response
	is.NoErr(r.Err())
	err := r.Check([]byte("HTTP/1.1 000 OK\r\n\r\n"))
	is.Equal(err.Error(), `response line "HTTP/1.1 000 OK" has no status from 100 to 599`)
	is.Equal(r.Check([]byte(ok)), err)
	is.Equal(r.Err(), err)
}
