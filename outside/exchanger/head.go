package exchanger

import (
	"net/http"
	"regexp"
	"strings"

	"filbertstile.example/filbertstile/outside/inspector"
)

// checkHead returns an error if the head, whose lines are valid, may come from one that was cut
// short: it then doesn't tell whose the response is or where it ends.
func checkHead(r *http.Response) error {
	const problem = "contains another response"
	if hasStatusLine(r.Status) {
		return inspector.ErrLine{Line: r.Status, Problem: problem}
	}
	for name, values := range r.Header {
		for _, v := range values {
			if hasStatusLine(v) {
				return inspector.ErrLine{Line: name + ": " + v, Problem: problem}
			}
		}
	}
	return nil
}

// statusLine matches the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[0-9] [0-9]{3}( |$)`)

// hasStatusLine reports whether a status line begins within s, as in a line that was cut short
// and is followed by another response.
func hasStatusLine(s string) bool {
	return strings.Contains(s, "HTTP/1.") && statusLine.MatchString(s)
}
