// Package journaler stores an ordered log in the object API. Entry N is an object
// that is created only if it does not exist yet. This fences off a stale writer: after
// a pause it finds that the next entry exists already.
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
	// Number is the position of the entry in the log, starting at 1.
	Number uint64
	// Version is the object's version in the store.
	Version uint64
	Value   []byte
}

// Log is the log that is stored under one prefix of the store.
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

// key returns the key of an entry. The number is padded with zeros so that keys sort
// in the order of the entries.
func (l *Log) key(number uint64) string { return fmt.Sprintf("%s%012d", l.prefix, number) }

// Append creates the entry with the number. It returns filbertstile.ErrConflict if
// another writer has created it, and filbertstile.ErrUncertain if the outcome is
// unknown.
func (l *Log) Append(ctx context.Context, number uint64, value []byte) (Entry, error) {
	o, err := l.store.Put(ctx, l.key(number), 0, value)
	if err != nil {
		return Entry{}, err
	}
	return Entry{Number: number, Version: o.Version, Value: value}, nil
}

// Read returns the entries with a number greater than after, and the revision of the
// store.
func (l *Log) Read(ctx context.Context, after uint64) ([]Entry, uint64, error) {
	afterKey := ""
	if after > 0 {
		afterKey = l.key(after)
	}
	b, err := l.store.List(ctx, l.prefix, afterKey)
	if err != nil {
		return nil, 0, err
	}
	entries, err := l.Parse(b)
	return entries, b.Revision, err
}

// Parse returns the entries that the objects of a batch hold.
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

// Delete deletes an entry. An entry that has been deleted already is not an error.
func (l *Log) Delete(ctx context.Context, e Entry) error {
	err := l.store.Delete(ctx, l.key(e.Number), e.Version)
	var conflict filbertstile.ErrConflict
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}
