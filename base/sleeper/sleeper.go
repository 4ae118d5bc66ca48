// Package sleeper provides a sleep that ends early when a context is done.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for the duration and returns nil, or returns the context's error if
// the context is done first.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
