// Package responder runs an HTTP server until its context ends.
package responder

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	readTimeout   = 30 * time.Second
	idleTimeout   = 60 * time.Second
	stopTimeout   = 30 * time.Second
	defaultBody   = 4 << 20
	contentJSON   = "application/json"
	maxHeaderSize = 16 << 10
)

// Config says what to serve.
type Config struct {
	Name    string
	Handler fasthttp.RequestHandler
	// MaxBodyBytes bounds request bodies; 0 means 4 MiB.
	MaxBodyBytes int
	// StreamBodies hands large bodies to the handler as they arrive.
	StreamBodies bool
}

// Serve answers until the context ends, then finishes the requests in hand.
func Serve(ctx context.Context, l net.Listener, c Config) error {
	limit := c.MaxBodyBytes
	if limit == 0 {
		limit = defaultBody
	}
	s := &fasthttp.Server{
		Handler:            c.Handler,
		Name:               c.Name,
		MaxRequestBodySize: limit,
		StreamRequestBody:  c.StreamBodies,
		ReadBufferSize:     maxHeaderSize,
		ReadTimeout:        readTimeout,
		IdleTimeout:        idleTimeout,
		CloseOnShutdown:    true,
		NoDefaultDate:      true,
		Logger:             silent{},
		ErrorHandler:       badRequest,
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	select {
	case err := <-done:
		return fmt.Errorf("serve http at %s: %w", l.Addr(), err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := s.ShutdownWithContext(stop); err != nil {
		return fmt.Errorf("stop http at %s: %w", l.Addr(), err)
	}
	return <-done
}

type silent struct{}

// Printf drops fasthttp's own remarks: what matters is logged as events.
func (silent) Printf(string, ...any) {}

// Problem is the body of an answer that is an error.
type Problem struct {
	Error ProblemDetail `json:"error"`
}

// ProblemDetail says what went wrong, in the shape that OpenAI clients read.
type ProblemDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Run says whether the request was run: NotRun, Ran or Unknown.
	Run string `json:"run,omitempty"`
	// Field names the input at fault.
	Field string `json:"field,omitempty"`
}

// WriteJSON answers with a JSON document.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentJSON)
	ctx.SetBody(body)
}

// WriteProblem answers with an error.
func WriteProblem(ctx *fasthttp.RequestCtx, status int, p ProblemDetail) {
	WriteJSON(ctx, status, Problem{Error: p})
}

func badRequest(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	if err == fasthttp.ErrBodyTooLarge {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	WriteProblem(ctx, status, ProblemDetail{Code: "BadRequest", Message: err.Error(), Run: "NotRun", Field: "request"})
}
