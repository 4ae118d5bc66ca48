package acceptor_test

import (
	"io"
	"net"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/transport/acceptor"
)

// pipeListener accepts pipes.
type pipeListener struct {
	net.Listener
	pipes chan net.Conn
}

func (l pipeListener) Accept() (net.Conn, error) { return <-l.pipes, nil }

// TestSmallChunksAreReadInTurn guards against many bodies in chunks of one byte that take all
// processor time at once, and against the end of a single one, or of bodies in larger chunks.
func TestSmallChunksAreReadInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const bodyBytes = 64 << 10
		small, large := strings.Repeat("1\r\nb\r\n", bodyBytes), strings.Repeat("40\r\n"+strings.Repeat("b", 64)+"\r\n", bodyBytes)
		pipes := make(chan net.Conn, 1)
		l := acceptor.New(acceptor.Config{Listener: pipeListener{pipes: pipes}})
		send := func(chunks string) (body io.ReadCloser, client net.Conn) {
			client, server := net.Pipe()
			pipes <- server
			accepted, err := l.Accept()
			is.NoErr(err)
			t.Cleanup(func() { _ = client.Close() })
			go func() { _, _ = io.WriteString(client, chunks) }()
			c := accepted.(*acceptor.Conn)
			c.HeadRead()
			return c.LimitFraming(io.NopCloser(httputil.NewChunkedReader(c))), client
		}
		first, client := send(small)
		_, err := io.CopyN(io.Discard, first, bodyBytes)
		is.NoErr(err)
		second, _ := send(small)
		n, err := io.Copy(io.Discard, second)
		is.True(acceptor.ExceedsFraming(err))
		is.True(n > 10_000 && n < bodyBytes) // a short one would have been read
		other, _ := send(large + "0\r\n\r\n")
		n, err = io.Copy(io.Discard, other)
		is.NoErr(err)
		is.Equal(n, int64(64*bodyBytes))
		time.Sleep(time.Second) // the first one makes no progress
		third, _ := send(small + "0\r\n\r\n")
		n, err = io.Copy(io.Discard, third)
		is.NoErr(err)
		is.Equal(n, int64(bodyBytes))
		is.NoErr(client.Close())
	})
}
