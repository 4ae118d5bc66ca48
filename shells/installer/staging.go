package installer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
)

const (
	// maxReadPasses is the maximum number of times that chunks are read back for an order.
	maxReadPasses = 4
	// maxWorkers is the maximum number of calls to the engine at the same time.
	maxWorkers = 16
)

// chunkState is what is known of a chunk at the engine.
type chunkState struct {
	staged bool
	// read is true if the chunk was read back intact, in a call that began at readAt on
	// Config.Clock.
	read   bool
	readAt time.Duration
}

// staging is what is known of the chunks of a version that are staged at the engine.
type staging struct {
	weights filbertstile.WeightsVersion
	// workers is the number of calls to make at the same time, so that all chunks can be read
	// back within half of maxReadAge.
	workers int

	mu     sync.Mutex
	chunks []chunkState
	// writes is the number of chunks that were sent to the engine.
	writes int
}

// newStaging returns the state of a version of which nothing is known to be staged.
func newStaging(w filbertstile.WeightsVersion, chunks int) *staging {
	return &staging{weights: w, workers: 1, chunks: make([]chunkState, chunks)}
}

// find returns the chunks whose state fits.
func (s *staging) find(fits func(chunkState) bool) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []int
	for n, c := range s.chunks {
		if fits(c) {
			out = append(out, n)
		}
	}
	return out
}

// outdated returns the chunks that were read back more than maxReadAge before now, or not at all.
func (s *staging) outdated(now time.Duration) []int {
	return s.find(func(c chunkState) bool { return !c.read || now-c.readAt > maxReadAge })
}

// age returns the time since the chunk that was read back first.
func (s *staging) age(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out time.Duration
	for _, c := range s.chunks {
		out = max(out, now-c.readAt)
	}
	return out
}

// update replaces the state of a chunk.
func (s *staging) update(n int, c chunkState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chunks[n] = c
}

// countWrite records that a chunk is being sent to the engine.
func (s *staging) countWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
}

// writeCount returns the number of chunks that were sent to the engine.
func (s *staging) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// ensureStaged stages the chunks that are not staged yet, and reads all of them back until each was
// intact within maxReadAge. A chunk that is missing or corrupt is staged again. If the engine is
// too slow, the first chunks that were read are older when it returns.
func (i *Installer) ensureStaged(ctx context.Context, m filbertstile.Manifest, chunks [][]byte) error {
	unstaged := i.staging.find(func(c chunkState) bool { return !c.staged })
	if err := i.forEach(ctx, unstaged, func(ctx context.Context, n int) error { return i.stage(ctx, n, chunks[n]) }); err != nil {
		return err
	}
	for range maxReadPasses {
		outdated := i.staging.outdated(i.config.Clock())
		if len(outdated) == 0 {
			return nil
		}
		err := i.forEach(ctx, outdated, func(ctx context.Context, n int) error {
			intact, err := i.read(ctx, n, m.Chunks[n])
			if intact || err != nil {
				return err
			}
			return i.stage(ctx, n, chunks[n])
		})
		if err != nil {
			return err
		}
	}
	if corrupt := i.staging.find(func(c chunkState) bool { return !c.read }); len(corrupt) > 0 {
		return filbertstile.ErrDigest{Step: "stage chunk", Peer: "engine", Want: m.Chunks[corrupt[0]].Digest}
	}
	return nil
}

// stage stores a chunk at the engine.
func (i *Installer) stage(ctx context.Context, n int, data []byte) error {
	i.staging.countWrite()
	if err := i.config.Engine.Stage(ctx, i.staging.weights.Model, n, data); err != nil {
		return err
	}
	i.staging.update(n, chunkState{staged: true})
	return nil
}

// read reads a chunk back and reports whether it is staged and intact.
func (i *Installer) read(ctx context.Context, n int, ref filbertstile.ChunkRef) (intact bool, err error) {
	at := i.config.Clock()
	w := i.staging.weights
	data, err := i.config.Engine.Staged(ctx, w.Model, n)
	var missing filbertstile.ErrNotFound
	if errors.As(err, &missing) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if filbertstile.DigestOf(data) != ref.Digest {
		i.config.Log.Event(reporter.ChunkRestaged, reporter.Fields{"Model": w.Model, "Version": w.Version, "Chunk": n})
		return false, nil
	}
	i.staging.update(n, chunkState{staged: true, read: true, readAt: at})
	return true, nil
}

// readAll reads all chunks back and reports whether all of them are staged and intact.
func (i *Installer) readAll(ctx context.Context, m filbertstile.Manifest) (intact bool, err error) {
	all := make([]int, len(m.Chunks))
	for n := range all {
		all[n] = n
	}
	var mu sync.Mutex
	intact = true
	err = i.forEach(ctx, all, func(ctx context.Context, n int) error {
		ok, err := i.read(ctx, n, m.Chunks[n])
		mu.Lock()
		defer mu.Unlock()
		intact = intact && ok
		return err
	})
	return intact, err
}

// forEach calls f for each chunk listed until one fails, and returns the first error. It makes as
// many calls at the same time as it takes to read all chunks back in time.
func (i *Installer) forEach(ctx context.Context, list []int, f func(ctx context.Context, n int) error) error {
	for batch := range slices.Chunk(list, maxWorkers) {
		began := i.config.Clock()
		group, groupCtx := errgroup.WithContext(ctx)
		group.SetLimit(i.staging.workers)
		for _, n := range batch {
			group.Go(func() error { return f(groupCtx, n) })
		}
		if err := group.Wait(); err != nil {
			return err
		}
		perCall := (i.config.Clock() - began) * time.Duration(i.staging.workers) / time.Duration(len(batch))
		needed := 1 + int(perCall*time.Duration(len(i.staging.chunks))/(maxReadAge/2))
		i.staging.workers = min(maxWorkers, max(i.staging.workers, needed))
	}
	return nil
}
