// Package batcher is a model of an engine that works through requests in
// batches, for tests in virtual time: each pass reads prompts and writes one event
// for every request that has been read, and takes as long as the engine's figures
// say. Only tests use it.
package batcher

import (
	"context"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
)

// Config describes an engine.
type Config struct {
	Spec  filbertstile.EngineSpec
	Slots int
	// Queue is the number of requests that wait for a slot.
	Queue int
}

// Request is work for the engine.
type Request struct {
	// Tokens is the length of the prompt, Events that of the answer.
	Tokens int
	Events int
	// Event is called for each event, from the first one.
	Event func(n int)

	unread int
	events int
}

// Engine works through requests.
type Engine struct {
	config Config

	mu      sync.Mutex
	waiting []*Request
	running []*Request
	wake    chan struct{}
}

// New returns an engine without work.
func New(c Config) *Engine { return &Engine{config: c, wake: make(chan struct{}, 1)} }

// Submit hands a request over, and reports whether the engine takes it.
func (e *Engine) Submit(r *Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) >= e.config.Queue {
		return false
	}
	r.unread = r.Tokens
	e.waiting = append(e.waiting, r)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// Load returns the requests that run and wait.
func (e *Engine) Load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), len(e.waiting)
}

// Run works until the context ends.
func (e *Engine) Run(ctx context.Context) {
	for {
		took := e.begin()
		if took == 0 {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-time.After(took):
			e.finish()
		case <-ctx.Done():
			return
		}
	}
}

// begin admits what has a slot and returns the length of the next pass.
func (e *Engine) begin() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.running) < e.config.Slots && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		return 0
	}
	writers, tokens := 0, 0
	for _, r := range e.running {
		if r.unread == 0 {
			writers++
		}
		tokens += r.unread
	}
	out := e.config.Spec.PrefillTime(tokens)
	if writers > 0 {
		out += e.config.Spec.EventInterval(writers)
	}
	return out
}

// finish ends the pass: what was read writes its first event, what had been read
// before writes its next one.
func (e *Engine) finish() {
	e.mu.Lock()
	var told []func()
	kept := e.running[:0]
	for _, r := range e.running {
		r.unread = 0
		r.events++
		n := r.events
		told = append(told, func() { r.Event(n) })
		if n < r.Events {
			kept = append(kept, r)
		}
	}
	e.running = kept
	e.mu.Unlock()
	for _, f := range told {
		f()
	}
}
