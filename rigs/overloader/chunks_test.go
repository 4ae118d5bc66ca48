package overloader

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestBodyOfTinyChunksIsServedAlone guards against a limit on small chunks that refuses the longest
// body in chunks of one byte, or the next one, while there is no other load.
func TestBodyOfTinyChunksIsServedAlone(t *testing.T) {
	is := is.New(t)
	e := startEntry(t)
	for range 3 {
		c, err := net.Dial("tcp", e.callers)
		is.NoErr(err)
		head := "POST /x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
		_, err = fmt.Fprint(c, head, strings.Repeat("1\r\nb\r\n", bodyBytes), "0\r\n\r\n")
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(c.Close())
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}
