package forwarder_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/decisions/suspector"
	"filbertstile.example/filbertstile/outside/exchanger"
	"filbertstile.example/filbertstile/rigs/batcher"
	"filbertstile.example/filbertstile/shells/forwarder"
)

const (
	modelLatency   = 2 * time.Millisecond
	modelNewsDelay = 300 * time.Millisecond
	// modelCrashDelay is the time from the beginning of a crashing answer to the end of
	// its replica, and modelDowntime the time until the replica is back.
	modelCrashDelay = 60 * time.Millisecond
	modelDowntime   = 4 * time.Second
	modelSlots      = 16
	// modelRunTime is the time that a replica that is no engine takes for a sound request.
	modelRunTime = 30 * time.Millisecond
	// modelHeartbeat is the time between two heartbeats, and modelEvidenceDelay the minimum
	// time between two messages with new evidence. One message in modelLoss is lost.
	modelHeartbeat     = 800 * time.Millisecond
	modelEvidenceDelay = 150 * time.Millisecond
	modelLoss          = 20
	// badPart is the part that crashes replicas, badKey the key of the request that does, and
	// systemPart is in all requests for engines.
	badPart    = uint64(0xbad)
	badKey     = uint64(1<<63 + 0xbad)
	systemPart = uint64(1)
	// pollKey is the key of the requests that many callers send alike, and firstKey the first
	// one of all others.
	pollKey  = uint64(1<<63 + 0x9011)
	firstKey = uint64(1<<63 + 1<<40)
	// accountPart is the part of the first account.
	accountPart = uint64(100)
)

var modelEngine = filbertstile.EngineSpec{
	Model: "m", Layers: 1, PrefillTokensPerSecond: 4000, StepTime: 8 * time.Millisecond, StepTimePerRequest: time.Millisecond, StepsPerEvent: 5,
}

// modelRequest is the Call.Message of a request of the model.
type modelRequest struct {
	parts []uint64
	key   uint64
}

// cause returns the part or the key by which the request crashes replicas; 0 if it does not.
func (r *modelRequest) cause() uint64 {
	switch {
	case slices.Contains(r.parts, badPart):
		return badPart
	case r.key == badKey:
		return badKey
	}
	return 0
}

func (r *modelRequest) bad() bool { return r.cause() != 0 }

// moment is the time of something that a part or a key has caused.
type moment struct {
	at    time.Time
	cause uint64
}

// model is a system of entries and replicas in virtual time.
type model struct {
	t       *testing.T
	ctx     context.Context
	rng     *rand.Rand
	entries []*modelEntry
	work    sync.WaitGroup

	// plain is true if the replicas are no engines, and kind is the kind of the requests.
	plain bool
	kind  filbertstile.CallKind

	mu       sync.Mutex
	replicas []*modelReplica
	boots    int
	// crashes are the moments at which replicas ended, and badSends those at which
	// requests that crash replicas reached them.
	crashes, badSends []moment
	keys              uint64
	probes            int
	// sent and begunAtFirst count sound requests, and those of them whose first
	// attempt of the caller began; served counts those of which any attempt did.
	sent, begunAtFirst, served int
	// soundRefused counts refusals of sound requests because of a suspicion, and
	// lastSoundRefused is the time of the last one.
	soundRefused     int
	lastSoundRefused time.Time
	// accountSent and accountBegun count those of the first account only.
	accountSent, accountBegun int
	// accounts is the number of accounts with a part of their own, which is the first
	// account's in all requests with the bad part if oneAccount is true.
	accounts   uint64
	oneAccount bool
}

// modelReplica is one boot of a replica.
type modelReplica struct {
	filbertstile.Replica
	engine *batcher.Engine
	// running is the number of requests at a replica that is no engine; model.mu protects it.
	running int
	// ended is closed when the process ends.
	ended context.Context
	end   context.CancelFunc
}

// modelEntry is an entry of the model.
type modelEntry struct {
	name      string
	placer    *placer.Placer
	forwarder *forwarder.Forwarder
	suspector *suspector.Suspector
	// news makes the entry send its evidence at once.
	news chan struct{}
}

func newModel(ctx context.Context, t *testing.T, w wave) *model {
	m := &model{
		t: t, ctx: ctx, accounts: cmp.Or(w.accounts, 20), oneAccount: w.oneAccount, plain: w.plain, kind: cmp.Or(w.kind, filbertstile.CallStream), rng: rand.New(rand.NewPCG(w.seed, 7)),
	}
	for i := range w.replicas {
		m.replicas = append(m.replicas, nil)
		m.boot(i)
	}
	for i := range w.entries {
		m.entries = append(m.entries, m.newEntry(i))
	}
	for i := range m.entries {
		m.entries[i].suspector.SetEntries(m.otherNames(i))
		m.work.Go(func() { m.share(i) })
	}
	return m
}

func (m *model) newEntry(i int) *modelEntry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	name := fmt.Sprintf("e%d", i)
	e := &modelEntry{
		name: name, placer: placer.New(placer.Config{Region: "a", Seed: uint64(i)}), suspector: suspector.New(suspector.Config{Self: name}), news: make(chan struct{}, 1),
	}
	e.placer.SetFleet(time.Now(), m.fleet())
	e.forwarder = forwarder.New(forwarder.Config{
		Placer: e.placer, Link: m, Suspector: e.suspector, Prober: m, OnNews: e.sendNow, RetryBudget: forwarder.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 100},
		Log:          reporter.New(reporter.Config{Logger: log}),
		VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) {},
	})
	return e
}

func (e *modelEntry) sendNow() {
	select {
	case e.news <- struct{}{}:
	default:
	}
}

func (m *model) otherNames(self int) []string {
	var out []string
	for i, e := range m.entries {
		if i != self {
			out = append(out, e.name)
		}
	}
	return out
}

// share sends the evidence of the entry with the index to all others, until the model ends.
func (m *model) share(i int) {
	heartbeat := time.NewTicker(modelHeartbeat)
	defer heartbeat.Stop()
	for m.ctx.Err() == nil {
		select {
		case <-heartbeat.C:
		case <-m.entry(i).news:
		case <-m.ctx.Done():
			return
		}
		evidence := m.entry(i).suspector.Evidence(time.Now())
		time.Sleep(modelLatency)
		for j := range m.entries {
			if m.lost() || j == i {
				continue
			}
			if to := m.entry(j); to.suspector.Merge(time.Now(), evidence) {
				to.sendNow()
			}
		}
		time.Sleep(modelEvidenceDelay)
	}
}

func (m *model) entry(i int) *modelEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries[i]
}

func (m *model) lost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.IntN(modelLoss) == 0
}

// restart replaces the entry with the index by one that knows nothing.
func (m *model) restart(i int) {
	e := m.newEntry(i)
	e.suspector.SetEntries(m.otherNames(i))
	m.mu.Lock()
	defer m.mu.Unlock()
	e.news = m.entries[i].news
	m.entries[i] = e
	e.sendNow()
}

// Probe implements forwarder.Prober.
func (m *model) Probe(_ context.Context, address string) forwarder.Liveness {
	time.Sleep(modelLatency)
	m.mu.Lock()
	m.probes++
	m.mu.Unlock()
	if m.replicaAt(address).ended.Err() != nil {
		return forwarder.Ended
	}
	return forwarder.Alive
}

// boot starts the replica with the index. The caller must hold m.mu or be newModel.
func (m *model) boot(i int) {
	m.boots++
	r := &modelReplica{engine: batcher.New(batcher.Config{Spec: modelEngine, Slots: modelSlots, MaxQueued: modelSlots})}
	r.Replica = filbertstile.Replica{
		ID: fmt.Sprintf("i-%d", m.boots), Service: "s", Address: fmt.Sprintf("r%d", i), Slots: modelSlots, Born: time.Now(), Version: 1,
	}
	r.ended, r.end = context.WithCancel(m.ctx)
	m.replicas[i] = r
	m.work.Go(func() { r.engine.Run(r.ended) })
}

func (m *model) fleet() placer.Fleet {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []filbertstile.Replica
	for _, r := range m.replicas {
		if r.ended.Err() == nil {
			rows = append(rows, r.Replica)
		}
	}
	pool := filbertstile.PoolSpec{Service: "s"}
	if !m.plain {
		pool.Engine = &modelEngine
	}
	return placer.Fleet{Replicas: filbertstile.NewTable(rows...), Entries: max(1, len(m.entries)), Pools: filbertstile.NewTable(pool)}
}

// publish tells all entries the fleet, some time after it has changed.
func (m *model) publish() {
	time.Sleep(modelNewsDelay)
	f := m.fleet()
	for i := range m.entries {
		m.entry(i).placer.SetFleet(time.Now(), f)
	}
}

// crash ends the boot of a replica, which is back later.
func (m *model) crash(r *modelReplica, cause uint64) {
	m.mu.Lock()
	if r.ended.Err() != nil {
		m.mu.Unlock()
		return
	}
	m.crashes = append(m.crashes, moment{time.Now(), cause})
	r.end()
	m.mu.Unlock()
	m.work.Go(func() {
		m.publish()
		time.Sleep(modelDowntime)
		m.mu.Lock()
		m.boot(slices.Index(m.replicas, r))
		m.mu.Unlock()
		m.publish()
	})
}

func (m *model) replicaAt(address string) *modelReplica {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.replicas {
		if r.Address == address {
			return r
		}
	}
	return nil
}

// Send implements forwarder.Link.
func (m *model) Send(ctx context.Context, a forwarder.Attempt) (forwarder.Response, error) {
	time.Sleep(modelLatency)
	r, req := m.replicaAt(a.Replica.Address), a.Call.Message.(*modelRequest)
	if r.ended.Err() != nil {
		return forwarder.Response{}, exchanger.ErrNotSent{Peer: r.Address, Cause: syscall.ECONNREFUSED}
	}
	if r.ID != a.Replica.ID {
		return forwarder.Response{Verdict: forwarder.WrongReplica, Status: 421, Body: &body{Reader: strings.NewReader("")}}, nil
	}
	if err := a.CheckSend(); err != nil {
		return forwarder.Response{}, exchanger.ErrNotSent{Peer: r.Address, Cause: err}
	}
	if req.bad() {
		m.mu.Lock()
		m.badSends = append(m.badSends, moment{time.Now(), req.cause()})
		m.mu.Unlock()
	}
	if m.plain {
		return m.runPlain(ctx, r, req)
	}
	b := &modelBody{ctx: ctx, replica: r, events: make(chan int, 64), total: 20}
	submitted := r.engine.Submit(&batcher.Request{PromptTokens: a.Call.PromptTokens, Events: b.total, OnEvent: func(n int) {
		switch {
		case ctx.Err() != nil: // replicas drop requests whose connections are closed
		case req.bad():
			time.AfterFunc(modelCrashDelay, func() { m.crash(r, req.cause()) })
		default:
			b.events <- n
		}
	}})
	if !submitted {
		return forwarder.Response{Verdict: forwarder.NotRun, Status: 503, Body: &body{Reader: strings.NewReader("")}}, nil
	}
	return forwarder.Response{Verdict: forwarder.Ran, Status: 200, Streamed: true, Body: b}, nil
}

// runPlain runs a request at a replica that is no engine.
func (m *model) runPlain(ctx context.Context, r *modelReplica, req *modelRequest) (forwarder.Response, error) {
	m.mu.Lock()
	full := r.running == modelSlots
	if !full {
		r.running++
	}
	m.mu.Unlock()
	if full {
		return forwarder.Response{Verdict: forwarder.NotRun, Status: 503, Body: &body{Reader: strings.NewReader("")}}, nil
	}
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		r.running--
	}()
	done := time.After(modelRunTime)
	if req.bad() {
		done = nil
		time.AfterFunc(modelCrashDelay, func() { m.crash(r, req.cause()) })
	}
	select {
	case <-done:
		return forwarder.Response{Verdict: forwarder.Ran, Status: 200, Body: &body{Reader: strings.NewReader("answer")}}, nil
	case <-r.ended.Done():
		return forwarder.Response{}, exchanger.ErrNoResponse{Peer: r.Address, Cause: io.ErrUnexpectedEOF}
	case <-ctx.Done():
		return forwarder.Response{}, exchanger.ErrNoResponse{Peer: r.Address, Cause: ctx.Err()}
	}
}
