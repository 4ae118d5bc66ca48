// Package leaser keeps a lease in the object API. The holder counts from the
// moment before its last renewal was sent, others from the moment at which
// they saw it, so that clocks need not agree.
package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"filbertstile.example/filbertstile"
)

// Document is the lease object's value.
type Document struct {
	Holder string
	// Epoch grows each time the lease changes hands.
	Epoch uint64
	Nonce string
}

// Config describes a lease.
type Config struct {
	Store filbertstile.Store
	Key   string
	// Holder is the name of this process.
	Holder string
	// Term is how long a renewal counts.
	Term time.Duration
	// Margin is how much earlier the holder itself stops relying on it.
	Margin time.Duration
}

// Lease is one process's relation to the lease.
type Lease struct {
	config Config
	// seen is the version last seen, and seenAt when it was first seen.
	seen   uint64
	seenAt time.Time
	doc    Document
	// until is when this process stops being the holder; zero if it is not.
	until time.Time
}

// New returns a lease that is not held.
func New(c Config) *Lease { return &Lease{config: c} }

// Held returns the epoch if the process holds the lease at the moment.
func (l *Lease) Held(now time.Time) (uint64, bool) {
	return l.doc.Epoch, now.Before(l.until)
}

// Until returns when the process stops being the holder.
func (l *Lease) Until() time.Time { return l.until }

// Step renews the lease, or takes it over if its term has passed.
func (l *Lease) Step(ctx context.Context) error {
	if _, held := l.Held(time.Now()); held {
		return l.write(ctx, l.doc.Epoch)
	}
	o, err := l.config.Store.Get(ctx, l.config.Key)
	var none filbertstile.ErrNotFound
	if errors.As(err, &none) {
		l.seen = 0
		return l.write(ctx, 1)
	}
	if err != nil {
		return err
	}
	var doc Document
	if err := json.Unmarshal(o.Value, &doc); err != nil {
		return fmt.Errorf("decode lease %s: %w", l.config.Key, err)
	}
	if o.Version != l.seen {
		l.seen = o.Version
		l.seenAt = time.Now()
		l.doc = doc
		return nil
	}
	if time.Since(l.seenAt) <= l.config.Term {
		return nil
	}
	return l.write(ctx, doc.Epoch+1)
}

func (l *Lease) write(ctx context.Context, epoch uint64) error {
	doc := Document{Holder: l.config.Holder, Epoch: epoch, Nonce: uuid.NewString()}
	value, err := json.Marshal(doc)
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, l.config.Term-l.config.Margin)
	defer cancel()
	o, err := l.config.Store.Put(ctx, l.config.Key, l.seen, value)
	if err != nil {
		l.until = time.Time{}
		return err
	}
	l.seen = o.Version
	l.seenAt = time.Now()
	l.doc = doc
	l.until = started.Add(l.config.Term - l.config.Margin)
	return nil
}
