package overloader

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// crowdSize is the number of misbehaving clients, and crowdTime how long they go on.
	crowdSize = 200
	crowdTime = 700 * time.Millisecond
	// bodyBytes is the documented maximum size of a body, and headBytes that of a head.
	bodyBytes = 4 << 20
	headBytes = 16 << 10
	// redialDelay is the time until a client whose connection has ended opens another one.
	redialDelay = 20 * time.Millisecond
)

// kind is a kind of misbehaving client.
type kind struct {
	name string
	// send sends to the connection, until it fails or the client only keeps it open.
	send func(c io.Writer, post, get string) error
	// unread is true if the client reads no responses.
	unread bool
}

// kinds lists every kind of misbehaving client. The strings post and get are the beginnings of
// heads, without the empty line at their end.
var kinds = []kind{
	{name: "HeadsWithoutEnd", send: func(c io.Writer, _, get string) error {
		return repeat(c, get, "X-Field: "+strings.Repeat("v", 1000)+"\r\n", 1<<20)
	}},
	{name: "HeadsOfOneLine", send: func(c io.Writer, _, get string) error {
		return repeat(c, get+"X-Field: ", strings.Repeat("v", 1000), 60<<10)
	}},
	{name: "HeadsOfTinyFields", send: func(c io.Writer, _, get string) error {
		_, err := io.WriteString(c, get+tinyFields(60<<10))
		return err
	}},
	{name: "EmptyLines", send: func(c io.Writer, _, _ string) error {
		return repeat(c, "", strings.Repeat("\r\n", 2000), 1<<30)
	}},
	{name: "LegalHeadsWithHeldBodies", send: func(c io.Writer, post, _ string) error {
		head := post + fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)
		_, err := io.WriteString(c, head+tinyFields(headBytes-len(head)-2)+"\r\nbody")
		return err
	}},
	{name: "BodiesWhole", send: func(c io.Writer, post, _ string) error {
		_, err := io.WriteString(c, post+fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)+strings.Repeat("b", bodyBytes-1))
		return err
	}},
	{name: "BodiesByPieces", send: func(c io.Writer, post, _ string) error {
		if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", post, bodyBytes); err != nil {
			return err
		}
		for range bodyBytes/(32<<10) - 1 {
			if _, err := c.Write(bytes.Repeat([]byte("b"), 32<<10)); err != nil {
				return err
			}
			time.Sleep(2 * time.Millisecond)
		}
		return nil
	}},
	{name: "LargeChunks", send: func(c io.Writer, post, _ string) error {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("b", 64<<10))
		return repeat(c, post+"Transfer-Encoding: chunked\r\n\r\n", chunk, bodyBytes-1)
	}},
	{name: "ChunksOfOneByte", send: func(c io.Writer, post, _ string) error {
		return repeat(c, post+"Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nb\r\n", 1000), 6*(bodyBytes-1000))
	}},
	{name: "PipelinedRequests", send: func(c io.Writer, _, get string) error {
		return repeat(c, "", strings.Repeat(get+"\r\n", 100), 1<<30)
	}},
	{name: "UnreadResponses", unread: true, send: func(c io.Writer, _, get string) error {
		return repeat(c, "", strings.Repeat(get+"\r\n", 100), 1<<30)
	}},
	{name: "SilentConnections", send: func(io.Writer, string, string) error { return nil }},
}

// repeat writes the prefix, and the block until that many bytes are written.
func repeat(c io.Writer, prefix, block string, bytes int) error {
	if _, err := io.WriteString(c, prefix); err != nil {
		return err
	}
	for n := 0; n+len(block) <= bytes; n += len(block) {
		if _, err := io.WriteString(c, block); err != nil {
			return err
		}
	}
	return nil
}

// tinyFields returns header fields with different short names, of at most that many bytes. They
// take the most memory of all heads of that size.
func tinyFields(bytes int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for n := 0; b.Len()+6 <= bytes; n++ {
		b.WriteString(string([]byte{letters[n%36], letters[n/36%36], letters[n/1296%36], ':', '\r', '\n'}))
	}
	return b.String()
}

// crowd runs that many clients of the kinds, in turn, against the address until the context ends,
// and closes their connections.
func crowd(ctx context.Context, clients int, address, post, get string, kinds ...kind) {
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			for ctx.Err() == nil {
				misbehave(ctx, address, post, get, kinds[n%len(kinds)])
				select {
				case <-ctx.Done():
				case <-time.After(redialDelay):
				}
			}
		})
	}
	wg.Wait()
}

// misbehave runs a client on one connection until the connection fails or the context ends.
func misbehave(ctx context.Context, address, post, get string, k kind) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	ended := make(chan struct{})
	if !k.unread {
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, c)
		}()
	}
	if k.send(c, post, get) != nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-ended:
	}
}
