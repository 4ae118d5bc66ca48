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

// PlainConfig describes a plain service.
type PlainConfig struct {
	Name string
	// Delay is how long each call takes.
	Delay time.Duration
}

// PlainReply is what a plain service answers.
type PlainReply struct {
	Server    string
	RequestID string
	Method    string
	Path      string
	// BodyDigest proves that the body arrived whole.
	BodyDigest filbertstile.Digest
}

// PlainService is a stand-in for a plain service, some of whose calls may not
// be repeated.
type PlainService struct {
	config  PlainConfig
	mu      sync.Mutex
	journal []Execution
}

// NewPlainService returns a service that has run nothing.
func NewPlainService(c PlainConfig) *PlainService { return &PlainService{config: c} }

// Journal returns what truly ran.
func (p *PlainService) Journal() []Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.journal)
}

// Serve answers until the context ends.
func (p *PlainService) Serve(ctx context.Context, l net.Listener) error {
	return responder.Serve(ctx, l, responder.Config{Name: p.config.Name, Handler: p.handle})
}

func (p *PlainService) handle(rc *fasthttp.RequestCtx) {
	if string(rc.Path()) == "/state" {
		responder.WriteJSON(rc, fasthttp.StatusOK, filbertstile.EngineState{})
		return
	}
	x := Execution{
		RequestID:  string(rc.Request.Header.Peek(invoker.HeaderRequestID)),
		Key:        string(rc.Request.Header.Peek(invoker.HeaderIdempotencyKey)),
		Account:    string(rc.Request.Header.Peek(invoker.HeaderAccount)),
		Host:       p.config.Name,
		Method:     string(rc.Method()),
		BodyDigest: filbertstile.DigestOf(rc.PostBody()),
		At:         time.Now(),
	}
	p.mu.Lock()
	p.journal = append(p.journal, x)
	index := len(p.journal) - 1
	p.mu.Unlock()
	time.Sleep(p.config.Delay)
	p.mu.Lock()
	p.journal[index].Finished = true
	p.mu.Unlock()
	responder.WriteJSON(rc, fasthttp.StatusOK, PlainReply{
		Server: p.config.Name, RequestID: x.RequestID, Method: x.Method, Path: string(rc.Path()), BodyDigest: x.BodyDigest,
	})
}
