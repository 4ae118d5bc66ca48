package fetcher

import (
	"context"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/transport/messenger"
)

// HandleChunk sends a manifest, or a chunk if an upload slot is free.
func (f *Fetcher) HandleChunk(ctx context.Context, req *wire.Request, s *messenger.Stream) {
	digest := filbertstile.Digest(req.GetChunk().GetDigest())
	if raw := f.store.Manifest(digest); raw != nil {
		_ = s.SendContent(raw, f.config.PieceBytes)
		return
	}
	data := f.store.Chunk(digest)
	if data == nil {
		_ = s.Send(refusal(codeNotHeld))
		return
	}
	slots := f.uploadSlots
	if req.GetChunk().GetAcrossRegions() {
		slots = f.crossRegionSlots
	}
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		_ = s.Send(refusal(codeBusy))
		return
	}
	if f.uploadLimiter.WaitN(ctx, min(len(data), uploadBurstBytes)) != nil {
		return
	}
	_ = s.SendContent(data, f.config.PieceBytes)
}

func refusal(code string) *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_Refusal{Refusal: &wire.Refusal{Code: code, Run: string(filbertstile.NotRun)}}}
}

// HandleHoldings reports to a peer which chunks of a manifest the host holds, now and
// whenever chunks are added.
func (f *Fetcher) HandleHoldings(ctx context.Context, req *wire.Request, s *messenger.Stream) {
	digest := filbertstile.Digest(req.GetHoldings().GetManifest())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.wg.Go(func() {
		// The peer sends no frames, so Receive returns when the stream ends.
		_, _ = s.Receive()
		cancel()
	})
	var reported []bool
	for {
		held, changed := f.store.Held(digest)
		if held != nil {
			if s.Send(&wire.Frame{Kind: &wire.Frame_Holding{Holding: holdingUpdate(reported, held)}}) != nil {
				return
			}
			reported = held
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		if sleeper.Sleep(ctx, holdingBatchDelay) != nil {
			return
		}
	}
}

// holdingUpdate returns the held chunks that have not been reported. The first report,
// for which reported is nil, lists all held chunks as a bitmap.
func holdingUpdate(reported, held []bool) *wire.Holding {
	if reported == nil {
		bitmap := make([]byte, (len(held)+7)/8)
		for i, h := range held {
			if h {
				bitmap[i/8] |= 1 << (i % 8)
			}
		}
		return &wire.Holding{Bitmap: bitmap}
	}
	var added []uint32
	for i, h := range held {
		if h && !reported[i] {
			added = append(added, uint32(i))
		}
	}
	return &wire.Holding{Added: added}
}
