package exchanger_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/transport/connector"
)

// TestConnectionCarriesAnIDOnce guards against a late copy of a response that is taken for that
// to a later request with the same ID. Requests with other IDs share the connections.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	for _, c := range []struct {
		ids   []string
		conns int
	}{
		{ids: []string{"1", "1"}, conns: 2},
		{ids: []string{"1", "2", "1"}, conns: 2},
		{ids: []string{"1", "2", "1", "2", "3", "4", "5"}, conns: 2},
		{ids: []string{"1", "1", "1"}, conns: 3},
		{ids: []string{"", ""}, conns: 2},
	} {
		t.Run(fmt.Sprint(c.ids), func(t *testing.T) {
			withServer(t, slices.Repeat([]string{okResponse}, len(c.ids)), func(is *is.I, client *exchanger.Client, address string, s *server) {
				for _, id := range c.ids {
					got, err := do(client, address, id)
					is.NoErr(err)
					is.Equal(got, "ok")
				}
				is.Equal(int(s.conns.Load()), c.conns)
			})
		})
	}
}

// TestConnectionIsClosedAfterManyRequests guards against memory for IDs that grows as long as
// a connection is used.
func TestConnectionIsClosedAfterManyRequests(t *testing.T) {
	const requests = 1025
	withServer(t, slices.Repeat([]string{okResponse}, requests), func(is *is.I, client *exchanger.Client, address string, s *server) {
		for i := range requests {
			_, err := do(client, address, fmt.Sprint(i))
			is.NoErr(err)
		}
		is.Equal(int(s.conns.Load()), 3) // 512 on each of the first two
	})
}

// TestRequestWithoutIDGetsNewConnection guards against a late response without an ID that is
// taken for that to a request without one. Later requests with IDs use its connection.
func TestRequestWithoutIDGetsNewConnection(t *testing.T) {
	withServer(t, slices.Repeat([]string{okResponse}, 4), func(is *is.I, client *exchanger.Client, address string, s *server) {
		for i, id := range []string{"1", "", "2", ""} {
			_, err := do(client, address, id)
			is.NoErr(err)
			is.Equal(int(s.conns.Load()), []int{1, 2, 2, 3}[i])
		}
	})
}

// lateResponses serves each connection with the handler, and returns the address.
func lateResponses(t *testing.T, handle func(conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return l.Addr().String()
}

// refusal returns a refusal of the request with the ID, or one without an ID.
func refusal(id string) string {
	if id != "" {
		id = idHeader + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\nKeep-Alive: timeout=5\r\n" + id + "Content-Length: 4\r\n\r\nfull"
}

// answerTo returns the response to the request with the ID.
func answerTo(id string) string { return strings.ReplaceAll(okResponse, "ID", id) }

// mayHaveRun reports whether the error says that the request may have run.
func mayHaveRun(err error) bool {
	var noResponse exchanger.ErrNoResponse
	return errors.As(err, &noResponse)
}

// TestLateCopyIsNotTaken guards against a copy of the response to request 1 that is taken for
// that to request 2 on the same connection, wherever it arrives, or that makes request 2 look
// as if it had not been sent.
func TestLateCopyIsNotTaken(t *testing.T) {
	long := strings.Replace(refusal("1"), "Content-Length: 4", "Content-Length: 9", 1)
	for name, c := range map[string]struct {
		// first is what is written after request 1, and second after request 2.
		first, second string
		// answered is true if request 2 gets its response all the same.
		answered bool
	}{
		"refusal before the response":           {refusal("1"), refusal("1") + answerTo("2"), false},
		"refusal without its ID":                {refusal("1"), refusal("") + answerTo("2"), false},
		"refusal without an ID both times":      {refusal(""), refusal("") + answerTo("2"), false},
		"success before the response":           {answerTo("1"), answerTo("1") + answerTo("2"), false},
		"after an informational response":       {refusal("1"), "HTTP/1.1 103 Early Hints\r\n\r\n" + refusal("1") + answerTo("2"), false},
		"after one with the ID of the request":  {refusal("1"), "HTTP/1.1 103 Early Hints\r\nX-Id: 2\r\n\r\n" + refusal("1") + answerTo("2"), false},
		"informational response only":           {refusal("1"), "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n" + answerTo("2"), true},
		"right after the first response":        {refusal("1") + refusal("1"), answerTo("2"), true},
		"part of it after the first response":   {refusal("1") + refusal("1")[:40], refusal("1")[40:] + answerTo("2"), true},
		"after a body longer than it says":      {refusal("1") + "!", refusal("1") + answerTo("2"), true},
		"rest of a long body":                   {refusal("1"), "!" + answerTo("2"), false},
		"rest of a long body and copy":          {refusal("1"), "!" + refusal("1") + answerTo("2"), false},
		"copy ends a body shorter than it says": {long + refusal("1"), answerTo("2"), true},
		"head without its end":                  {refusal("1"), "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nX-More: " + answerTo("2"), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := lateResponses(t, func(conn net.Conn, reader *bufio.Reader) {
				for text := c.first; ; text = c.second {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if text == c.first && r.Header.Get(idHeader) == "2" {
						text = answerTo("2") // a new connection
					}
					_, _ = io.WriteString(conn, text)
				}
			})
			client := exchanger.New(connector.NewTCP())
			_, err := do(client, address, "1")
			is.NoErr(err)
			if c.answered {
				// What follows the first response arrives before the next request is sent.
				time.Sleep(50 * time.Millisecond)
			}
			got, err := do(client, address, "2")
			if !c.answered {
				is.True(mayHaveRun(err))
				return
			}
			is.NoErr(err)
			is.Equal(got, "ok")
		})
	}
}

// TestLateCopyDuringLongBody guards against a copy that is taken for the response to a request
// whose body is still being written, on the connection of a request that was answered before
// its body had been read.
func TestLateCopyDuringLongBody(t *testing.T) {
	for name, text := range map[string]string{"refusal": refusal("1"), "without ID": refusal(""), "success": answerTo("1")} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var conns atomic.Int32
			address := lateResponses(t, func(conn net.Conn, reader *bufio.Reader) {
				conns.Add(1)
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, refusal("1"))
				_, _ = io.Copy(io.Discard, r.Body)
				if _, err = http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, text)
				_, _ = reader.ReadByte() // the rest of the body stays unread
				<-t.Context().Done()
			})
			client := exchanger.New(connector.NewTCP())
			post := func(id string, body []byte) (int, error) {
				r := request(id)
				r.Method, r.Body = http.MethodPost, body
				head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", idHeader, id, len(body))
				r.Head = func() ([]byte, error) { return []byte(head), nil }
				e, err := client.Do(t.Context(), address, r)
				if err != nil {
					return 0, err
				}
				defer e.Close()
				_, err = io.ReadAll(e)
				time.Sleep(20 * time.Millisecond) // the body has been written
				return e.Response.StatusCode, err
			}
			status, err := post("1", make([]byte, 64<<10)) // answered before its body is read
			is.NoErr(err)
			is.Equal(status, http.StatusServiceUnavailable)
			_, err = post("2", make([]byte, 8<<20))
			is.True(mayHaveRun(err))
			is.Equal(conns.Load(), int32(1))
		})
	}
}
