package peerrunner

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"filbertstile.example/filbertstile"
)

const (
	// maxStagedReads is the maximum number of chunks that are read back from the engine at the
	// same time after a start, and stagedReadTimeout the time after which they are read again
	// with the next update: what operators choose meanwhile must not wait for them.
	maxStagedReads    = 8
	stagedReadTimeout = time.Second
)

// stagedChunk identifies a chunk that was read back from the engine.
type stagedChunk struct {
	manifest filbertstile.Digest
	index    int
}

// addStagedChunks adds the chunks that were staged at the engine before this process
// started, so that they need not be transferred again.
func (p *Peer) addStagedChunks(ctx context.Context, w filbertstile.WeightsVersion) {
	digest, ok := p.weightSource.digest(w)
	r := p.report.Load()
	if p.stagedChunksAdded || !ok || r == nil {
		return
	}
	manifest := p.weightSource.cachedManifest(digest)
	if manifest == nil {
		return
	}
	p.stagedChunksAdded = p.readStagedChunks(ctx, w.Model, digest, manifest) == nil
}

// readStagedChunks adds the chunks of the manifest that are staged at the engine. An engine may
// hold any part of them.
func (p *Peer) readStagedChunks(ctx context.Context, model string, digest filbertstile.Digest, m *filbertstile.Manifest) error {
	f := p.fetcher.Load()
	ctx, cancel := context.WithTimeout(ctx, stagedReadTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxStagedReads)
	for i, ref := range m.Chunks {
		key := stagedChunk{manifest: digest, index: i}
		if _, read := p.stagedRead.Load(key); read {
			continue
		}
		group.Go(func() error {
			data, err := p.config.Engine.Staged(ctx, model, i)
			var missing filbertstile.ErrNotFound
			if errors.As(err, &missing) {
				p.stagedRead.Store(key, true)
				return nil
			}
			if err != nil {
				return err // the engine is asked again with the next update
			}
			p.stagedRead.Store(key, true)
			_ = f.AddChunk(digest, i, ref, data) // the chunk may be of another version or corrupt
			return nil
		})
	}
	return group.Wait()
}
