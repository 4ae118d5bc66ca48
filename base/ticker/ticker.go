// Package ticker runs a decision core: one goroutine owns the core's tables,
// gathers what arrived, ticks the core and carries out its commands.
package ticker

import (
	"context"
	"time"
)

const (
	inboxDepth = 4096
	maxBatch   = 1024
)

// Core decides. It does no I/O and reads no clock.
type Core[E, C any] interface {
	// Tick takes in the events in order of arrival and returns commands.
	Tick(now time.Time, inbox []E) []C
}

// Config puts a loop together.
type Config[E, C any] struct {
	Core Core[E, C]
	// Execute carries out one command; it must not block.
	Execute func(C)
	// Idle is the time between ticks while nothing arrives.
	Idle time.Duration
}

// Loop owns a core.
type Loop[E, C any] struct {
	config Config[E, C]
	inbox  chan E
	calls  chan func()
	done   chan struct{}
}

// New returns a loop that does not run yet.
func New[E, C any](c Config[E, C]) *Loop[E, C] {
	return &Loop[E, C]{
		config: c,
		inbox:  make(chan E, inboxDepth),
		calls:  make(chan func()),
		done:   make(chan struct{}),
	}
}

// Post hands an event to the core, and reports whether the loop took it.
func (l *Loop[E, C]) Post(e E) bool {
	select {
	case l.inbox <- e:
		return true
	case <-l.done:
		return false
	}
}

// Inspect runs the function between two ticks, on the loop's goroutine.
func (l *Loop[E, C]) Inspect(f func()) bool {
	ran := make(chan struct{})
	select {
	case l.calls <- func() { f(); close(ran) }:
		<-ran
		return true
	case <-l.done:
		return false
	}
}

// Run ticks the core until the context ends.
func (l *Loop[E, C]) Run(ctx context.Context) {
	defer close(l.done)
	idle := time.NewTicker(l.config.Idle)
	defer idle.Stop()
	batch := make([]E, 0, maxBatch)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return
		case f := <-l.calls:
			f()
			continue
		case e := <-l.inbox:
			batch = append(batch, e)
		case <-idle.C:
		}
		batch = l.drain(batch)
		for _, c := range l.config.Core.Tick(time.Now(), batch) {
			l.config.Execute(c)
		}
	}
}

func (l *Loop[E, C]) drain(batch []E) []E {
	for len(batch) < maxBatch {
		select {
		case e := <-l.inbox:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}
