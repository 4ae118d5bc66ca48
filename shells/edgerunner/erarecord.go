package edgerunner

import (
	"context"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/outside/tracker"
)

const (
	// recordRetryDelay is the delay after a read or write of the record that failed, and
	// recordTimeout how long either may take.
	recordRetryDelay = 200 * time.Millisecond
	recordTimeout    = time.Second
)

// writtenSince reports whether the configuration of the copy was written after the revision.
func writtenSince(t *tracker.Tracker[filbertstile.Routing], revision uint64) bool {
	for _, w := range t.Written() {
		if w.Revision > revision {
			return true
		}
	}
	return false
}

// keepEraRecord reads the record in each era that is new to the entry and, if the entry reads the store,
// writes it after a comparison in a later era than the recorded one, until the context ends.
func (e *Edge) keepEraRecord(ctx context.Context) {
	for {
		select {
		case <-e.recordRequested:
		case <-ctx.Done():
			return
		}
		if err := e.updateEraRecord(ctx); err != nil && ctx.Err() == nil {
			e.config.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "record the store's era", "Error": err})
			if sleeper.Sleep(ctx, recordRetryDelay) != nil {
				return
			}
			e.requestRecord()
		}
	}
}

// updateEraRecord reads or writes the record if that is due.
func (e *Edge) updateEraRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	era, read, write := e.comparison.recordWork()
	if read {
		recorded, err := e.config.EraRecord.Read(ctx)
		if err != nil {
			return err
		}
		e.comparison.setRecorded(era, recorded)
		e.Refresh()
		_, _, write = e.comparison.recordWork()
	}
	if !write || !e.isReader() {
		return nil
	}
	if err := e.config.EraRecord.Write(ctx, e.config.Self.Name, era); err != nil {
		return err
	}
	e.comparison.setRecorded(era, filbertstile.NewEra(era))
	e.config.Log.Event(reporter.EraRecorded, reporter.Fields{"Era": era})
	return nil
}

// requestRecord makes keepEraRecord look at the record. It does not block.
func (e *Edge) requestRecord() {
	select {
	case e.recordRequested <- struct{}{}:
	default:
	}
}
