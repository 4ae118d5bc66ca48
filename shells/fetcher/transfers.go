package fetcher

import (
	"context"

	"filbertstile.example/filbertstile"
)

// transferContext is the context of the fetches of a manifest.
type transferContext struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// transferContext returns the context of the fetches of a manifest, which ends when the
// manifest is dropped: the links are then needed for newer ones.
func (f *Fetcher) transferContext(manifest filbertstile.Digest) context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	t, ok := f.transfers[manifest]
	if !ok {
		t.ctx, t.cancel = context.WithCancel(f.ctx)
		f.transfers[manifest] = t
	}
	return t.ctx
}

// cancelTransfer ends the fetches of a manifest.
func (f *Fetcher) cancelTransfer(manifest filbertstile.Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t, ok := f.transfers[manifest]; ok {
		t.cancel()
		delete(f.transfers, manifest)
	}
}
