package measurer

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/rigs/caller"
	"filbertstile.example/filbertstile/rigs/checker"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/shells/relayer"
)

const (
	// newWorkBound bounds the time, in seconds, from when a domain is taken out of service to
	// the last new request that a host in it receives.
	newWorkBound       = 3
	domainLatencyBound = 1.25
	// propagationBound bounds the time, in seconds, until a change is in force everywhere.
	propagationBound    = 3
	topTierLatencyBound = 1.2
	goodputBound        = 0.95
	overshootBound      = 1.05
	amplificationBound  = 1.1
	writesPerCallBound  = 0.2
	outDomain           = "istanbul-a"
	// phaseTime is the length of each phase of a measurement, such as before, during and
	// after an outage.
	phaseTime = 6 * time.Second
	// overloadFactor is the ratio of the load to the capacity or the paid rate.
	overloadFactor = 3
	configChanges  = 60
	// paidRate is in requests per second.
	paidRate = 100
	// lightLoadShare is the share of the paid rate that callers send to each entry except
	// the first.
	lightLoadShare = 0.05
	// orderRate is in calls per second.
	orderRate               = 500
	orderTime               = 10 * time.Second
	slowStoreDelay          = 400 * time.Millisecond
	propagationPollInterval = 5 * time.Millisecond
	brokenEngines           = 5
)

func requestMeasurements() []Measurement {
	return []Measurement{
		{Name: "Domain.Leave70", Run: measureDomainOutage},
		{Name: "Domain.Latency", Run: measureDomainLatency},
		{Name: "Domain.CutOff", Run: func(ctx context.Context) ([]Figure, error) { return measureDomainOutageWithFault(ctx, "CutOff") }},
		{Name: "Domain.StoreSlow", Run: func(ctx context.Context) ([]Figure, error) { return measureDomainOutageWithFault(ctx, "StoreSlow") }},
		{Name: "Config.Everywhere", Run: measurePropagation},
		{Name: "Priority", Run: measurePriority},
		{Name: "Limit", Run: measureRateLimit},
		{Name: "ColdStart", Run: measureColdStart},
		{Name: "Retry", Run: measureRetries},
		{Name: "Once.Writes", Run: measureOrderWrites},
		{Name: "Once.HostDies", Run: measureOrdersDuringHostKill},
	}
}

// measureDomainOutage takes a failure domain out of service and puts it back, at a load of
// 70% of the capacity of all domains.
func measureDomainOutage(ctx context.Context) ([]Figure, error) {
	return withLoadTest(ctx, loadTestConfig{replicas: 14}, func(ctx context.Context, lt *loadTest) ([]Figure, error) {
		load := flow{caller: 1, perSecond: 0.7 * lt.capacity(), send: completionSender("load")}
		lt.sendFlows(ctx, warmUpTime, flow{caller: 1, perSecond: 0.6 * lt.capacity(), send: completionSender("warm")})
		lt.awaitResults()
		lt.results = nil
		v, err := lt.runDomainOutage(ctx, load)
		if err != nil {
			return nil, err
		}
		p := Params{{"Load", 0.7}, {"Replicas", 14}, {"Requests", v.Requests}}
		return []Figure{
			atMost("Domain.CutRequests", float64(v.Failed), "requests", 0, p),
			atMost("Domain.FailedRequests", float64(v.Failed+v.Refused+v.Unknown), "requests", 0, p),
			atMost("Domain.NewWorkAfterSeconds", v.LastWorkAfter.Seconds(), "s", newWorkBound, append(p, Param{"Case", "Connected"})),
			atMost("Answer.Wrong", float64(v.WrongAnswers+v.MixedWeights), "answers", 0, p),
		}, nil
	})
}

// runDomainOutage takes a failure domain out of service and puts it back under the load. It
// returns the verdict of the checker.
func (lt *loadTest) runDomainOutage(ctx context.Context, load flow) (checker.Verdict, error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		lt.sendFlows(ctx, 3*phaseTime, load)
	}()
	if err := sleeper.Sleep(ctx, phaseTime); err != nil {
		return checker.Verdict{}, err
	}
	from := time.Now()
	if _, err := lt.setDomainOut(ctx, 0, outDomain, true); err != nil {
		return checker.Verdict{}, err
	}
	if err := sleeper.Sleep(ctx, phaseTime); err != nil {
		return checker.Verdict{}, err
	}
	to := time.Now()
	if _, err := lt.setDomainOut(ctx, 0, outDomain, false); err != nil {
		return checker.Verdict{}, err
	}
	<-done
	lt.awaitResults()
	e := lt.evidence()
	e.Outages = []checker.Outage{{Domain: outDomain, From: from, To: to}}
	return checker.Check(e), nil
}

// measureDomainLatency compares the latency while a failure domain leaves and returns with
// that before, at a load within the capacity of the other domains.
func measureDomainLatency(ctx context.Context) ([]Figure, error) {
	return withLoadTest(ctx, loadTestConfig{replicas: 14}, func(ctx context.Context, lt *loadTest) ([]Figure, error) {
		load := flow{caller: 1, perSecond: 0.45 * lt.capacity(), send: completionSender("load")}
		lt.sendFlows(ctx, warmUpTime, load)
		from := time.Now()
		lt.sendFlows(ctx, phaseTime, load)
		lt.awaitResults()
		baseline := lt.latencyQuantile(caller.KindCompletion, from, time.Now(), 0.95, nil)
		start := time.Now()
		if _, err := lt.runDomainOutage(ctx, load); err != nil {
			return nil, err
		}
		during := lt.latencyQuantile(caller.KindCompletion, start, time.Now(), 0.95, nil)
		p := Params{{"Load", 0.45}, {"Replicas", 14}, {"SteadyMilliseconds", baseline}}
		return []Figure{atMost("Domain.LatencyRatio", during/baseline, "ratio", domainLatencyBound, p)}, nil
	})
}

// measureDomainOutageWithFault takes a failure domain out of service while it is cut off from
// the rest (CutOff) or while the object API is slow (StoreSlow).
func measureDomainOutageWithFault(ctx context.Context, fault string) ([]Figure, error) {
	return withLoadTest(ctx, loadTestConfig{replicas: 14, entriesValid: time.Hour}, func(ctx context.Context, lt *loadTest) ([]Figure, error) {
		load := flow{caller: 1, perSecond: 0.3 * lt.capacity(), send: completionSender("load")}
		lt.sendFlows(ctx, warmUpTime, load)
		done := make(chan struct{})
		go func() {
			defer close(done)
			lt.sendFlows(ctx, 3*phaseTime, load)
		}()
		if err := sleeper.Sleep(ctx, time.Second); err != nil {
			return nil, err
		}
		switch fault {
		case "CutOff":
			for _, other := range []string{"izmir", "ankara", "platform"} {
				lt.stage.Fabric.SetPartitioned(outDomain, other, true)
			}
		case "StoreSlow":
			lt.stage.Objects.SetFaults(imitator.ObjectFaults{Delay: slowStoreDelay})
		}
		from := time.Now()
		if _, err := lt.setDomainOut(ctx, 0, outDomain, true); err != nil {
			return nil, err
		}
		operatorWait := time.Since(from)
		<-done
		to := time.Now()
		for _, other := range []string{"izmir", "ankara", "platform"} {
			lt.stage.Fabric.SetPartitioned(outDomain, other, false)
		}
		lt.awaitResults()
		e := lt.evidence()
		e.Outages = []checker.Outage{{Domain: outDomain, From: from, To: to}}
		v := checker.Check(e)
		p := Params{{"Case", fault}, {"Requests", v.Requests}, {"OperatorWaitedSeconds", operatorWait.Seconds()}, {"Refused", v.Refused}}
		return []Figure{
			atMost("Domain.NewWorkAfterSeconds", v.LastWorkAfter.Seconds(), "s", newWorkBound, p),
			atMost("Answer.Wrong", float64(v.WrongAnswers+v.MixedWeights+v.FalseNotRun), "answers", 0, p),
		}, nil
	})
}

// measurePropagation measures how long configuration changes take until they are in force in
// all processes. The object API is slow, and one root is killed halfway.
func measurePropagation(ctx context.Context) ([]Figure, error) {
	return withLoadTest(ctx, loadTestConfig{replicas: 14}, func(ctx context.Context, lt *loadTest) ([]Figure, error) {
		lt.stage.Objects.SetFaults(imitator.ObjectFaults{Delay: slowStoreDelay})
		countCtx, stop := context.WithCancel(ctx)
		defer stop()
		reverts := make(chan int, 1)
		go func() { reverts <- lt.countReverts(countCtx) }()
		h := metrics.NewHistogram(metrics.NewUniformSample(maxSamples))
		for i := range configChanges {
			if i == configChanges/2 {
				lt.killRoot()
			}
			start := time.Now()
			acceptance, err := lt.setDomainOut(ctx, 0, "trial-domain", i%2 == 0)
			if err != nil {
				return nil, err
			}
			for !lt.stage.Entries[0].Entry.Node().Relay.Propagation(ctx).Complete(acceptance.Revision) {
				if err := sleeper.Sleep(ctx, propagationPollInterval); err != nil {
					return nil, err
				}
			}
			h.Update(time.Since(start).Milliseconds())
		}
		stop()
		p := Params{{"Changes", configChanges}, {"StoreDelaySeconds", slowStoreDelay.Seconds()}, {"RelaysKilled", 1}, {"P50", h.Percentile(0.5) / 1e3}}
		return []Figure{
			atMost("Config.EverywhereSeconds", h.Percentile(0.99)/1e3, "s", propagationBound, p),
			atMost("Config.Reverts", float64(<-reverts), "reverts", 0, p),
		}, nil
	})
}

// killRoot kills a root, that is, an entry that reads the object API itself. It spares the
// first entry, which accepts the changes.
func (lt *loadTest) killRoot() {
	for _, e := range lt.stage.Entries[1:] {
		if e.Entry.Node().Relay.Place().Root {
			e.Kill()
			lt.stage.List.Remove(e.Settings.Identity.Name)
			return
		}
	}
}

// countReverts returns how often the configuration revision of a process was lower than
// before, until the context ends.
func (lt *loadTest) countReverts(ctx context.Context) int {
	newest := make(map[string]uint64)
	reverts := 0
	check := func(name string, revision uint64) {
		if revision < newest[name] {
			reverts++
		}
		newest[name] = max(newest[name], revision)
	}
	for sleeper.Sleep(ctx, propagationPollInterval) == nil {
		for _, e := range lt.stage.Entries {
			check(e.Settings.Identity.Name, e.Entry.Node().Holder.View().Config.Revision)
		}
		for _, h := range lt.stage.Hosts {
			check(h.Settings.Identity.Name, h.Host.Node().Holder.View().Config.Revision)
		}
	}
	return reverts
}

// measureRetries measures the number of attempts per request while a third of the engines
// fail all requests.
func measureRetries(ctx context.Context) ([]Figure, error) {
	return withLoadTest(ctx, loadTestConfig{replicas: 14}, func(ctx context.Context, lt *loadTest) ([]Figure, error) {
		load := flow{caller: 1, perSecond: 0.3 * lt.capacity(), send: completionSender("load")}
		lt.sendFlows(ctx, warmUpTime, load)
		lt.awaitResults()
		lt.results = nil
		for _, h := range lt.stage.HostsOf(modelService)[:brokenEngines] {
			h.Engine.SetBroken(true)
		}
		requestsBefore, attemptsBefore := lt.attempts()
		lt.sendFlows(ctx, 3*phaseTime, load)
		lt.awaitResults()
		requestsAfter, attemptsAfter := lt.attempts()
		v := checker.Check(lt.evidence())
		p := Params{{"Load", 0.3}, {"Replicas", 14}, {"Failing", brokenEngines}, {"Requests", v.Requests}, {"Answered", v.Answered}}
		return []Figure{
			atMost("Retry.Amplification", float64(attemptsAfter-attemptsBefore)/float64(requestsAfter-requestsBefore), "attempts", amplificationBound, p),
			// The mean of a geometric distribution: random choices until one succeeds.
			unbounded("Retry.Amplification.Baseline", 14.0/(14-brokenEngines), "attempts", p),
		}, nil
	})
}

// measureOrderWrites measures the writes to the object API for each non-idempotent call, at
// 500 calls per second.
func measureOrderWrites(ctx context.Context) ([]Figure, error) {
	return withLoadTest(ctx, loadTestConfig{ledgerReplicas: 3}, func(ctx context.Context, lt *loadTest) ([]Figure, error) {
		lt.sendFlows(ctx, 3*time.Second, flow{perSecond: orderRate / 10, send: orderSender("warm")})
		lt.awaitResults()
		lt.results = nil
		callsBefore := lt.stage.Objects.Calls()
		lt.sendFlows(ctx, orderTime, flow{perSecond: orderRate, send: orderSender("order")})
		lt.awaitResults()
		// The outcomes of the last calls are written after their responses.
		if err := sleeper.Sleep(ctx, 2*time.Second); err != nil {
			return nil, err
		}
		callsAfter := lt.stage.Objects.Calls()
		v := checker.Check(lt.evidence())
		p := Params{{"CallsPerSecond", orderRate}, {"Seconds", orderTime.Seconds()}, {"Answered", v.Answered}, {"Requests", v.Requests}, {"P50Milliseconds", lt.latencyQuantile(caller.KindOrder, time.Time{}, time.Now(), 0.5, nil)}}
		return []Figure{
			atMost("Once.WritesPerCall", float64(callsAfter.Writes-callsBefore.Writes)/float64(v.Requests), "writes", writesPerCallBound, p),
			unbounded("Once.WritesPerCall.Baseline", 2, "writes", p),
			atMost("Once.Duplicates", float64(v.Duplicates), "orders", 0, p),
			atMost("Once.Lost", float64(v.Lost), "orders", 0, p),
			atMost("Once.FalseNotRun", float64(v.FalseNotRun), "orders", 0, p),
		}, nil
	})
}

// measureOrdersDuringHostKill kills one of three hosts during non-idempotent calls. At most
// the calls in flight at the host may end with an unknown outcome.
func measureOrdersDuringHostKill(ctx context.Context) ([]Figure, error) {
	return withLoadTest(ctx, loadTestConfig{ledgerReplicas: 3, orderDelay: slowOrderDelay}, func(ctx context.Context, lt *loadTest) ([]Figure, error) {
		lt.sendFlows(ctx, 3*time.Second, flow{perSecond: orderRate / 10, send: orderSender("warm")})
		done := make(chan struct{})
		go func() {
			defer close(done)
			lt.sendFlows(ctx, phaseTime, flow{perSecond: orderRate / 2, send: orderSender("order")})
		}()
		if err := sleeper.Sleep(ctx, phaseTime/2); err != nil {
			return nil, err
		}
		killed := lt.stage.HostsOf(ledgerService)[0]
		inFlight := killed.Host.InFlight()
		lt.stage.Fabric.SetStalled(killed.Settings.Identity.Name, true)
		killed.Kill()
		lt.stage.List.Remove(killed.Settings.Identity.Name)
		<-done
		lt.awaitResults()
		v := checker.Check(lt.evidence())
		unknownShare := float64(v.Unknown) / float64(v.Requests)
		maxUnknownShare := float64(inFlight) / float64(v.Requests)
		p := Params{{"Requests", v.Requests}, {"InHandAtDeath", inFlight}, {"Unknown", v.Unknown}, {"Refused", v.Refused}, {"Failed", v.Failed}}
		return []Figure{
			atMost("Once.UnknownShare", unknownShare, "ratio", maxUnknownShare, p),
			atMost("Once.Duplicates", float64(v.Duplicates), "orders", 0, p),
			atMost("Once.Lost", float64(v.Lost), "orders", 0, p),
			atMost("Once.FalseNotRun", float64(v.FalseNotRun), "orders", 0, p),
		}, nil
	})
}

// newProposal returns a proposal to change the marks.
func newProposal(marks ...filbertstile.Mark) relayer.Proposal { return relayer.Proposal{Marks: marks} }
