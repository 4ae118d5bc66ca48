package exchanger_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/transport/connector"
)

// maxEndlessBytes is the number of bytes that may be read from a peer that sends a head
// without end, its buffers included.
const maxEndlessBytes = 4 << 20

// serverBufferBytes is the size of the server's own send buffer, which no client has taken. The
// kernel would let it grow to 4 MB.
const serverBufferBytes = 64 << 10

// smallestEntryBytes is the memory of the smallest entry.
const smallestEntryBytes = 184 << 20

// serveEndless sends the prefix and then the text without end to everyone who connects, and
// returns the address. The channel receives the number of bytes that each connection took.
func serveEndless(t *testing.T, prefix, text string) (string, <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	taken := make(chan int, 100)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if err := conn.(*net.TCPConn).SetWriteBuffer(serverBufferBytes); err != nil {
					taken <- maxEndlessBytes
					return
				}
				n, _ := io.WriteString(conn, prefix)
				block := bytes.Repeat([]byte(text), 1+32<<10/len(text))
				for {
					m, err := conn.Write(block)
					if n += m; err != nil {
						taken <- n
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), taken
}

// TestEndlessHeadEnds guards against reading a head that never ends: header fields, one
// header line, or informational responses. One server had 256 MB taken from it so in 4 s.
func TestEndlessHeadEnds(t *testing.T) {
	for name, c := range map[string]struct{ prefix, text string }{
		"fields":        {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
		"one line":      {"HTTP/1.1 200 OK\r\nX-Field: ", "value"},
		"status line":   {"HTTP/1.1 200 ", "OK"},
		"informational": {"", "HTTP/1.1 103 Early Hints\r\nX-Field: value\r\n\r\n"},
		"no HTTP":       {"", "\x00\x01"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, taken := serveEndless(t, c.prefix, c.text)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			started := time.Now()
			_, err := exchanger.New(connector.NewTCP()).Do(ctx, address, request("1"))
			var noResponse exchanger.ErrNoResponse
			is.True(errors.As(err, &noResponse)) // the request may have run
			is.True(time.Since(started) < 2*time.Second)
			is.True(<-taken < maxEndlessBytes)
		})
	}
}

// TestManyEndlessHeads guards against memory that grows with the number of such servers: the
// smallest entry has 184 MB.
func TestManyEndlessHeads(t *testing.T) {
	is := is.New(t)
	address, _ := serveEndless(t, "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n")
	client := exchanger.New(connector.NewTCP())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const servers = 50
	done := make(chan error, servers)
	for range servers {
		go func() {
			_, err := client.Do(context.Background(), address, request("1"))
			done <- err
		}()
	}
	for range servers {
		is.True(<-done != nil)
	}
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < smallestEntryBytes/2) // the rest keeps serving
}

// TestLongHeadWithinLimit guards against a limit that applies to more than one head: a
// connection is used again after a response with a long one.
func TestLongHeadWithinLimit(t *testing.T) {
	long := "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Field: " + strings.Repeat("v", 20<<10) + "\r\nContent-Length: 2\r\n\r\nok"
	withServer(t, []string{long, long, long}, func(is *is.I, c *exchanger.Client, address string, s *server) {
		for _, id := range []string{"1", "2", "3"} {
			body, err := do(c, address, id)
			is.NoErr(err)
			is.Equal(body, "ok")
		}
		is.Equal(int(s.conns.Load()), 1)
	})
}

// TestEndlessBodyIsNotDrained guards against a response of which the caller reads a part, and
// whose rest is read for the sake of the connection.
func TestEndlessBodyIsNotDrained(t *testing.T) {
	is := is.New(t)
	address, taken := serveEndless(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n")
	e, err := exchanger.New(connector.NewTCP()).Do(t.Context(), address, request("1"))
	is.NoErr(err)
	is.Equal(e.Response.StatusCode, http.StatusOK)
	_, err = io.ReadFull(e, make([]byte, 100))
	is.NoErr(err)
	e.Close()
	is.True(<-taken < maxEndlessBytes)
}
