package exchanger_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/outside/exchanger"
)

// heads are the heads of responses with the body "ok", in each form.
var heads = map[string]string{
	"Length":     "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Other: some text\r\nContent-Length: 2\r\n\r\n",
	"Connection": "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Other: some text\r\n\r\n",
	"BareLines":  "HTTP/1.1 200 OK\nX-Id: ID\nX-Other: some text\nContent-Length: 2\n\n",
	"IDLast":     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Other: some text\r\nX-Id: ID\r\n\r\n",
	"Hints":      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\n",
}

// TestResponseAfterCutHead guards against a head that is cut short and goes on in the next
// response on the connection, so that the body of that one is taken for the body of the first.
func TestResponseAfterCutHead(t *testing.T) {
	others := map[string]string{
		"OtherRequest": "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother",
		"NoID":         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
		"SameRequest":  "HTTP/1.1 500 Internal Server Error\r\nX-Id: ID\r\nContent-Length: 5\r\n\r\nother",
		"NoReason":     "HTTP/1.1 500\r\nX-Id: ID\r\nContent-Length: 5\r\n\r\nother",
	}
	for form, head := range heads {
		for name, other := range others {
			for _, kept := range []bool{false, true} {
				t.Run(form+"/"+name, func(t *testing.T) {
					for cut := range head {
						checkCutHead(t, head[:cut], other, kept)
					}
				})
			}
		}
	}
}

// checkCutHead checks that nothing of the other response is taken as the one that begins with
// the part of a head.
func checkCutHead(t *testing.T, part, other string, kept bool) {
	t.Helper()
	if part == "" || strings.HasSuffix(part, "\r\n\r\n") {
		return // the other response stands by itself
	}
	responses, id := []string{part + other + "close"}, "1"
	if kept {
		responses = append([]string{okResponse}, responses...)
	}
	withServer(t, responses, func(is *is.I, c *exchanger.Client, address string, _ *server) {
		if kept {
			_, err := do(c, address, id)
			is.NoErr(err)
			id = "2"
		}
		got, err := do(c, address, id)
		if err == nil {
			t.Errorf("after %q: got %q", part, got)
		}
	})
}

// TestHeadWithoutKnownEnd guards against a response that is taken as complete although its head
// doesn't tell where it ends.
func TestHeadWithoutKnownEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\n"
	for name, text := range map[string]string{
		"SpaceBeforeColon":         head + "Content-Length : 17\r\n\r\nok",
		"SpaceBeforeColonOfChunks": head + "Transfer-Encoding : chunked\r\n\r\n11\r\nok",
		"CutCoding":                head + "Transfer-Encoding: chunke\r\n\r\n11\r\nok",
		"OtherCoding":              head + "Transfer-Encoding: gzip, chunked\r\n\r\n11\r\nok",
		"NoCoding":                 head + "Transfer-Encoding:\r\n\r\nok",
		"TwoLengths":               head + "Content-Length: 2\r\nContent-Length: 17\r\n\r\nok",
		"ListOfLengths":            head + "Content-Length: 2, 2\r\n\r\nok",
		"NoLength":                 head + "Content-Length:\r\n\r\nok",
		"LengthAndChunks":          head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nok",
		"TwoIDs":                   head + "X-Id: other\r\nContent-Length: 2\r\n\r\nok",
		"OtherProtocol":            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
		"OtherVersion":             strings.Replace(head, "1.1", "3.1", 1) + "Content-Length: 2\r\n\r\nok",
		"StatusOutOfRange":         "HTTP/1.1 099 OK\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
		"CutTrailer":               head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Trail: x\r\n",
		"CutLastChunk":             head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			withServer(t, []string{text + "close"}, func(is *is.I, c *exchanger.Client, address string, _ *server) {
				_, err := do(c, address, "1")
				is.True(err != nil)
			})
		})
	}
}

// TestResponseToHEADIsComplete guards against a response to HEAD without a length that counts as
// one whose body ends with its connection, and so as an empty one.
func TestResponseToHEADIsComplete(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nKeep-Alive: timeout=5\r\n\r\n"
	withServer(t, []string{response, response}, func(is *is.I, c *exchanger.Client, address string, s *server) {
		for _, id := range []string{"1", "2"} {
			r := request(id)
			r.Method = http.MethodHead
			e, err := c.Do(t.Context(), address, r)
			is.NoErr(err)
			is.True(!e.EndsWithConnection())
			_, err = io.ReadAll(e)
			is.NoErr(err)
			e.Close()
		}
		is.Equal(int(s.conns.Load()), 1)
	})
}
