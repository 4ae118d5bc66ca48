// Package ticker runs a decision core. A single goroutine owns the core's state,
// collects the events that have arrived, ticks the core and executes its commands.
package ticker

import (
	"context"
	"time"
)

const (
	// inboxSize is the maximum number of queued events.
	inboxSize = 4096
	// maxBatch is the maximum number of events per tick.
	maxBatch = 1024
)

// Core makes the decisions. It does no I/O and reads no clock.
type Core[E, C any] interface {
	// Tick processes the events in order of arrival and returns commands.
	Tick(now time.Time, inbox []E) []C
}

// Config configures a Loop.
type Config[E, C any] struct {
	Core Core[E, C]
	// Execute executes one command. It must not block.
	Execute func(C)
	// IdleInterval is the time between ticks while no events arrive.
	IdleInterval time.Duration
	// Quiet, if not nil, is called after each tick. While it returns true, only events
	// change what the core decides, and QuietInterval replaces IdleInterval.
	Quiet         func() bool
	QuietInterval time.Duration
}

// interval returns the time until the next tick if no events arrive.
func (c Config[E, C]) interval() time.Duration {
	if c.Quiet != nil && c.Quiet() {
		return c.QuietInterval
	}
	return c.IdleInterval
}

// Loop runs a core.
type Loop[E, C any] struct {
	config      Config[E, C]
	inbox       chan E
	inspections chan func()
	done        chan struct{}
}

// New returns a loop. It does nothing until Run is called.
func New[E, C any](c Config[E, C]) *Loop[E, C] {
	return &Loop[E, C]{
		config:      c,
		inbox:       make(chan E, inboxSize),
		inspections: make(chan func()),
		done:        make(chan struct{}),
	}
}

// Post queues an event for the core and reports whether it was queued. It blocks
// while the inbox is full, and may return false only after Run has returned.
func (l *Loop[E, C]) Post(e E) bool {
	select {
	case l.inbox <- e:
		return true
	case <-l.done:
		return false
	}
}

// Inspect runs f on the loop's goroutine, between two ticks. It reports whether f
// ran, which is false if the loop has ended.
func (l *Loop[E, C]) Inspect(f func()) bool {
	ran := make(chan struct{})
	select {
	case l.inspections <- func() { f(); close(ran) }:
		<-ran
		return true
	case <-l.done:
		return false
	}
}

// Run ticks the core until the context ends.
func (l *Loop[E, C]) Run(ctx context.Context) {
	defer close(l.done)
	interval := l.config.IdleInterval
	idle := time.NewTicker(interval)
	defer idle.Stop()
	batch := make([]E, 0, maxBatch)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return
		case f := <-l.inspections:
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
		if next := l.config.interval(); next != interval {
			interval = next
			idle.Reset(interval)
		}
	}
}

// drain appends the queued events to the batch, up to maxBatch.
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
