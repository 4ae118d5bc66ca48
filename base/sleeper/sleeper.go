// Package sleeper waits, unless the context ends first.
package sleeper

import (
	"context"
	"time"
)

// Sleep returns nil after the duration, or the context's error.
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
