package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/outside/journaler"
)

// Prefix is the prefix of the keys of all shards' logs in the object API.
const Prefix = "record/"

const (
	// maxBatchTasks is the maximum number of intents and outcomes in a batch.
	maxBatchTasks = 512
	// maxBodyBytes is the maximum size of a body that is stored with an outcome.
	maxBodyBytes = 16 << 10
	trimInterval = 30 * time.Second
	// queueSize is the maximum number of intents and outcomes queued for one shard.
	queueSize = 4096
	// outcomeRetryDelay is the delay before a failed commit of an outcome is retried.
	outcomeRetryDelay = 500 * time.Millisecond
	// maxBatchBytes is the total size of the outcomes' bodies at which a batch is full.
	maxBatchBytes = 512 << 10
)

// Config configures a Recorder.
type Config struct {
	Store filbertstile.Store
	// Self is the name of this process.
	Self string
	Log  *reporter.Log
	// Retention is how long records are stored.
	Retention time.Duration
	// AbandonAfter is the age after which the outcome of an intent counts as unknown if none
	// is recorded.
	AbandonAfter time.Duration
	// MinWriteInterval is the minimum time between two writes to one shard.
	MinWriteInterval time.Duration
	// CommitTimeout is the timeout of committing one batch.
	CommitTimeout time.Duration
	Metrics       metrics.Registry
}

// DefaultConfig returns the default durations. docs/design/once.md gives the reasons for
// them.
func DefaultConfig() Config {
	return Config{
		Retention:        10 * time.Minute,
		AbandonAfter:     2 * time.Minute,
		MinWriteInterval: 200 * time.Millisecond,
		CommitTimeout:    3 * time.Second,
	}
}

// CommitResult is the result of Recorder.Commit.
type CommitResult struct {
	Decision Decision
	Record   Record
}

// task is an intent or an outcome that is to be committed.
type task struct {
	intent  *Intent
	outcome *Outcome
	// result receives the result once the task has been processed.
	result chan taskResult
}

// taskResult is the result of a task.
type taskResult struct {
	result CommitResult
	err    error
}

// shard is one shard's log with its state. One goroutine owns it.
type shard struct {
	index  int
	log    *journaler.Log
	tasks  chan task
	ledger *Ledger
	// nextNumber is the number of the next log entry; 0 if the log must be read first.
	nextNumber uint64
	// entries lists the log entries that this process has not deleted, oldest first.
	entries []logEntry
	// wroteAt is the time of the last attempt to write, and trimmedAt that of the last
	// deletion of expired entries.
	wroteAt   time.Time
	trimmedAt time.Time
}

// logEntry is a log entry, which may be deleted once all of its records have expired.
type logEntry struct {
	entry journaler.Entry
	// newestAt is the time of the newest intent or outcome in the entry.
	newestAt time.Time
}

// Recorder commits intents and outcomes. Every entry process has one. Recorders of
// several processes may write to the same shard, which is slower but correct, as each
// number of the log can be written only once.
type Recorder struct {
	config  Config
	shards  []*shard
	wg      sync.WaitGroup
	commits metrics.Counter
}

// New returns a recorder. It commits nothing until Run is called.
func New(c Config) *Recorder {
	r := &Recorder{config: c, commits: metrics.NewRegisteredCounter("Once.Commits", c.Metrics)}
	for i := range Shards {
		r.shards = append(r.shards, &shard{
			index: i,
			log:   journaler.New(c.Store, fmt.Sprintf("%s%d/", Prefix, i)),
			tasks: make(chan task, queueSize),
		})
	}
	return r
}

// Run commits tasks until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	for _, s := range r.shards {
		r.wg.Go(func() { r.runShard(ctx, s) })
	}
	r.wg.Wait()
}

// Commit commits the intent if the call may be sent, and otherwise returns the reason why
// not.
func (r *Recorder) Commit(ctx context.Context, i Intent) (CommitResult, error) {
	done := make(chan taskResult, 1)
	select {
	case r.shards[ShardOf(i.Key)].tasks <- task{intent: &i, result: done}:
	case <-ctx.Done():
		return CommitResult{}, ctx.Err()
	}
	select {
	case res := <-done:
		return res.result, res.err
	case <-ctx.Done():
		return CommitResult{}, ctx.Err()
	}
}

// Complete commits an outcome. It retries until the outcome is committed or the context
// ends.
func (r *Recorder) Complete(ctx context.Context, o Outcome) error {
	if len(o.Body) > maxBodyBytes {
		o.Body = nil
		o.BodyOmitted = true
	}
	done := make(chan taskResult, 1)
	for {
		select {
		case r.shards[ShardOf(o.Key)].tasks <- task{outcome: &o, result: done}:
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case res := <-done:
			if res.err == nil {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := sleeper.Sleep(ctx, outcomeRetryDelay); err != nil {
			return err
		}
	}
}

// runShard commits the tasks of one shard until the context ends.
func (r *Recorder) runShard(ctx context.Context, s *shard) {
	for {
		var batch []task
		select {
		case <-ctx.Done():
			return
		case t := <-s.tasks:
			batch = append(batch, t)
		}
		if wait := r.config.MinWriteInterval - time.Since(s.wroteAt); wait > 0 {
			if sleeper.Sleep(ctx, wait) != nil {
				return
			}
		}
		batch = s.fillBatch(batch)
		r.commit(ctx, s, batch)
		r.trim(ctx, s)
	}
}

// fillBatch adds queued tasks to the batch, up to its maximum size.
func (s *shard) fillBatch(batch []task) []task {
	size := 0
	for len(batch) < maxBatchTasks && size < maxBatchBytes {
		select {
		case t := <-s.tasks:
			if t.outcome != nil {
				size += len(t.outcome.Body)
			}
			batch = append(batch, t)
		default:
			return batch
		}
	}
	return batch
}

// commit writes the tasks as the next entry of the log. If another writer has written
// that entry, commit reads the log and decides on the tasks again.
func (r *Recorder) commit(ctx context.Context, s *shard, tasks []task) {
	ctx, cancel := context.WithTimeout(ctx, r.config.CommitTimeout)
	defer cancel()
	for {
		if err := r.catchUp(ctx, s); err != nil {
			r.failTasks(s, tasks, err)
			return
		}
		b, toWrite := r.decide(s, tasks)
		if len(b.Intents)+len(b.Outcomes) == 0 {
			return
		}
		value, err := json.Marshal(b)
		if err != nil {
			r.failTasks(s, toWrite, fmt.Errorf("encode batch: %w", err))
			return
		}
		s.wroteAt = time.Now()
		e, err := s.log.Append(ctx, s.nextNumber, value)
		var conflict filbertstile.ErrConflict
		if errors.As(err, &conflict) {
			tasks = toWrite
			s.invalidate()
			continue
		}
		if err != nil {
			s.invalidate()
			r.failTasks(s, toWrite, err)
			return
		}
		r.commits.Inc(1)
		s.apply(e, b)
		for _, t := range toWrite {
			d := DecisionNew
			t.result <- taskResult{result: CommitResult{Decision: d}}
		}
		return
	}
}

// failTasks logs the error and returns it to the tasks.
func (r *Recorder) failTasks(s *shard, tasks []task, err error) {
	r.config.Log.Event(reporter.CommitFailed, reporter.Fields{"Shard": s.index, "Calls": len(tasks), "Error": err})
	for _, t := range tasks {
		t.result <- taskResult{err: err}
	}
}

// decide sends the results of the attempts that need no write, and returns the batch to write and
// its tasks. Of several new attempts with the same key, only the first is written.
func (r *Recorder) decide(s *shard, tasks []task) (Batch, []task) {
	b := Batch{Writer: r.config.Self, Nonce: uuid.NewString()}
	var toWrite []task
	newKeys := make(map[string]bool)
	outcomes := outcomesOf(tasks)
	now := time.Now()
	for _, t := range tasks {
		if t.outcome != nil {
			b.Outcomes = append(b.Outcomes, *t.outcome)
			toWrite = append(toWrite, t)
			continue
		}
		d, rec := s.ledger.Decide(now, *t.intent)
		if d == DecisionNew && newKeys[t.intent.Key] {
			d = DecisionInProgress
		}
		if o, ok := outcomes[t.intent.Key]; ok && d == DecisionInProgress && o.RequestID == rec.Intent.RequestID && o.Run == filbertstile.Ran {
			// The outcome is known, although it is not committed yet.
			d, rec.Outcome = DecisionReplay, o
		}
		if d != DecisionNew {
			t.result <- taskResult{result: CommitResult{Decision: d, Record: rec}}
			continue
		}
		newKeys[t.intent.Key] = true
		b.Intents = append(b.Intents, *t.intent)
		toWrite = append(toWrite, t)
	}
	return b, toWrite
}

// outcomesOf returns the outcomes among the tasks, by key.
func outcomesOf(tasks []task) map[string]Outcome {
	out := make(map[string]Outcome)
	for _, t := range tasks {
		if t.outcome != nil {
			out[t.outcome.Key] = *t.outcome
		}
	}
	return out
}

// invalidate makes the next commit read the log first. It is called if another writer may
// have written to the log, or the outcome of a write is unknown.
func (s *shard) invalidate() {
	if s.ledger != nil {
		s.nextNumber = 0
	}
}

// catchUp applies the entries of the log that the ledger may lack.
func (r *Recorder) catchUp(ctx context.Context, s *shard) error {
	if s.ledger != nil && s.nextNumber > 0 {
		return nil
	}
	after := uint64(0)
	if s.ledger == nil {
		s.ledger = NewLedger(r.config.Retention, r.config.AbandonAfter)
	}
	if n := len(s.entries); n > 0 {
		after = s.entries[n-1].entry.Number
	}
	entries, _, err := s.log.Read(ctx, after)
	if err != nil {
		return err
	}
	s.nextNumber = after + 1
	for _, e := range entries {
		var b Batch
		if err := json.Unmarshal(e.Value, &b); err != nil {
			return fmt.Errorf("decode batch %d: %w", e.Number, err)
		}
		s.nextNumber = e.Number
		s.apply(e, b)
	}
	return nil
}

// apply applies a log entry to the shard. The entry must have the shard's next number.
func (s *shard) apply(e journaler.Entry, b Batch) {
	s.ledger.Apply(b)
	at := time.Time{}
	for _, i := range b.Intents {
		at = later(at, i.At)
	}
	for _, o := range b.Outcomes {
		at = later(at, o.At)
	}
	e.Value = nil
	s.entries = append(s.entries, logEntry{entry: e, newestAt: at})
	s.nextNumber = e.Number + 1
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// trim deletes expired log entries, at most once per trimInterval. The newest entry is
// never deleted, as a process that starts determines the next number from it.
func (r *Recorder) trim(ctx context.Context, s *shard) {
	now := time.Now()
	if s.ledger == nil || now.Sub(s.trimmedAt) < trimInterval {
		return
	}
	s.trimmedAt = now
	s.ledger.Expire(now)
	for len(s.entries) > 1 && now.Sub(s.entries[0].newestAt) > r.config.Retention {
		if err := s.log.Delete(ctx, s.entries[0].entry); err != nil {
			return
		}
		s.entries = s.entries[1:]
	}
}
