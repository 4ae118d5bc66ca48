package requester_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/outside/requester"
	"filbertstile.example/filbertstile/rigs/bubbler"
)

const (
	callTimeout  = time.Second
	maxExtension = 4 * time.Second
	responseSize = 1 << 20
)

// piecesNetwork answers each request with a response that arrives in pieces.
type piecesNetwork struct {
	filbertstile.Network
	size     int
	interval time.Duration
	// pieces is the number of pieces that arrive; the others never do.
	pieces int
	// head makes the pieces fields of a header without end.
	head bool
}

func (n piecesNetwork) Dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go n.respond(server)
	return client, nil
}

func (n piecesNetwork) respond(conn net.Conn) {
	if _, err := conn.Read(make([]byte, 4096)); err != nil {
		return
	}
	head, piece := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", responseSize), make([]byte, n.size)
	if n.head {
		head, piece = "HTTP/1.1 200 OK\r\n", []byte("X: "+strings.Repeat("y", n.size)+"\r\n")
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	for range n.pieces {
		time.Sleep(n.interval)
		if _, err := conn.Write(piece); err != nil {
			return
		}
	}
	_, _ = conn.Read(make([]byte, 1)) // returns when the client closes the connection
}

// TestLargeResponseMayTakeLonger guards against calls that time out while a large response
// arrives over a narrow link, and ask for the same bytes again; and against responses that
// never end.
func TestLargeResponseMayTakeLonger(t *testing.T) {
	const all = responseSize / (16 << 10)
	for name, c := range map[string]struct {
		network piecesNetwork
		fails   bool
		// took is how long the call takes.
		took time.Duration
	}{
		"Narrow":        {network: piecesNetwork{size: 16 << 10, interval: 50 * time.Millisecond, pieces: all}, took: all * 50 * time.Millisecond},
		"NothingComes":  {fails: true, took: callTimeout},
		"Stalls":        {network: piecesNetwork{size: 16 << 10, interval: 50 * time.Millisecond, pieces: 30}, fails: true, took: 30*50*time.Millisecond + 900*time.Millisecond},
		"SmallAndSlow":  {network: piecesNetwork{size: 100, interval: 50 * time.Millisecond, pieces: all}, fails: true, took: callTimeout},
		"HeadTrickles":  {network: piecesNetwork{size: 1, interval: 50 * time.Millisecond, pieces: all, head: true}, fails: true, took: callTimeout},
		"HardlyAnyByte": {network: piecesNetwork{size: 1 << 10, interval: 50 * time.Millisecond, pieces: 1 << 10}, fails: true, took: callTimeout + maxExtension},
	} {
		t.Run(name, func(t *testing.T) {
			bubbler.Run(t, func(ctx context.Context, t *testing.T) {
				is := is.New(t)
				client := requester.New(requester.Config{Address: "store:1", Network: c.network, Timeout: callTimeout, MaxExtension: maxExtension})
				defer client.Close()
				started := time.Now()
				response, err := client.Do(ctx, requester.Call{Step: "watch objects", Path: "/"})
				is.Equal(err != nil, c.fails)
				is.True(c.fails || len(response.Body) == responseSize)
				is.Equal(time.Since(started).Round(10*time.Millisecond), c.took)
			})
		})
	}
}

// TestReceiving guards against a process that counts as failed while a large response is
// arriving at it, and against one that counts as receiving when nothing arrives.
func TestReceiving(t *testing.T) {
	bubbler.Run(t, func(ctx context.Context, t *testing.T) {
		is := is.New(t)
		client := requester.New(requester.Config{
			Address: "store:1", Network: piecesNetwork{size: 16 << 10, interval: 100 * time.Millisecond, pieces: 10}, Timeout: callTimeout, MaxExtension: maxExtension,
		})
		defer client.Close()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = client.Do(ctx, requester.Call{Step: "watch objects", Path: "/"})
		}()
		time.Sleep(50 * time.Millisecond)
		is.True(!client.Receiving())
		time.Sleep(200 * time.Millisecond)
		is.True(client.Receiving())
		time.Sleep(750 * time.Millisecond)
		is.True(client.Receiving())
		time.Sleep(500 * time.Millisecond)
		is.True(!client.Receiving()) // it has stalled
		<-done
		is.True(!client.Receiving())
	})
}
