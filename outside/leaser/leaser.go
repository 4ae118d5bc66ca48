// Package leaser implements a lease that is stored in the object API. The holder
// measures the lease's duration from before it sent the last renewal, other processes
// from when they first saw it, so that clocks need not be synchronized.
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

// Document is the value of the lease object.
type Document struct {
	Holder string
	// Epoch is incremented each time the lease is acquired.
	Epoch uint64
	// Nonce makes the value of each write unique, as filbertstile.Store requires.
	Nonce string
}

// Config configures a Lease.
type Config struct {
	Store filbertstile.Store
	// Key is the key of the lease object.
	Key string
	// Holder is the name of this process.
	Holder string
	// Duration is how long the lease is valid after a renewal.
	Duration time.Duration
	// Margin is how much earlier than that the holder itself considers the lease
	// expired.
	Margin time.Duration
}

// Lease is the lease as seen by one process. It is not safe for concurrent use.
type Lease struct {
	config Config
	// seenVersion is the version of the lease object last seen, and seenAt the time at
	// which that version was first seen.
	seenVersion uint64
	seenAt      time.Time
	// doc is the value of the lease object at seenVersion.
	doc Document
	// heldUntil is when this process stops being the holder; zero or in the past if it
	// is not the holder.
	heldUntil time.Time
}

// New returns a lease that is not held.
func New(c Config) *Lease { return &Lease{config: c} }

// Held returns the epoch of the lease, and whether the process holds the lease at the
// given time.
func (l *Lease) Held(now time.Time) (uint64, bool) {
	return l.doc.Epoch, now.Before(l.heldUntil)
}

// HeldUntil returns the time at which the process stops being the holder unless it
// renews the lease. It is zero or in the past if the process is not the holder.
func (l *Lease) HeldUntil() time.Time { return l.heldUntil }

// AcquireOrRenew renews the lease if the process holds it, and otherwise acquires it if
// it has expired. It must be called repeatedly: a lease counts as expired only after
// the same version has been seen for longer than the lease's duration.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	if _, held := l.Held(time.Now()); held {
		return l.write(ctx, l.doc.Epoch)
	}
	o, err := l.config.Store.Get(ctx, l.config.Key)
	var notFound filbertstile.ErrNotFound
	if errors.As(err, &notFound) {
		l.seenVersion = 0
		return l.write(ctx, 1)
	}
	if err != nil {
		return err
	}
	var doc Document
	if err := json.Unmarshal(o.Value, &doc); err != nil {
		return fmt.Errorf("decode lease %s: %w", l.config.Key, err)
	}
	if o.Version != l.seenVersion {
		l.seenVersion = o.Version
		l.seenAt = time.Now()
		l.doc = doc
		return nil
	}
	if time.Since(l.seenAt) <= l.config.Duration {
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
	ctx, cancel := context.WithTimeout(ctx, l.config.Duration-l.config.Margin)
	defer cancel()
	o, err := l.config.Store.Put(ctx, l.config.Key, l.seenVersion, value)
	if err != nil {
		l.heldUntil = time.Time{}
		return err
	}
	l.seenVersion = o.Version
	l.seenAt = time.Now()
	l.doc = doc
	l.heldUntil = started.Add(l.config.Duration - l.config.Margin)
	return nil
}
