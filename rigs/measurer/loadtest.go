package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/configurer"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/rigs/caller"
	"filbertstile.example/filbertstile/rigs/checker"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/rigs/shaper"
	"filbertstile.example/filbertstile/rigs/stager"
	"filbertstile.example/filbertstile/shells/relayer"
)

const (
	answerTokens = 8
	tokenDelay   = 20 * time.Millisecond
	slots        = 8
	quickOrder   = 20 * time.Millisecond
	slowOrder    = 200 * time.Millisecond
	// serviceTime is what an engine takes for one answer.
	serviceTime = answerTokens * tokenDelay
	releaseName = "release-1"
	samples     = 1 << 20
	warmUp      = 6 * time.Second
)

// sceneConfig describes a stage with callers.
type sceneConfig struct {
	replicas int
	ledgers  int
	// entriesValid is how long callers keep the list of entries.
	entriesValid time.Duration
	dispatch     *dispatcher.Config
	// rate is the paid rate of each account.
	rate float64
	// orderDelay is what a call of the plain service takes.
	orderDelay time.Duration
}

// scene is a stage under load.
type scene struct {
	config  sceneConfig
	stage   *stager.Stage
	client  *http.Client
	callers []*caller.Caller
	rng     *rand.Rand
	whole   filbertstile.Digest

	mu      sync.Mutex
	results []caller.Result
	wg      sync.WaitGroup
}

// withScene starts a stage, rolls a small release out and hands it over.
func withScene(ctx context.Context, c sceneConfig, f func(ctx context.Context, s *scene) ([]Line, error)) ([]Line, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c.rate == 0 {
		c.rate = 1e6
	}
	if c.orderDelay == 0 {
		c.orderDelay = quickOrder
	}
	d := brief(c.replicas)
	d.Services[0].TokenDelay = configurer.Duration(tokenDelay)
	if c.ledgers > 0 {
		d.Services = append(d.Services, stager.Served{
			Service:  filbertstile.Service{Name: ledgerService, Kind: filbertstile.ServicePlain, NonIdempotentMethods: []string{"POST"}},
			Replicas: c.ledgers, MaxRunning: 64, Delay: configurer.Duration(c.orderDelay),
		})
	}
	if c.replicas == 0 {
		d.Services = d.Services[1:]
	}
	for _, tier := range []string{topTier, midTier, lowTier} {
		d.Accounts = append(d.Accounts, stager.Caller{Token: tier, Account: filbertstile.Account{Name: tier, Tier: tier, RatePerSecond: c.rate, Burst: max(1, c.rate/10)}})
	}
	s := &scene{config: c, rng: rand.New(rand.NewPCG(7, 7))}
	s.stage = stager.New(stager.Config{Deployment: d, Base: shaper.NewMemory(), Logger: quiet(), EntriesValid: c.entriesValid, Dispatch: c.dispatch})
	if err := s.stage.Start(ctx); err != nil {
		return nil, err
	}
	defer s.stage.Close()
	defer s.wg.Wait()
	if err := s.install(ctx); err != nil {
		return nil, err
	}
	return f(ctx, s)
}

func (s *scene) install(ctx context.Context) error {
	if err := s.stage.AwaitReady(ctx); err != nil {
		return err
	}
	if err := s.stage.Install(ctx); err != nil {
		return err
	}
	if s.config.replicas > 0 {
		m, err := s.stage.AddRelease(ctx, modelService, imitator.ReleaseConfig{Name: releaseName, Seed: 1, ChunkBytes: 16 << 10, Chunks: 16})
		if err != nil {
			return err
		}
		s.whole = m.Whole
		if err := s.stage.AwaitRelease(ctx, modelService, releaseName, s.config.replicas); err != nil {
			return err
		}
	}
	s.client = s.stage.HTTPClient(stager.CallerSite())
	var seeds []string
	for _, e := range s.stage.Entries {
		seeds = append(seeds, e.Settings.HTTPAddress)
	}
	for i, token := range []string{topTier, midTier, lowTier} {
		s.callers = append(s.callers, caller.New(caller.Config{Client: s.client, Seeds: seeds, Token: token, Seed: uint64(i)}))
	}
	return sleeper.Sleep(ctx, time.Second)
}

// capacity is what all engines answer in a second when warm.
func (s *scene) capacity() float64 {
	return float64(s.config.replicas*slots) / serviceTime.Seconds()
}

// flow is a stream of requests of one account.
type flow struct {
	account   int
	perSecond float64
	// send sends request n.
	send func(ctx context.Context, c *caller.Caller, n int) caller.Result
}

func completions(prefix string) func(context.Context, *caller.Caller, int) caller.Result {
	return func(ctx context.Context, c *caller.Caller, n int) caller.Result {
		return c.Complete(ctx, modelService, fmt.Sprintf("%s %d", prefix, n), answerTokens, true)
	}
}

// varied asks for answers of different lengths, on average as long as the
// others: equal ones would keep all slots of an engine in step for ever.
func varied(prefix string) func(context.Context, *caller.Caller, int) caller.Result {
	return func(ctx context.Context, c *caller.Caller, n int) caller.Result {
		spread := answerTokens / 2
		tokens := answerTokens - spread + rand.New(rand.NewPCG(uint64(n), 3)).IntN(2*spread+1)
		return c.Complete(ctx, modelService, fmt.Sprintf("%s %d", prefix, n), tokens, true)
	}
}

func ordersOf(prefix string) func(context.Context, *caller.Caller, int) caller.Result {
	return func(ctx context.Context, c *caller.Caller, n int) caller.Result {
		return c.Order(ctx, ledgerService, fmt.Sprintf("%s-%d", prefix, n), fmt.Sprintf("pay %s %d", prefix, n))
	}
}

// run sends the flows for the duration, each request at its own random moment,
// whatever becomes of the others.
func (s *scene) run(ctx context.Context, d time.Duration, flows ...flow) {
	var sending sync.WaitGroup
	for _, f := range flows {
		seed := s.rng.Uint64()
		sending.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 1))
			end := time.Now().Add(d)
			for n := 0; ; n++ {
				gap := time.Duration(rng.ExpFloat64() / f.perSecond * float64(time.Second))
				if !time.Now().Add(gap).Before(end) || sleeper.Sleep(ctx, gap) != nil {
					return
				}
				s.wg.Go(func() { s.note(f.send(ctx, s.callers[f.account], n)) })
			}
		})
	}
	sending.Wait()
}

func (s *scene) note(r caller.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, r)
}

// settle waits for the requests in hand.
func (s *scene) settle() { s.wg.Wait() }

// latency returns the p95 of the answers to requests sent in the time, in
// milliseconds.
func (s *scene) latency(kind caller.Kind, from, to time.Time, quantile float64, match func(caller.Result) bool) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := metrics.NewHistogram(metrics.NewUniformSample(samples))
	for _, r := range s.results {
		if r.OK() && r.Kind == kind && !r.At.Before(from) && r.At.Before(to) && (match == nil || match(r)) {
			h.Update(r.Latency.Microseconds())
		}
	}
	return h.Percentile(quantile) / 1e3
}

// evidence gathers what the run left behind.
func (s *scene) evidence() checker.Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := checker.Evidence{Results: s.results, Releases: []checker.Release{{Name: releaseName, Whole: s.whole}}, OutGrace: domainOutBound * time.Second}
	for _, h := range s.stage.Hosts {
		e.Hosts = append(e.Hosts, h.Host.Node().Self())
		if h.Engine != nil {
			e.Executions = append(e.Executions, h.Engine.Journal()...)
			e.Overborne += h.Engine.Overloads()
			continue
		}
		e.Executions = append(e.Executions, h.Plain.Journal()...)
	}
	return e
}

// mark takes a domain out or in through an entry.
func (s *scene) mark(ctx context.Context, via int, domain string, out bool) (relayer.Acceptance, error) {
	return s.stage.Propose(ctx, s.stage.Entries[via], proposalOf(filbertstile.Mark{Kind: filbertstile.MarkDomain, Name: domain, Out: out}))
}

// attempts sums up what the entries took in and sent.
func (s *scene) attempts() (requests, attempts int64) {
	for _, e := range s.stage.Entries {
		r, a := e.Entry.Attempts()
		requests += r
		attempts += a
	}
	return requests, attempts
}
