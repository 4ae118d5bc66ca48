package messenger_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"

	"filbertstile.example/filbertstile/rigs/bubbler"
	"filbertstile.example/filbertstile/transport/messenger"
)

// countingConn counts the writes on a connection.
type countingConn struct {
	net.Conn
	mu     sync.Mutex
	writes int
}

func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *countingConn) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// TestFramesAreWrittenAtOnce guards against two writes, and two packets, for each frame of
// a session, and checks that the frames arrive unchanged.
func TestFramesAreWrittenAtOnce(t *testing.T) {
	bubbler.Run(t, func(_ context.Context, t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		counted := &countingConn{Conn: near}
		client, err := yamux.Client(messenger.NewJoiner(counted), messenger.SessionConfig())
		is.NoErr(err)
		defer func() { _ = client.Close() }()
		server, err := yamux.Server(messenger.NewJoiner(far), messenger.SessionConfig())
		is.NoErr(err)
		defer func() { _ = server.Close() }()
		go func() {
			s, err := server.AcceptStream()
			if err == nil {
				_, _ = io.Copy(s, s)
			}
		}()
		s, err := client.OpenStream()
		is.NoErr(err)
		before := counted.count()
		const frames = 50
		for n := range frames {
			data := bytes.Repeat([]byte{byte(n)}, 1+n*200)
			_, err := s.Write(data)
			is.NoErr(err)
			got := make([]byte, len(data))
			_, err = io.ReadFull(s, got)
			is.NoErr(err)
			is.True(bytes.Equal(got, data))
		}
		// Beside the frames there are a few window updates and keepalives.
		is.True(counted.count()-before < frames+frames/2)
	})
}
