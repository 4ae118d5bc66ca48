// Package responder runs HTTP servers and writes JSON responses.
package responder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile/base/collector"
	"filbertstile.example/filbertstile/transport/acceptor"
)

const (
	readTimeout = 30 * time.Second
	idleTimeout = 60 * time.Second
	// shutdownTimeout is the maximum time to wait for requests in flight on shutdown.
	shutdownTimeout     = 30 * time.Second
	defaultMaxBodyBytes = 4 << 20
	contentTypeJSON     = "application/json"
	maxHeaderBytes      = 16 << 10
	// writeTimeout is the maximum time in which a client receives a part of a response. Clients that
	// read nothing would keep their connections.
	writeTimeout = 30 * time.Second
)

// Config configures a server.
type Config struct {
	// Name is sent in the Server header of responses.
	Name    string
	Handler fasthttp.RequestHandler
	// MaxBodyBytes is the maximum size of a request body; 0 means 4 MiB.
	MaxBodyBytes int
	// StreamBodies is true if the handler reads large request bodies while they arrive.
	StreamBodies bool
	// Bodies is the memory for the bodies of all requests. Connections and heads are limited as
	// well if it is set; nil means no limits, for clients that are trusted.
	Bodies *collector.Memory
	// MaxConns and HeadBytes are those of acceptor.Config.
	MaxConns  int
	HeadBytes int64
}

// Serve serves requests until the context ends, and then waits for the requests in
// flight.
func Serve(ctx context.Context, l net.Listener, c Config) error {
	limit := c.MaxBodyBytes
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	s := &fasthttp.Server{
		Handler:            c.Handler,
		Name:               c.Name,
		MaxRequestBodySize: limit,
		StreamRequestBody:  c.StreamBodies,
		ReadBufferSize:     maxHeaderBytes,
		ReadTimeout:        readTimeout,
		IdleTimeout:        idleTimeout,
		CloseOnShutdown:    true,
		NoDefaultDate:      true,
		Logger:             discardLogger{},
		ErrorHandler:       writeBadRequest,
	}
	if c.Bodies != nil {
		l = acceptor.New(acceptor.Config{Listener: l, MaxConns: c.MaxConns, HeadBytes: c.HeadBytes, WriteTimeout: writeTimeout})
		s.StreamRequestBody, s.DisablePreParseMultipartForm = true, true
		s.Handler = collect(c.Handler, c.Bodies, limit)
		s.ConnState = func(conn net.Conn, state fasthttp.ConnState) {
			if a, ok := conn.(*acceptor.Conn); ok && state == fasthttp.StateIdle {
				a.AwaitHead()
			}
		}
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	select {
	case err := <-done:
		return fmt.Errorf("serve HTTP on %s: %w", l.Addr(), err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := s.ShutdownWithContext(shutdownCtx); err != nil {
		return fmt.Errorf("shut down HTTP server on %s: %w", l.Addr(), err)
	}
	return <-done
}

type discardLogger struct{}

// Printf discards fasthttp's log messages, as everything relevant is logged as events.
func (discardLogger) Printf(string, ...any) {}

// Problem is the body of an error response.
type Problem struct {
	Error ProblemDetail `json:"error"`
}

// ProblemDetail describes an error in the format that OpenAI clients expect.
type ProblemDetail struct {
	// Code is the stable error code.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Run says whether the request was run: NotRun, Ran or Unknown.
	Run string `json:"run,omitempty"`
	// Field is the name of the invalid input.
	Field string `json:"field,omitempty"`
}

// WriteJSON writes a response whose body is v in JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(body)
}

// WriteProblem writes an error response.
func WriteProblem(ctx *fasthttp.RequestCtx, status int, p ProblemDetail) {
	WriteJSON(ctx, status, Problem{Error: p})
}

// writeBadRequest responds to a request that fasthttp cannot read.
func writeBadRequest(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var tooLong collector.ErrTooLong
	if err == fasthttp.ErrBodyTooLarge || errors.As(err, &tooLong) {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	WriteProblem(ctx, status, ProblemDetail{Code: "BadRequest", Message: err.Error(), Run: "NotRun", Field: "request"})
}
