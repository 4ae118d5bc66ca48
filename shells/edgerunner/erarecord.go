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
	// rewriteTimeout is how long entries that have all started in a new era wait for operators to
	// write again what the store has lost.
	rewriteTimeout = 3 * time.Second
	// recordRetryDelay is the delay after a read or write of the record that failed, and
	// recordTimeout how long either may take.
	recordRetryDelay = 200 * time.Millisecond
	recordTimeout    = time.Second
)

// recordedEra is what an entry knows of the record of the latest era in which entries have compared
// what they have in force.
type recordedEra struct {
	read bool
	// era is 0 if there is no record.
	era uint64
}

// mayHaveLost reports whether the store may lack what no entry knows any more: it has come back from an
// older copy since entries last compared what they have in force, and operators have not had the
// time to write it again. The caller holds c.mu.
func (c *comparison) mayHaveLost(now time.Duration, writtenSince bool) bool {
	if now-c.listedAt >= rewriteTimeout {
		return false
	}
	return !c.recorded.read || c.recorded.era != 0 && c.recorded.era < c.era && !writtenSince
}

// setRecorded records that the record has been read or written.
func (c *comparison) setRecorded(era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorded = recordedEra{read: true, era: era}
}

// recordWork returns the era to record if the record is out of date, and whether it must be read.
func (c *comparison) recordWork() (era uint64, read, write bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era, c.listed && !c.recorded.read, c.done && c.recorded.read && c.recorded.era < c.era
}

// writtenSince reports whether the configuration of the copy was written after the revision.
func writtenSince(t *tracker.Tracker[filbertstile.Routing], revision uint64) bool {
	for _, w := range t.Written() {
		if w.Revision > revision {
			return true
		}
	}
	return false
}

// keepEraRecord reads the record at the start, and writes it after a comparison in a later era if this entry
// reads the store, until the context ends.
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
		e.comparison.setRecorded(recorded)
		e.Refresh()
		_, _, write = e.comparison.recordWork()
	}
	if !write || era == 0 || !e.isReader() {
		return nil
	}
	if err := e.config.EraRecord.Write(ctx, e.config.Self.Name, era); err != nil {
		return err
	}
	e.comparison.setRecorded(era)
	return nil
}

// requestRecord makes keepEraRecord look at the record. It does not block.
func (e *Edge) requestRecord() {
	select {
	case e.recordRequested <- struct{}{}:
	default:
	}
}
