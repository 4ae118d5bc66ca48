package forwarder

import (
	"sync"
	"time"
)

const (
	// usableShare is the share of the operators' limit on retries that the entries use
	// together. The rest is a margin for entries that start and stop, as an entry starts
	// with a full share.
	usableShare = 0.6
)

// RetryBudgetConfig limits the retries that all entries together may send to a service:
// Ratio x its requests + Slack in each window.
type RetryBudgetConfig struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// retryBudget is this entry's share of the retry budget, with a token bucket for each
// service. A static share needs no messages, so that the limit also holds while entries
// cannot communicate.
type retryBudget struct {
	config RetryBudgetConfig

	mu         sync.Mutex
	entryCount int
	buckets    map[string]*bucket
}

// bucket is a token bucket; each token permits one retry.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

func newRetryBudget(c RetryBudgetConfig) *retryBudget {
	return &retryBudget{config: c, entryCount: 1, buckets: make(map[string]*bucket)}
}

func (b *retryBudget) setEntryCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entryCount = max(1, n)
}

// slackShare returns this entry's share of half of the slack. A new bucket has this many
// tokens and regains them over each window, which uses the other half.
func (b *retryBudget) slackShare() float64 {
	return b.config.Slack * usableShare / 2 / float64(b.entryCount)
}

// maxTokens returns the capacity of a bucket. It is at least 1: with many entries the
// share is less than one retry, and requests must be able to accumulate a whole one.
func (b *retryBudget) maxTokens() float64 { return max(1, b.slackShare()) }

// refill returns the service's bucket after refilling it for the time since it was last
// refilled.
func (b *retryBudget) refill(service string, now time.Time) *bucket {
	k := b.buckets[service]
	if k == nil {
		k = &bucket{tokens: b.slackShare(), refilledAt: now}
		b.buckets[service] = k
	}
	k.tokens = min(b.maxTokens(), k.tokens+now.Sub(k.refilledAt).Seconds()/b.config.Window.Seconds()*b.slackShare())
	k.refilledAt = now
	return k
}

// requestArrived adds the share of a retry that each caller's request permits.
func (b *retryBudget) requestArrived(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.refill(service, now)
	k.tokens = min(b.maxTokens(), k.tokens+b.config.Ratio*usableShare)
}

// spend takes a token and reports whether there was one, so that a retry may be sent.
func (b *retryBudget) spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.refill(service, now)
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}
