package imitator

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/outside/invoker"
	"filbertstile.example/filbertstile/transport/responder"
)

// PlainConfig configures a PlainService.
type PlainConfig struct {
	Name string
	// Delay is the duration of each call.
	Delay time.Duration
}

// PlainResponse is the body of a plain service's response. It describes the request.
type PlainResponse struct {
	Server    string
	RequestID string
	Method    string
	Path      string
	// BodyDigest is the digest of the request body, which shows whether the body
	// arrived complete.
	BodyDigest filbertstile.Digest
}

// PlainService is a stand-in for a plain service, whose calls are not necessarily
// idempotent.
type PlainService struct {
	config  PlainConfig
	mu      sync.Mutex
	journal []Execution
}

// NewPlainService returns a service with an empty journal.
func NewPlainService(c PlainConfig) *PlainService { return &PlainService{config: c} }

// Journal returns the calls that the service ran, in the order in which they started.
func (p *PlainService) Journal() []Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.journal)
}

// Serve serves requests until the context ends.
func (p *PlainService) Serve(ctx context.Context, l net.Listener) error {
	return responder.Serve(ctx, l, responder.Config{Name: p.config.Name, Handler: p.handle})
}

func (p *PlainService) handle(rc *fasthttp.RequestCtx) {
	if string(rc.Path()) == "/state" {
		responder.WriteJSON(rc, fasthttp.StatusOK, filbertstile.EngineState{})
		return
	}
	x := Execution{
		RequestID:      string(rc.Request.Header.Peek(invoker.HeaderRequestID)),
		IdempotencyKey: string(rc.Request.Header.Peek(invoker.HeaderIdempotencyKey)),
		Account:        string(rc.Request.Header.Peek(invoker.HeaderAccount)),
		Host:           p.config.Name,
		Method:         string(rc.Method()),
		BodyDigest:     filbertstile.DigestOf(rc.PostBody()),
		AcceptedAt:     time.Now(),
	}
	p.mu.Lock()
	p.journal = append(p.journal, x)
	index := len(p.journal) - 1
	p.mu.Unlock()
	time.Sleep(p.config.Delay)
	p.mu.Lock()
	p.journal[index].Finished = true
	p.mu.Unlock()
	responder.WriteJSON(rc, fasthttp.StatusOK, PlainResponse{
		Server: p.config.Name, RequestID: x.RequestID, Method: x.Method, Path: string(rc.Path()), BodyDigest: x.BodyDigest,
	})
}
