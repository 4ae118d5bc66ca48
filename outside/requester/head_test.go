package requester_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/outside/inspector"
	"filbertstile.example/filbertstile/outside/requester"
	"filbertstile.example/filbertstile/rigs/garbler"
	"filbertstile.example/filbertstile/transport/connector"
)

const (
	headTimeout = 2 * time.Second
	keptHeader  = "X-Kept"
	okBody      = "a whole body"
)

// responses returns responses with each line in its place. All of them end.
func responses(status []garbler.Fragment, field func(name, value string) []garbler.Fragment) map[string]string {
	length := fmt.Sprintf("Content-Length: %d", len(okBody))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(okBody), okBody)
	out := make(map[string]string)
	for _, f := range status {
		out["Status/"+f.Name] = f.Text + "\r\n" + length + "\r\n\r\n" + okBody
	}
	for _, f := range field("Content-Length", fmt.Sprint(len(okBody))) {
		out["Length/"+f.Name] = "HTTP/1.1 200 OK\r\n" + f.Text + "\r\n\r\n" + okBody
	}
	for _, f := range field("Transfer-Encoding", "chunked") {
		out["Coding/"+f.Name] = "HTTP/1.1 200 OK\r\nServer: x\r\n" + f.Text + "\r\n\r\n" + chunks
	}
	for _, f := range field("Connection", "close") {
		out["Connection/"+f.Name] = "HTTP/1.1 200 OK\r\n" + length + "\r\n" + f.Text + "\r\n\r\n" + okBody
	}
	for _, f := range field(keptHeader, "7") {
		out["Kept/"+f.Name] = "HTTP/1.1 200 OK\r\n" + f.Text + "\r\n" + length + "\r\n\r\n" + okBody
		out["Hints/"+f.Name] = "HTTP/1.1 103 Early Hints\r\n" + f.Text + "\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\n\r\n" + okBody
		out["NoContent/"+f.Name] = "HTTP/1.1 204 No Content\r\n" + f.Text + "\r\n\r\n"
		out["Error/"+f.Name] = "HTTP/1.1 409 Conflict\r\n" + f.Text + "\r\n" + length + "\r\n\r\n" + okBody
	}
	return out
}

func brokenHeads() map[string]string {
	out := responses(garbler.StatusLines(), garbler.FieldLines)
	for _, f := range garbler.ValueLines(keptHeader) {
		out["Kept/"+f.Name] = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s", f.Text, len(okBody), okBody)
	}
	for _, f := range garbler.StatusLines() {
		out["Interim/"+f.Name] = fmt.Sprintf("%s\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", f.Text, len(okBody), okBody)
	}
	return out
}

// brokenTrailers returns responses in chunks whose trailers are no fields. RFC 9112, section 7.1,
// ends the body after them, so that its end is not known.
func brokenTrailers() map[string]string {
	out := make(map[string]string)
	for _, f := range append(garbler.FieldLines("X-Trail", "x"), garbler.ValueLines("X-Trail")...) {
		out["Trailer/"+f.Name] = fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n\r\n", len(okBody), okBody, f.Text)
	}
	return out
}

// calls are the ways to make a call, which return the body.
var calls = map[string]func(t *testing.T, c *requester.Client) (string, error){
	"read": func(t *testing.T, c *requester.Client) (string, error) {
		resp, err := c.Do(t.Context(), requester.Call{Step: "test", Path: "/", KeepHeader: keptHeader})
		return string(resp.Body), err
	},
	"write": func(t *testing.T, c *requester.Client) (string, error) {
		resp, err := c.Do(t.Context(), requester.Call{Step: "test", Method: http.MethodPut, Path: "/", Body: []byte("x")})
		return string(resp.Body), err
	},
	"stream": func(t *testing.T, c *requester.Client) (string, error) {
		var body []byte
		err := c.Stream(t.Context(), requester.Call{Step: "test", Path: "/"}, func(_ requester.Response, r io.Reader) (err error) {
			body, err = io.ReadAll(r)
			return err
		})
		return string(body), err
	},
}

// withResponses runs f with a client of a server that responds with texts in turn, and with
// sound ones afterwards.
func withResponses(t *testing.T, texts []string, f func(is *is.I, c *requester.Client, s *garbler.Server)) {
	t.Helper()
	is := is.New(t)
	s, err := garbler.Start(t.Context(), garbler.Config{Respond: func(n int, _ *http.Request) (string, bool) {
		if n <= len(texts) {
			return texts[n-1], false
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n%04d", n), false
	}})
	is.NoErr(err)
	c := requester.New(requester.Config{Network: connector.NewTCP(), Address: s.Address, Timeout: headTimeout})
	defer c.Close()
	f(is, c, s)
}

// TestBrokenResponseIsNone guards against a response that is taken although its head or its
// trailers break the protocol: what it says is not known, nor where it ends.
func TestBrokenResponseIsNone(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n0001"
	broken := brokenHeads()
	for name, text := range brokenTrailers() {
		broken[name] = text
	}
	for name, text := range broken {
		for kind, call := range calls {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/kept=%v", name, kind, kept), func(t *testing.T) {
					t.Parallel()
					texts := []string{text}
					if kept {
						texts = []string{sound, text}
					}
					withResponses(t, texts, func(is *is.I, c *requester.Client, s *garbler.Server) {
						if kept {
							got, err := call(t, c)
							is.NoErr(err)
							is.Equal(got, "0001")
						}
						begun := time.Now()
						got, err := call(t, c)
						if kept && kind == "read" && err == nil {
							is.Equal(got, "0003") // a read that failed on a kept connection is repeated
						} else {
							var invalid inspector.ErrLine
							is.True(errors.As(err, &invalid))
						}
						is.True(time.Since(begun) < headTimeout)
						for range 2 {
							_, err = call(t, c)
							is.NoErr(err)
						}
						is.True(s.EndedConnection(len(texts)))
					})
				})
			}
		}
	}
}

// TestUnusualResponseIsSound guards against a response that is refused although the protocol
// allows its head.
func TestUnusualResponseIsSound(t *testing.T) {
	unusual := responses(garbler.UnusualStatusLines(), func(name, value string) []garbler.Fragment {
		var out []garbler.Fragment
		for _, f := range garbler.UnusualFieldLines() {
			out = append(out, garbler.Fragment{Name: f.Name, Text: name + ": " + value + "\r\n" + f.Text})
		}
		return out
	})
	for name, text := range unusual {
		for kind, call := range calls {
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				withResponses(t, []string{text, text}, func(is *is.I, c *requester.Client, s *garbler.Server) {
					want := okBody
					if strings.HasPrefix(name, "NoContent/") {
						want = ""
					}
					for range 2 {
						got, err := call(t, c)
						is.NoErr(err)
						is.Equal(got, want)
					}
					is.Equal(s.Requests(), 2)
					is.True(s.Conns() == 1 || strings.HasPrefix(name, "Connection/"))
				})
			})
		}
	}
}

// TestDialAfterBrokenResponse guards against a call that was not sent and is reported as one whose
// response is broken, as the response before was.
func TestDialAfterBrokenResponse(t *testing.T) {
	for kind, call := range calls {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			s, err := garbler.Start(ctx, garbler.Config{Respond: func(int, *http.Request) (string, bool) {
				return "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", false
			}})
			is.NoErr(err)
			c := requester.New(requester.Config{Network: connector.NewTCP(), Address: s.Address, Timeout: headTimeout})
			defer c.Close()
			_, err = call(t, c)
			var invalid inspector.ErrLine
			is.True(errors.As(err, &invalid))
			cancel()
			var notSent requester.ErrDial
			for begun := time.Now(); !errors.As(err, &notSent) && time.Since(begun) < headTimeout; {
				_, err = call(t, c) // the server may not have closed its listener yet
			}
			is.True(errors.As(err, &notSent))
			is.True(!errors.As(err, &invalid))
		})
	}
}
