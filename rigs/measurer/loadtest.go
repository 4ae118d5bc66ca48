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
	// responseTokens is the average number of tokens of a response.
	responseTokens = 8
	tokenDelay     = 20 * time.Millisecond
	// engineSlots is the number of requests that a warm engine serves concurrently.
	engineSlots    = 8
	fastOrderDelay = 20 * time.Millisecond
	slowOrderDelay = 200 * time.Millisecond
	// serviceTime is the time that an engine takes for one response.
	serviceTime = responseTokens * tokenDelay
	releaseName = "release-1"
	// maxSamples is the maximum number of samples that a histogram keeps.
	maxSamples = 1 << 20
	warmUpTime = 6 * time.Second
)

// loadTestConfig configures a load test.
type loadTestConfig struct {
	// replicas is the number of replicas of the model service; 0 leaves the service out.
	replicas int
	// ledgerReplicas is the number of replicas of the plain service; 0 leaves it out.
	ledgerReplicas int
	// entriesValid is how long callers may cache the list of entries.
	entriesValid time.Duration
	dispatch     *dispatcher.Config
	// accountRate is the paid rate of each account in requests per second.
	accountRate float64
	// orderDelay is the duration of a call of the plain service.
	orderDelay time.Duration
}

// loadTest is a running stage with callers that send requests to it.
type loadTest struct {
	config        loadTestConfig
	stage         *stager.Stage
	client        *http.Client
	callers       []*caller.Caller
	rng           *rand.Rand
	weightsDigest filbertstile.Digest

	mu      sync.Mutex
	results []caller.Result
	wg      sync.WaitGroup
}

// withLoadTest starts a stage, rolls out a small release and calls f.
func withLoadTest(ctx context.Context, c loadTestConfig, f func(ctx context.Context, lt *loadTest) ([]Figure, error)) ([]Figure, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c.accountRate == 0 {
		c.accountRate = 1e6
	}
	if c.orderDelay == 0 {
		c.orderDelay = fastOrderDelay
	}
	d := newDeployment(c.replicas)
	d.Services[0].TokenDelay = configurer.Duration(tokenDelay)
	if c.ledgerReplicas > 0 {
		d.Services = append(d.Services, stager.ServiceSpec{
			Service:  filbertstile.Service{Name: ledgerService, Kind: filbertstile.ServicePlain, NonIdempotentMethods: []string{"POST"}},
			Replicas: c.ledgerReplicas, MaxRunning: 64, Delay: configurer.Duration(c.orderDelay),
		})
	}
	if c.replicas == 0 {
		d.Services = d.Services[1:]
	}
	for _, tier := range []string{topTier, midTier, lowTier} {
		d.Accounts = append(d.Accounts, stager.AccountSpec{Token: tier, Account: filbertstile.Account{Name: tier, Tier: tier, RatePerSecond: c.accountRate, Burst: max(1, c.accountRate/10)}})
	}
	lt := &loadTest{config: c, rng: rand.New(rand.NewPCG(7, 7))}
	lt.stage = stager.New(stager.Config{Deployment: d, Base: shaper.NewMemory(), Logger: discardLogger(), EntriesValid: c.entriesValid, Dispatch: c.dispatch})
	if err := lt.stage.Start(ctx); err != nil {
		return nil, err
	}
	defer lt.stage.Close()
	defer lt.wg.Wait()
	if err := lt.prepare(ctx); err != nil {
		return nil, err
	}
	return f(ctx, lt)
}

// prepare installs the deployment, rolls out the release and creates a caller for each tier.
func (lt *loadTest) prepare(ctx context.Context) error {
	if err := lt.stage.AwaitReady(ctx); err != nil {
		return err
	}
	if err := lt.stage.Install(ctx); err != nil {
		return err
	}
	if lt.config.replicas > 0 {
		m, err := lt.stage.AddRelease(ctx, modelService, imitator.ReleaseConfig{Name: releaseName, Seed: 1, ChunkBytes: 16 << 10, Chunks: 16})
		if err != nil {
			return err
		}
		lt.weightsDigest = m.Whole
		if err := lt.stage.AwaitRelease(ctx, modelService, releaseName, lt.config.replicas); err != nil {
			return err
		}
	}
	lt.client = lt.stage.HTTPClient(stager.CallerSite())
	var seeds []string
	for _, e := range lt.stage.Entries {
		seeds = append(seeds, e.Settings.HTTPAddress)
	}
	for i, token := range []string{topTier, midTier, lowTier} {
		lt.callers = append(lt.callers, caller.New(caller.Config{Client: lt.client, InitialEntries: seeds, Token: token, Seed: uint64(i)}))
	}
	return sleeper.Sleep(ctx, time.Second)
}

// capacity returns the number of requests per second that all engines together can serve
// when they are warm.
func (lt *loadTest) capacity() float64 {
	return float64(lt.config.replicas*engineSlots) / serviceTime.Seconds()
}

// flow is a stream of requests from one caller.
type flow struct {
	// caller is the index of the caller.
	caller    int
	perSecond float64
	// send sends the request with number n.
	send func(ctx context.Context, c *caller.Caller, n int) caller.Result
}

// completionSender returns a function that sends a completion request. The prefix and the
// number of the request make up its prompt.
func completionSender(prefix string) func(context.Context, *caller.Caller, int) caller.Result {
	return func(ctx context.Context, c *caller.Caller, n int) caller.Result {
		return c.Complete(ctx, modelService, fmt.Sprintf("%s %d", prefix, n), responseTokens, true)
	}
}

// variedCompletionSender is like completionSender, but the responses vary in length around
// the same average. Responses of equal length would keep all slots of an engine synchronized.
func variedCompletionSender(prefix string) func(context.Context, *caller.Caller, int) caller.Result {
	return func(ctx context.Context, c *caller.Caller, n int) caller.Result {
		maxDeviation := responseTokens / 2
		tokens := responseTokens - maxDeviation + rand.New(rand.NewPCG(uint64(n), 3)).IntN(2*maxDeviation+1)
		return c.Complete(ctx, modelService, fmt.Sprintf("%s %d", prefix, n), tokens, true)
	}
}

// orderSender returns a function that sends a non-idempotent call to the plain service.
func orderSender(prefix string) func(context.Context, *caller.Caller, int) caller.Result {
	return func(ctx context.Context, c *caller.Caller, n int) caller.Result {
		return c.Order(ctx, ledgerService, fmt.Sprintf("%s-%d", prefix, n), fmt.Sprintf("pay %s %d", prefix, n))
	}
}

// sendFlows sends the flows for the duration. The requests of a flow arrive at random
// times, independent of the responses to earlier ones.
func (lt *loadTest) sendFlows(ctx context.Context, d time.Duration, flows ...flow) {
	var sending sync.WaitGroup
	for _, f := range flows {
		seed := lt.rng.Uint64()
		sending.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 1))
			end := time.Now().Add(d)
			for n := 0; ; n++ {
				gap := time.Duration(rng.ExpFloat64() / f.perSecond * float64(time.Second))
				if !time.Now().Add(gap).Before(end) || sleeper.Sleep(ctx, gap) != nil {
					return
				}
				lt.wg.Go(func() { lt.addResult(f.send(ctx, lt.callers[f.caller], n)) })
			}
		})
	}
	sending.Wait()
}

// addResult records the result of a request.
func (lt *loadTest) addResult(r caller.Result) {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	lt.results = append(lt.results, r)
}

// awaitResults waits until no requests are in flight.
func (lt *loadTest) awaitResults() { lt.wg.Wait() }

// latencyQuantile returns a quantile of the latency, in milliseconds, of the successful
// requests of the kind that were sent between the two times. If match is not nil, only the
// requests for which it returns true count.
func (lt *loadTest) latencyQuantile(kind caller.Kind, from, to time.Time, quantile float64, match func(caller.Result) bool) float64 {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	h := metrics.NewHistogram(metrics.NewUniformSample(maxSamples))
	for _, r := range lt.results {
		if r.OK() && r.Kind == kind && !r.At.Before(from) && r.At.Before(to) && (match == nil || match(r)) {
			h.Update(r.Latency.Microseconds())
		}
	}
	return h.Percentile(quantile) / 1e3
}

// evidence returns the input of the checker for the requests so far.
func (lt *loadTest) evidence() checker.Evidence {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	e := checker.Evidence{Results: lt.results, Releases: []checker.Release{{Name: releaseName, Whole: lt.weightsDigest}}, OutageGrace: newWorkBound * time.Second}
	for _, h := range lt.stage.Hosts {
		e.Hosts = append(e.Hosts, h.Host.Node().Self())
		if h.Engine != nil {
			e.Executions = append(e.Executions, h.Engine.Journal()...)
			e.Overloads += h.Engine.Overloads()
			continue
		}
		e.Executions = append(e.Executions, h.Plain.Journal()...)
	}
	return e
}

// setDomainOut takes a failure domain out of service, or puts it back, through the entry
// with the given index.
func (lt *loadTest) setDomainOut(ctx context.Context, entry int, domain string, out bool) (relayer.Acceptance, error) {
	return lt.stage.Propose(ctx, lt.stage.Entries[entry], newProposal(filbertstile.Mark{Kind: filbertstile.MarkDomain, Name: domain, Out: out}))
}

// attempts returns how many requests all entries received and how many attempts they sent.
func (lt *loadTest) attempts() (requests, attempts int64) {
	for _, e := range lt.stage.Entries {
		r, a := e.Entry.Attempts()
		requests += r
		attempts += a
	}
	return requests, attempts
}
