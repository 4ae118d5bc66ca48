// Package journaler keeps an ordered log in the object API: entry N is an
// object that is created only if no other writer has created it. The missing
// object is the fence: a writer that was paused finds its number taken.
package journaler

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"filbertstile.example/filbertstile"
)

// Entry is one entry of the log.
type Entry struct {
	// Number counts from 1.
	Number uint64
	// Version is the object's version in the store.
	Version uint64
	Value   []byte
}

// Log is a log under one prefix of the store.
type Log struct {
	store  filbertstile.Store
	prefix string
}

// New returns the log under the prefix.
func New(store filbertstile.Store, prefix string) *Log {
	return &Log{store: store, prefix: prefix}
}

// Prefix returns the prefix of the log's objects.
func (l *Log) Prefix() string { return l.prefix }

// key pads the number, so that the order of keys is the order of entries.
func (l *Log) key(number uint64) string { return fmt.Sprintf("%s%012d", l.prefix, number) }

// Append creates the entry. It returns filbertstile.ErrConflict if another
// writer has created it, and filbertstile.ErrUncertain if nobody can tell.
func (l *Log) Append(ctx context.Context, number uint64, value []byte) (Entry, error) {
	o, err := l.store.Put(ctx, l.key(number), 0, value)
	if err != nil {
		return Entry{}, err
	}
	return Entry{Number: number, Version: o.Version, Value: value}, nil
}

// Read returns the entries after the number, and the store's revision.
func (l *Log) Read(ctx context.Context, after uint64) ([]Entry, uint64, error) {
	from := ""
	if after > 0 {
		from = l.key(after)
	}
	b, err := l.store.List(ctx, l.prefix, from)
	if err != nil {
		return nil, 0, err
	}
	entries, err := l.Parse(b)
	return entries, b.Revision, err
}

// Parse returns the entries of a batch.
func (l *Log) Parse(b filbertstile.Batch) ([]Entry, error) {
	entries := make([]Entry, 0, len(b.Objects))
	for _, o := range b.Objects {
		n, err := strconv.ParseUint(strings.TrimPrefix(o.Key, l.prefix), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("parse log entry %q: %w", o.Key, err)
		}
		entries = append(entries, Entry{Number: n, Version: o.Version, Value: o.Value})
	}
	return entries, nil
}

// Trim deletes an entry that nobody needs any more.
func (l *Log) Trim(ctx context.Context, e Entry) error {
	err := l.store.Delete(ctx, l.key(e.Number), e.Version)
	var gone filbertstile.ErrConflict
	if errors.As(err, &gone) {
		return nil
	}
	return err
}
