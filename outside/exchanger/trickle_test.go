package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/transport/connector"
)

// TestResponseThatTricklesEnds guards against a response of which a byte comes now and then, and
// that holds its connection for longer than the time of its request.
func TestResponseThatTricklesEnds(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for name, c := range map[string]struct {
		prefix, piece string
		inBody        bool
	}{
		"StatusLine":    {"HTTP/1.1 200 ", "O", false},
		"HeaderFields":  {"HTTP/1.1 200 OK\r\n", "X: y\r\n", false},
		"Informational": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", false},
		"Body":          {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1000\r\n\r\n", "x", true},
		"Chunks":        {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", true},
		"ChunkLine":     {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", true},
		"Trailer":       {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", true},
		"NoLength":      {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", "x", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			closed := make(chan struct{})
			address := lateResponses(t, func(conn net.Conn, _ *bufio.Reader) {
				defer close(closed)
				_, err := io.WriteString(conn, c.prefix)
				for err == nil {
					time.Sleep(5 * time.Millisecond)
					_, err = io.WriteString(conn, c.piece)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			started := time.Now()
			e, err := exchanger.New(connector.NewTCP()).Do(ctx, address, request("1"))
			if c.inBody {
				is.NoErr(err)
				_, err = io.Copy(io.Discard, e)
				is.True(err != nil) // no part is a whole body
				e.Close()
			} else {
				var noResponse exchanger.ErrNoResponse
				is.True(errors.As(err, &noResponse)) // the request may have run
			}
			is.True(time.Since(started) < 3*timeout)
			<-closed
		})
	}
}
