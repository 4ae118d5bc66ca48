package sharer

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/outside/tracker"
)

const (
	// largeUpdateBytes is the size from which the objects of an update are sent compressed.
	largeUpdateBytes = 32 << 10
	// maxObjectsBytes is the maximum size of decompressed objects.
	maxObjectsBytes = 20 << 20
)

// compressor compresses the objects of updates. Followers that were up to date all need the
// same update, so the last result of each prefix is kept.
type compressor struct {
	mu   sync.Mutex
	last map[string]compressed
}

// compressed is the result for an update.
type compressed struct {
	era, from, revision uint64
	complete            bool
	data                []byte
}

func newCompressor() *compressor { return &compressor{last: make(map[string]compressed)} }

// compress returns the compressed objects of an update of the copy with the prefix.
func (c *compressor) compress(prefix string, u tracker.Update) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, ok := c.last[prefix]
	if ok && last.era == u.Era && last.revision == u.Revision && last.complete == u.Complete && (last.complete || last.from == u.From) {
		return last.data
	}
	out := compressed{era: u.Era, from: u.From, revision: u.Revision, complete: u.Complete, data: compressObjects(storedObjects(u))}
	c.last[prefix] = out
	return out.data
}

// compressObjects returns the objects as compressed wire.StoredObjects.
func compressObjects(objects []*wire.StoredObject) []byte {
	plain, err := proto.Marshal(&wire.StoredObjects{Objects: objects})
	if err != nil {
		panic(err) // keys are valid UTF-8: they were decoded from JSON
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	_, _ = w.Write(plain) // a write to a buffer always succeeds
	_ = w.Close()
	return out.Bytes()
}

// errTooLarge reports objects that are larger than maxObjectsBytes.
var errTooLarge = errors.New("decompress objects: too large")

// decompress returns the objects that compressObjects has compressed.
func decompress(data []byte) ([]*wire.StoredObject, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxObjectsBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress objects: %w", err)
	}
	if len(plain) > maxObjectsBytes {
		return nil, errTooLarge
	}
	var out wire.StoredObjects
	if err := proto.Unmarshal(plain, &out); err != nil {
		return nil, fmt.Errorf("decode decompressed objects: %w", err)
	}
	return out.GetObjects(), nil
}

// isLarge reports whether the objects of the update are sent compressed.
func isLarge(u tracker.Update) bool {
	size := 0
	for _, o := range u.Objects {
		size += len(o.Key) + len(o.Value)
	}
	return size >= largeUpdateBytes
}

func storedObjects(u tracker.Update) []*wire.StoredObject {
	var out []*wire.StoredObject
	for _, o := range u.Objects {
		out = append(out, &wire.StoredObject{Key: o.Key, Version: o.Version, Value: o.Value, Removed: o.Removed})
	}
	return out
}
