package forwarder_test

import (
	"context"
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// randomEntry returns a random entry.
func (m *model) randomEntry() *modelEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries[m.rng.IntN(len(m.entries))]
}

// call sends a request to random entries until it is answered, and returns the attempts
// that this took; 0 if none succeeded.
func (m *model) call(req *modelRequest) int {
	for attempt := range 3 {
		now := time.Now()
		c := &caller{}
		m.randomEntry().forwarder.Serve(m.ctx, &forwarder.Call{
			ID: "1", Service: "s", Route: m.route(), Arrived: now, Deadline: now.Add(6 * time.Second),
			PromptTokens: m.promptTokens(), PromptParts: req.parts, Key: req.key, Message: req,
		}, c)
		if c.status == 200 {
			return attempt + 1
		}
		if m.kind == filbertstile.CallNonIdempotent && c.failure.Run != filbertstile.NotRun {
			return 0
		}
		if c.failure != nil && (c.failure.Code == forwarder.CodePromptPart || c.failure.Code == forwarder.CodeRequest) && !req.bad() {
			m.mu.Lock()
			m.soundRefused++
			m.lastSoundRefused = time.Now()
			m.mu.Unlock()
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}

func (m *model) route() filbertstile.Route {
	r := route(m.kind)
	if m.kind == filbertstile.CallNonIdempotent {
		r.MaxAttempts, r.Resumable = 1, false
	}
	return r
}

func (m *model) promptTokens() int {
	if m.plain {
		return 0
	}
	return 400
}

// nextKey returns the key of a sound request. One in four is a poll, which many callers send
// alike.
func (m *model) nextKey(n uint64) uint64 {
	if n%4 == 0 {
		return pollKey
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keys++
	return firstKey + m.keys
}

// newRequest returns a request with the parts. Those of replicas that are no engines have none.
func (m *model) newRequest(key uint64, parts ...uint64) *modelRequest {
	if m.plain {
		return &modelRequest{key: key}
	}
	return &modelRequest{parts: parts, key: key}
}

// load sends sound requests at the rate per second until the context ends. They share the
// system part and the parts of the accounts.
func (m *model) load(ctx context.Context, perSecond int) {
	m.send(ctx, perSecond, func(n uint64) *modelRequest { return m.newRequest(m.nextKey(n), systemPart, accountPart+n%m.accounts) }, func(n uint64, attempts int) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.sent++
		if attempts > 0 {
			m.served++
		}
		if attempts == 1 {
			m.begunAtFirst++
		}
		if n%m.accounts == 0 {
			m.accountSent++
			if attempts == 1 {
				m.accountBegun++
			}
		}
	})
}

// wave sends requests with the bad part, whose other parts sound ones share.
func (m *model) wave(ctx context.Context, perSecond int) {
	m.send(ctx, perSecond, func(n uint64) *modelRequest {
		if m.oneAccount {
			n = 0
		}
		return m.newRequest(m.nextKey(1), systemPart, accountPart+n%m.accounts, badPart)
	}, func(uint64, int) {})
}

// repeat sends the request that crashes replicas again and again.
func (m *model) repeat(ctx context.Context, perSecond int) {
	m.send(ctx, perSecond, func(uint64) *modelRequest { return m.newRequest(badKey, systemPart, accountPart) }, func(uint64, int) {})
}

// endTogether ends the first n replicas, as a failure of their hosts' software does.
func (m *model) endTogether(n int) {
	m.mu.Lock()
	failing := slices.Clone(m.replicas[:n])
	m.mu.Unlock()
	for _, r := range failing {
		m.crash(r, 0)
	}
}

func (m *model) send(ctx context.Context, perSecond int, newRequest func(n uint64) *modelRequest, done func(n uint64, attempts int)) {
	for n := uint64(0); ctx.Err() == nil; n++ {
		req := newRequest(n)
		m.work.Go(func() {
			attempts := m.call(req)
			if m.ctx.Err() == nil {
				done(n, attempts)
			}
		})
		m.mu.Lock()
		gap := time.Duration(m.rng.ExpFloat64() * float64(time.Second) / float64(perSecond))
		m.mu.Unlock()
		select {
		case <-time.After(gap):
		case <-ctx.Done():
		}
	}
}

// badSendsAfter returns the number of requests that reached replicas later than
// stableWindow after the cause in them had ended the given number of replicas.
func (m *model) badSendsAfter(cause uint64, crashes int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	var last time.Time
	for _, c := range m.crashes {
		if c.cause == cause && crashes > 0 {
			last, crashes = c.at, crashes-1
		}
	}
	n := 0
	for _, s := range m.badSends {
		if crashes == 0 && s.cause == cause && s.at.Sub(last) > stableWindow {
			n++
		}
	}
	return n
}

// crashesBy returns the number of replicas that the cause has ended.
func (m *model) crashesBy(cause uint64) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, c := range m.crashes {
		if c.cause == cause {
			n++
		}
	}
	return n
}
