package exchanger

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
)

// ErrHead reports the head of a response that net/http accepts and that doesn't tell whose the
// response is or where it ends.
type ErrHead struct {
	// Line is the part of the head.
	Line string
	// Problem is what is wrong with it.
	Problem string
}

// Error returns a message with the line and the problem.
func (e ErrHead) Error() string { return fmt.Sprintf("response head: %q %s", e.Line, e.Problem) }

// checkHead returns an error if the head has something that net/http accepts and that may come
// from a head that was cut short, or hides how long the body is.
func checkHead(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return ErrHead{Line: r.Proto, Problem: "is another protocol"}
	case r.StatusCode < http.StatusContinue || r.StatusCode == http.StatusSwitchingProtocols:
		return ErrHead{Line: r.Status, Problem: "is no status that was asked for"}
	case hasStatusLine(r.Status):
		return ErrHead{Line: r.Status, Problem: "contains another response"}
	}
	for name, values := range r.Header {
		if strings.Contains(name, " ") {
			return ErrHead{Line: name, Problem: "is no name of a field"}
		}
		for _, v := range values {
			if hasStatusLine(v) {
				return ErrHead{Line: name + ": " + v, Problem: "contains another response"}
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
