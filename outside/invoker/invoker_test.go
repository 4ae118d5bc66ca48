package invoker_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/outside/invoker"
	"filbertstile.example/filbertstile/rigs/garbler"
	"filbertstile.example/filbertstile/transport/connector"
)

// recordingWriter records a response. It implements filbertstile.ResponseWriter.
type recordingWriter struct {
	status int
	body   []byte
}

func (w *recordingWriter) WriteHead(status int, _ string) error { w.status = status; return nil }
func (w *recordingWriter) WriteData(b []byte) error             { w.body = append(w.body, b...); return nil }

// withBackend runs f with a client of a backend server that responds with the text.
func withBackend(t *testing.T, kind filbertstile.ServiceKind, text string, f func(is *is.I, c *invoker.Client)) {
	t.Helper()
	is := is.New(t)
	s, err := garbler.Start(t.Context(), garbler.Config{Respond: func(int, *http.Request) (string, bool) { return text, false }})
	is.NoErr(err)
	c := invoker.New(invoker.Config{Address: s.Address, Network: connector.NewTCP(), Kind: kind})
	defer c.Close()
	f(is, c)
}

// TestBrokenResponseOfBackendIsNone guards against a response of which a part is passed on, or that
// counts as the state of the backend server, although its head breaks the protocol.
func TestBrokenResponseOfBackendIsNone(t *testing.T) {
	bodies := map[filbertstile.ServiceKind]string{
		filbertstile.ServicePlain: "{}",
		filbertstile.ServiceModel: "data: {\"choices\": [{\"delta\": {\"content\": \"token\"}}]}\n\ndata: [DONE]\n\n",
	}
	for kind, body := range bodies {
		length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		broken := make(map[string]string)
		for _, f := range garbler.StatusLines() {
			broken[f.Name] = f.Text + "\r\n" + length
		}
		for _, f := range garbler.FieldLines("X-Field", "x") {
			broken["Field/"+f.Name] = "HTTP/1.1 200 OK\r\n" + f.Text + "\r\n" + length
		}
		for name, text := range broken {
			t.Run(string(kind)+"/"+name, func(t *testing.T) {
				t.Parallel()
				withBackend(t, kind, text, func(is *is.I, c *invoker.Client) {
					w := &recordingWriter{}
					is.True(c.Run(t.Context(), filbertstile.BackendRequest{Method: http.MethodPost, Path: "/"}, w) != nil)
					is.Equal(*w, recordingWriter{})
					_, err := c.State(t.Context())
					is.True(err != nil)
					_, err = c.Load(t.Context(), filbertstile.LoadOrder{Chunks: [][]byte{{1}}})
					is.True(err != nil)
				})
			})
		}
	}
}

// TestUnusualStatusOfServiceIsPassedOn guards against a host that fails at a response without a
// body, or refuses a status that it does not know.
func TestUnusualStatusOfServiceIsPassedOn(t *testing.T) {
	for text, want := range map[string]recordingWriter{
		"HTTP/1.1 204 No Content\r\n\r\n":                        {status: http.StatusNoContent},
		"HTTP/1.1 304 Not Modified\r\n\r\n":                      {status: http.StatusNotModified},
		"HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n":             {status: http.StatusOK},
		"HTTP/1.1 477 Unknown\r\nContent-Length: 2\r\n\r\nno":    {status: 477, body: []byte("no")},
		"HTTP/1.1 599\r\n!~: \xe9\r\nContent-Length: 1\r\n\r\nx": {status: 599, body: []byte("x")},
	} {
		t.Run(fmt.Sprint(want.status), func(t *testing.T) {
			withBackend(t, filbertstile.ServicePlain, text, func(is *is.I, c *invoker.Client) {
				var got recordingWriter
				is.NoErr(c.Run(t.Context(), filbertstile.BackendRequest{Method: http.MethodGet, Path: "/"}, &got))
				is.Equal(got, want)
			})
		})
	}
}
