package forwarder

import (
	"sync"
	"time"
)

const (
	// budgetUse is the part of the operators' bound that entries use together,
	// as entries that come and go start with a full share.
	budgetUse = 0.6
)

// BudgetConfig bounds the repeats that all entries together may send to a
// service: in each window at most Ratio x its requests + Slack.
type BudgetConfig struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// budget is an entry's static share of the repeats, one bucket a service. A
// share needs no messages, and holds while entries are out of touch.
type budget struct {
	config BudgetConfig

	mu      sync.Mutex
	entries int
	buckets map[string]*bucket
}

type bucket struct {
	tokens float64
	at     time.Time
}

func newBudget(c BudgetConfig) *budget {
	return &budget{config: c, entries: 1, buckets: make(map[string]*bucket)}
}

func (b *budget) setEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(1, n)
}

// share is the entry's part of half of the slack, which it has at once. The other
// half comes back over a window.
func (b *budget) share() float64 { return b.config.Slack * budgetUse / 2 / float64(b.entries) }

// size is the most that a bucket holds: with many entries a share is less than one
// repeat, which requests must be able to save up for.
func (b *budget) size() float64 { return max(1, b.share()) }

func (b *budget) of(service string, now time.Time) *bucket {
	k := b.buckets[service]
	if k == nil {
		k = &bucket{tokens: b.share(), at: now}
		b.buckets[service] = k
	}
	k.tokens = min(b.size(), k.tokens+now.Sub(k.at).Seconds()/b.config.Window.Seconds()*b.share())
	k.at = now
	return k
}

// arrived counts a caller's request.
func (b *budget) arrived(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(service, now)
	k.tokens = min(b.size(), k.tokens+b.config.Ratio*budgetUse)
}

// take returns whether a repeat may be sent.
func (b *budget) take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.of(service, now)
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}
