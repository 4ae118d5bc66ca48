package acceptor_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/transport/acceptor"
)

// patience is how long a test waits for what should happen at once.
const patience = 5 * time.Second

// connect returns n connections and their clients.
func connect(t *testing.T, c acceptor.Config, n int) (conns []*acceptor.Conn, clients []net.Conn) {
	t.Helper()
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = inner.Close() })
	c.Listener = inner
	l := acceptor.New(c)
	for range n {
		client, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		conn, err := l.Accept()
		is.NoErr(err)
		t.Cleanup(func() { _ = client.Close(); _ = conn.Close() })
		conns, clients = append(conns, conn.(*acceptor.Conn)), append(clients, client)
		time.Sleep(time.Millisecond) // their ages differ
	}
	return conns, clients
}

// open reports whether the connection has not been closed by its other end.
func open(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// TestOldestConnectionsMakeRoom guards against connections without a request that keep others out,
// and against the end of a request that is being served.
func TestOldestConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = inner.Close() }()
	l := acceptor.New(acceptor.Config{Listener: inner, MaxConns: 3})
	var clients []net.Conn
	for i := range 5 {
		client, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		defer func() { _ = client.Close() }()
		conn, err := l.Accept()
		is.NoErr(err)
		if i == 0 {
			conn.(*acceptor.Conn).HeadRead()
		}
		clients = append(clients, client)
		time.Sleep(time.Millisecond)
	}
	for i, want := range []bool{true, false, false, true, true} {
		is.Equal(open(clients[i]), want) // the first one is being served
	}
}

// TestHeadsShareMemory guards against heads without end that take more than their memory, and
// against a complete one that ends as it is younger than they are.
func TestHeadsShareMemory(t *testing.T) {
	is := is.New(t)
	conns, clients := connect(t, acceptor.Config{HeadBytes: 10 * acceptor.HeadCost(1000, 10)}, 20)
	part := strings.Repeat(strings.Repeat("v", 99)+"\n", 10)
	for i, c := range clients {
		_, err := io.WriteString(c, part)
		is.NoErr(err)
		_, _ = io.ReadFull(conns[i], make([]byte, len(part)))
		time.Sleep(time.Millisecond)
	}
	for i, c := range clients {
		is.Equal(open(c), i >= 10)
	}
}

// TestHeadsThatAreServedTakeNoMemory guards against a count of heads that grows with the requests.
func TestHeadsThatAreServedTakeNoMemory(t *testing.T) {
	is := is.New(t)
	conns, clients := connect(t, acceptor.Config{HeadBytes: 2 * acceptor.HeadCost(1000, 0)}, 3)
	buf := make([]byte, 1000)
	for range 100 {
		for i, c := range clients {
			_, err := c.Write(buf)
			is.NoErr(err)
			_, err = io.ReadFull(conns[i], buf)
			is.NoErr(err)
			conns[i].HeadRead()
			_, err = c.Write(buf) // a body
			is.NoErr(err)
			_, err = io.ReadFull(conns[i], buf)
			is.NoErr(err)
			conns[i].AwaitHead()
		}
	}
}

// TestClosedForWritingEndsWithPeer guards against connections that stay open after their peer has
// received everything and closed them, and against a peer that is reset while it is sending.
func TestClosedForWritingEndsWithPeer(t *testing.T) {
	for name, act := range map[string]func(c *acceptor.Conn) error{
		"CloseWrite": func(c *acceptor.Conn) error { return c.CloseWrite() },
		"Linger": func(c *acceptor.Conn) error {
			c.Linger()
			return c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conns, clients := connect(t, acceptor.Config{}, 1)
			_, err := io.WriteString(conns[0], "response")
			is.NoErr(err)
			is.NoErr(act(conns[0]))
			_, err = clients[0].Write(make([]byte, 1<<20)) // is discarded
			is.NoErr(err)
			data, err := io.ReadAll(clients[0])
			is.NoErr(err)
			is.Equal(string(data), "response")
			is.NoErr(clients[0].Close())
			raw, err := conns[0].SyscallConn()
			is.NoErr(err)
			for end := time.Now().Add(patience); raw.Control(func(uintptr) {}) == nil; time.Sleep(time.Millisecond) {
				is.True(time.Now().Before(end))
			}
		})
	}
}

// TestPipelinedRequestsArePaced guards against clients that pipeline requests without end and so take
// the slots of the replicas, and against a delay for clients that wait for each response.
func TestPipelinedRequestsArePaced(t *testing.T) {
	is := is.New(t)
	conns, clients := connect(t, acceptor.Config{}, 1)
	c := conns[0]
	receive := func() {
		_, err := io.WriteString(clients[0], "head")
		is.NoErr(err)
		_, err = io.ReadFull(c, make([]byte, 4))
		is.NoErr(err)
	}
	for range 50 { // each after the response to the one before
		receive()
		c.HeadRead()
		is.Equal(c.PipelineDelay(), time.Duration(0))
		c.AwaitHead()
	}
	last := time.Duration(0)
	for range 50 { // in the buffer of the server
		c.HeadRead()
		is.True(c.PipelineDelay() > last || c.PipelineDelay() == time.Second)
		last = c.PipelineDelay()
		c.AwaitHead()
	}
	time.Sleep(10 * time.Millisecond)
	receive()
	c.HeadRead()
	is.Equal(c.PipelineDelay(), time.Duration(0))
}
