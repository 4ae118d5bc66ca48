// Package batcher simulates a model engine that runs requests in batches, for tests
// in virtual time. In each round the engine reads the prompts of the requests that have
// just got a slot, and writes one event for each running request. The duration of a
// round follows from the engine's spec.
package batcher

import (
	"context"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
)

// Config configures an Engine.
type Config struct {
	Spec filbertstile.EngineSpec
	// Slots is the maximum number of requests that run at the same time.
	Slots int
	// MaxQueued is the maximum number of requests that are queued for a slot.
	MaxQueued int
}

// Request is a request to the engine.
type Request struct {
	// PromptTokens is the length of the prompt, and Events the number of events of
	// the response.
	PromptTokens int
	Events       int
	// OnEvent is called for each event with its number, which starts at 1.
	OnEvent func(n int)

	// unread is the number of prompt tokens that have not been read yet.
	unread int
	// written is the number of events that have been written.
	written int
}

// Engine runs requests in batches.
type Engine struct {
	config Config

	mu      sync.Mutex
	queue   []*Request
	running []*Request
	wake    chan struct{}
}

// New returns an engine without requests.
func New(c Config) *Engine { return &Engine{config: c, wake: make(chan struct{}, 1)} }

// Submit queues a request and reports whether the queue had room for it.
func (e *Engine) Submit(r *Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) >= e.config.MaxQueued {
		return false
	}
	r.unread = r.PromptTokens
	e.queue = append(e.queue, r)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// Load returns the numbers of running and queued requests.
func (e *Engine) Load() (running, queued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), len(e.queue)
}

// Run runs requests until the context ends.
func (e *Engine) Run(ctx context.Context) {
	for {
		d := e.startRound()
		if d == 0 {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-time.After(d):
			e.finishRound()
		case <-ctx.Done():
			return
		}
	}
}

// startRound moves queued requests to free slots and returns the duration of the next
// round, which is 0 if no requests are running.
func (e *Engine) startRound() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.running) < e.config.Slots && len(e.queue) > 0 {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 {
		return 0
	}
	writing, tokens := 0, 0
	for _, r := range e.running {
		if r.unread == 0 {
			writing++
		}
		tokens += r.unread
	}
	duration := e.config.Spec.PrefillTime(tokens)
	if writing > 0 {
		duration += e.config.Spec.EventInterval(writing)
	}
	return duration
}

// finishRound writes one event for each running request and removes the requests that
// have written their last one. A request whose prompt was read in this round writes its
// first event.
func (e *Engine) finishRound() {
	e.mu.Lock()
	var callbacks []func()
	unfinished := e.running[:0]
	for _, r := range e.running {
		r.unread = 0
		r.written++
		n := r.written
		callbacks = append(callbacks, func() { r.OnEvent(n) })
		if n < r.Events {
			unfinished = append(unfinished, r)
		}
	}
	e.running = unfinished
	e.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
}
