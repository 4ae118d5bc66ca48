package hostrunner

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
)

// TestLongResultIsNotCutUnnoticed guards against the result of a call that runs at most once whose
// body is a part of the response, but looks complete.
func TestLongResultIsNotCutUnnoticed(t *testing.T) {
	for _, c := range []struct {
		pieces    []int
		truncated bool
	}{
		{pieces: nil}, {pieces: []int{0}}, {pieces: []int{100}},
		{pieces: []int{maxResultBodyBytes}}, {pieces: []int{maxResultBodyBytes - 1, 1}}, {pieces: []int{maxResultBodyBytes, 0}},
		{pieces: []int{maxResultBodyBytes - 1, 2}}, {pieces: []int{maxResultBodyBytes + 1}}, // a piece is kept whole
		{[]int{maxResultBodyBytes, 1}, true}, {[]int{maxResultBodyBytes - 1, 2, 1}, true},
		{[]int{maxResultBodyBytes + 1, 1, 1}, true}, {[]int{1 << 20, 1 << 20}, true},
	} {
		t.Run(fmt.Sprint(c.pieces), func(t *testing.T) {
			is := is.New(t)
			w := &responseWriter{kind: filbertstile.ServicePlain, once: true, digest: xxhash.New(), entryUnreachable: true}
			var whole []byte
			for i, n := range c.pieces {
				piece := bytes.Repeat([]byte{byte(i + 1)}, n)
				whole = append(whole, piece...)
				is.NoErr(w.WriteData(piece))
			}
			r := w.result(nil)
			is.Equal(r.Run, filbertstile.Ran)
			is.Equal(r.BodyTruncated, c.truncated)
			is.Equal(len(r.Body) < len(whole), c.truncated)
			is.True(bytes.HasPrefix(whole, r.Body))
			is.True(len(r.Body) >= min(len(whole), maxResultBodyBytes))
		})
	}
}
