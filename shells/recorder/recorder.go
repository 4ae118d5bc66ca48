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

// Prefix is where the shards' logs are in the object API.
const Prefix = "record/"

const (
	maxBatch      = 512
	maxBodyBytes  = 16 << 10
	trimEvery     = 30 * time.Second
	queueDepth    = 4096
	outcomeRetry  = 500 * time.Millisecond
	maxBatchBytes = 512 << 10
)

// Config puts a recorder together.
type Config struct {
	Store filbertstile.Store
	Self  string
	Log   *reporter.Log
	// Keep is how long records are kept.
	Keep time.Duration
	// AbandonAfter is when an intent without an outcome counts as unknown.
	AbandonAfter time.Duration
	// Gap is the least time between two writes to one shard.
	Gap time.Duration
	// CommitTimeout bounds one write.
	CommitTimeout time.Duration
	Metrics       metrics.Registry
}

// DefaultConfig returns the times that docs/design/once.md weighs.
func DefaultConfig() Config {
	return Config{
		Keep:          10 * time.Minute,
		AbandonAfter:  2 * time.Minute,
		Gap:           200 * time.Millisecond,
		CommitTimeout: 3 * time.Second,
	}
}

// Answer is the recorder's answer to an attempt.
type Answer struct {
	Verdict Verdict
	Record  Record
}

type task struct {
	intent  *Intent
	outcome *Outcome
	answer  chan reply
}

type reply struct {
	answer Answer
	err    error
}

// shard is one log, worked on by one goroutine.
type shard struct {
	index   int
	log     *journaler.Log
	tasks   chan task
	ledger  *Ledger
	next    uint64
	entries []trimmable
	wroteAt time.Time
	trimAt  time.Time
}

// trimmable is a log entry that can go once all of it has expired.
type trimmable struct {
	entry journaler.Entry
	at    time.Time
}

// Recorder commits intents and outcomes. Every entry has one; which entry
// works on a shard is a matter of speed only, as the log admits one writer of
// each number.
type Recorder struct {
	config  Config
	shards  []*shard
	wg      sync.WaitGroup
	commits metrics.Counter
}

// New returns a recorder that does not run yet.
func New(c Config) *Recorder {
	r := &Recorder{config: c, commits: metrics.NewRegisteredCounter("Once.Commits", c.Metrics)}
	for i := range Shards {
		r.shards = append(r.shards, &shard{
			index: i,
			log:   journaler.New(c.Store, fmt.Sprintf("%s%d/", Prefix, i)),
			tasks: make(chan task, queueDepth),
		})
	}
	return r
}

// Run works on the shards until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	for _, s := range r.shards {
		r.wg.Go(func() { r.work(ctx, s) })
	}
	r.wg.Wait()
}

// Commit records the intent, or says why the call must not be sent.
func (r *Recorder) Commit(ctx context.Context, i Intent) (Answer, error) {
	answer := make(chan reply, 1)
	select {
	case r.shards[ShardOf(i.Key)].tasks <- task{intent: &i, answer: answer}:
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
	select {
	case a := <-answer:
		return a.answer, a.err
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}

// Complete records an outcome; it returns when the outcome is committed.
func (r *Recorder) Complete(ctx context.Context, o Outcome) error {
	if len(o.Body) > maxBodyBytes {
		o.Body = nil
		o.BodyOmitted = true
	}
	answer := make(chan reply, 1)
	for {
		select {
		case r.shards[ShardOf(o.Key)].tasks <- task{outcome: &o, answer: answer}:
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case a := <-answer:
			if a.err == nil {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := sleeper.Sleep(ctx, outcomeRetry); err != nil {
			return err
		}
	}
}

func (r *Recorder) work(ctx context.Context, s *shard) {
	for {
		var batch []task
		select {
		case <-ctx.Done():
			return
		case t := <-s.tasks:
			batch = append(batch, t)
		}
		if wait := r.config.Gap - time.Since(s.wroteAt); wait > 0 {
			if sleeper.Sleep(ctx, wait) != nil {
				return
			}
		}
		batch = s.drain(batch)
		r.commit(ctx, s, batch)
		r.trim(ctx, s)
	}
}

func (s *shard) drain(batch []task) []task {
	size := 0
	for len(batch) < maxBatch && size < maxBatchBytes {
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

// commit writes the batch as the next entry of the log. If another writer got
// ahead, its entries are read and the batch is judged again.
func (r *Recorder) commit(ctx context.Context, s *shard, tasks []task) {
	ctx, cancel := context.WithTimeout(ctx, r.config.CommitTimeout)
	defer cancel()
	for {
		if err := r.load(ctx, s); err != nil {
			r.fail(s, tasks, err)
			return
		}
		b, writing := r.judge(s, tasks)
		if len(b.Intents)+len(b.Outcomes) == 0 {
			return
		}
		value, err := json.Marshal(b)
		if err != nil {
			r.fail(s, writing, fmt.Errorf("encode batch: %w", err))
			return
		}
		s.wroteAt = time.Now()
		e, err := s.log.Append(ctx, s.next, value)
		var taken filbertstile.ErrConflict
		if errors.As(err, &taken) {
			tasks = writing
			s.stale()
			continue
		}
		if err != nil {
			s.stale()
			r.fail(s, writing, err)
			return
		}
		r.commits.Inc(1)
		s.apply(e, b)
		for _, t := range writing {
			v := VerdictNew
			t.answer <- reply{answer: Answer{Verdict: v}}
		}
		return
	}
}

func (r *Recorder) fail(s *shard, tasks []task, err error) {
	r.config.Log.Event(reporter.CommitFailed, reporter.Fields{"Shard": s.index, "Calls": len(tasks), "Error": err})
	for _, t := range tasks {
		t.answer <- reply{err: err}
	}
}

// judge answers the attempts that need no write, and gathers the others. Of
// several new attempts with one key, the first is written.
func (r *Recorder) judge(s *shard, tasks []task) (Batch, []task) {
	b := Batch{Writer: r.config.Self, Nonce: uuid.NewString()}
	var writing []task
	keys := make(map[string]bool)
	arriving := outcomesOf(tasks)
	now := time.Now()
	for _, t := range tasks {
		if t.outcome != nil {
			b.Outcomes = append(b.Outcomes, *t.outcome)
			writing = append(writing, t)
			continue
		}
		v, rec := s.ledger.Judge(now, *t.intent)
		if v == VerdictNew && keys[t.intent.Key] {
			v = VerdictInProgress
		}
		if o, ok := arriving[t.intent.Key]; ok && v == VerdictInProgress && o.RequestID == rec.Intent.RequestID && o.Run == filbertstile.Ran {
			// The outcome is known, though not committed yet.
			v, rec.Outcome = VerdictReplay, o
		}
		if v != VerdictNew {
			t.answer <- reply{answer: Answer{Verdict: v, Record: rec}}
			continue
		}
		keys[t.intent.Key] = true
		b.Intents = append(b.Intents, *t.intent)
		writing = append(writing, t)
	}
	return b, writing
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

// stale makes the next commit read the log first.
func (s *shard) stale() {
	if s.ledger != nil {
		s.next = 0
	}
}

// load brings the ledger up to the end of the log.
func (r *Recorder) load(ctx context.Context, s *shard) error {
	if s.ledger != nil && s.next > 0 {
		return nil
	}
	after := uint64(0)
	if s.ledger == nil {
		s.ledger = NewLedger(r.config.Keep, r.config.AbandonAfter)
	}
	if n := len(s.entries); n > 0 {
		after = s.entries[n-1].entry.Number
	}
	entries, _, err := s.log.Read(ctx, after)
	if err != nil {
		return err
	}
	s.next = after + 1
	for _, e := range entries {
		var b Batch
		if err := json.Unmarshal(e.Value, &b); err != nil {
			return fmt.Errorf("decode batch %d: %w", e.Number, err)
		}
		s.next = e.Number
		s.apply(e, b)
	}
	return nil
}

// apply takes in the entry with the shard's next number.
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
	s.entries = append(s.entries, trimmable{entry: e, at: at})
	s.next = e.Number + 1
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// trim deletes expired entries. The newest one always stays: it tells the next
// number to a process that starts.
func (r *Recorder) trim(ctx context.Context, s *shard) {
	now := time.Now()
	if s.ledger == nil || now.Sub(s.trimAt) < trimEvery {
		return
	}
	s.trimAt = now
	s.ledger.Expire(now)
	for len(s.entries) > 1 && now.Sub(s.entries[0].at) > r.config.Keep {
		if err := s.log.Delete(ctx, s.entries[0].entry); err != nil {
			return
		}
		s.entries = s.entries[1:]
	}
}
