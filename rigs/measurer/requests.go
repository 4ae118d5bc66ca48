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
	domainOutBound  = 3
	latencyBound    = 1.25
	everywhereBound = 3
	topTierBound    = 1.2
	goodputBound    = 0.95
	overshootBound  = 1.05
	amplifyBound    = 1.1
	writesBound     = 0.2
	outDomain       = "istanbul-a"
	outTime         = 6 * time.Second
	overload        = 3
	configChanges   = 60
	paidRate        = 100
	// quietShare is what each entry but one offers of the paid rate.
	quietShare     = 0.05
	onceRate       = 500
	onceTime       = 10 * time.Second
	storeSlow      = 400 * time.Millisecond
	spreadPoll     = 5 * time.Millisecond
	failingServers = 5
)

func requestMeasures() []Measure {
	return []Measure{
		{Name: "Domain.Leave70", Run: measureDomainLoad},
		{Name: "Domain.Latency", Run: measureDomainLatency},
		{Name: "Domain.CutOff", Run: func(ctx context.Context) ([]Line, error) { return measureDomainCase(ctx, "CutOff") }},
		{Name: "Domain.StoreSlow", Run: func(ctx context.Context) ([]Line, error) { return measureDomainCase(ctx, "StoreSlow") }},
		{Name: "Config.Everywhere", Run: measureConfig},
		{Name: "Priority", Run: measurePriority},
		{Name: "Limit", Run: measureLimit},
		{Name: "ColdStart", Run: measureColdStart},
		{Name: "Retry", Run: measureRetry},
		{Name: "Once.Writes", Run: measureOnceWrites},
		{Name: "Once.HostDies", Run: measureOnceHostDies},
	}
}

// measureDomainLoad takes a domain out and in at 70% of all capacity.
func measureDomainLoad(ctx context.Context) ([]Line, error) {
	return withScene(ctx, sceneConfig{replicas: 14}, func(ctx context.Context, s *scene) ([]Line, error) {
		load := flow{account: 1, perSecond: 0.7 * s.capacity(), send: completions("load")}
		s.run(ctx, warmUp, flow{account: 1, perSecond: 0.6 * s.capacity(), send: completions("warm")})
		s.settle()
		s.results = nil
		v, err := s.leaveAndReturn(ctx, load)
		if err != nil {
			return nil, err
		}
		p := Params{{"Load", 0.7}, {"Replicas", 14}, {"Requests", v.Requests}}
		return []Line{
			atMost("Domain.CutRequests", float64(v.Failed), "requests", 0, p),
			atMost("Domain.FailedRequests", float64(v.Failed+v.Refused+v.Unknown), "requests", 0, p),
			atMost("Domain.NewWorkAfterSeconds", v.LastWorkAfter.Seconds(), "s", domainOutBound, append(p, Param{"Case", "Connected"})),
			atMost("Answer.Wrong", float64(v.WrongAnswers+v.MixedWeights), "answers", 0, p),
		}, nil
	})
}

// leaveAndReturn takes a domain out and in under the load.
func (s *scene) leaveAndReturn(ctx context.Context, load flow) (checker.Verdict, error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.run(ctx, 3*outTime, load)
	}()
	if err := sleeper.Sleep(ctx, outTime); err != nil {
		return checker.Verdict{}, err
	}
	from := time.Now()
	if _, err := s.mark(ctx, 0, outDomain, true); err != nil {
		return checker.Verdict{}, err
	}
	if err := sleeper.Sleep(ctx, outTime); err != nil {
		return checker.Verdict{}, err
	}
	to := time.Now()
	if _, err := s.mark(ctx, 0, outDomain, false); err != nil {
		return checker.Verdict{}, err
	}
	<-done
	s.settle()
	e := s.evidence()
	e.Outages = []checker.Outage{{Domain: outDomain, From: from, To: to}}
	return checker.Check(e), nil
}

// measureDomainLatency does the same at a load that the rest can carry.
func measureDomainLatency(ctx context.Context) ([]Line, error) {
	return withScene(ctx, sceneConfig{replicas: 14}, func(ctx context.Context, s *scene) ([]Line, error) {
		load := flow{account: 1, perSecond: 0.45 * s.capacity(), send: completions("load")}
		s.run(ctx, warmUp, load)
		from := time.Now()
		s.run(ctx, outTime, load)
		s.settle()
		steady := s.latency(caller.KindCompletion, from, time.Now(), 0.95, nil)
		began := time.Now()
		if _, err := s.leaveAndReturn(ctx, load); err != nil {
			return nil, err
		}
		moving := s.latency(caller.KindCompletion, began, time.Now(), 0.95, nil)
		p := Params{{"Load", 0.45}, {"Replicas", 14}, {"SteadyMilliseconds", steady}}
		return []Line{atMost("Domain.LatencyRatio", moving/steady, "ratio", latencyBound, p)}, nil
	})
}

// measureDomainCase takes a domain out that is cut off, or with the store slow.
func measureDomainCase(ctx context.Context, name string) ([]Line, error) {
	return withScene(ctx, sceneConfig{replicas: 14, entriesValid: time.Hour}, func(ctx context.Context, s *scene) ([]Line, error) {
		load := flow{account: 1, perSecond: 0.3 * s.capacity(), send: completions("load")}
		s.run(ctx, warmUp, load)
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.run(ctx, 3*outTime, load)
		}()
		if err := sleeper.Sleep(ctx, time.Second); err != nil {
			return nil, err
		}
		switch name {
		case "CutOff":
			for _, other := range []string{"izmir", "ankara", "platform"} {
				s.stage.Fabric.SetPartitioned(outDomain, other, true)
			}
		case "StoreSlow":
			s.stage.Objects.SetFaults(imitator.ObjectFaults{Delay: storeSlow})
		}
		from := time.Now()
		if _, err := s.mark(ctx, 0, outDomain, true); err != nil {
			return nil, err
		}
		took := time.Since(from)
		<-done
		to := time.Now()
		for _, other := range []string{"izmir", "ankara", "platform"} {
			s.stage.Fabric.SetPartitioned(outDomain, other, false)
		}
		s.settle()
		e := s.evidence()
		e.Outages = []checker.Outage{{Domain: outDomain, From: from, To: to}}
		v := checker.Check(e)
		p := Params{{"Case", name}, {"Requests", v.Requests}, {"OperatorWaitedSeconds", took.Seconds()}, {"Refused", v.Refused}}
		return []Line{
			atMost("Domain.NewWorkAfterSeconds", v.LastWorkAfter.Seconds(), "s", domainOutBound, p),
			atMost("Answer.Wrong", float64(v.WrongAnswers+v.MixedWeights+v.FalseNotRun), "answers", 0, p),
		}, nil
	})
}

// measureConfig applies changes one after the other, with the store slow and
// one relay killed on the way.
func measureConfig(ctx context.Context) ([]Line, error) {
	return withScene(ctx, sceneConfig{replicas: 14}, func(ctx context.Context, s *scene) ([]Line, error) {
		s.stage.Objects.SetFaults(imitator.ObjectFaults{Delay: storeSlow})
		watching, stop := context.WithCancel(ctx)
		defer stop()
		reverts := make(chan int, 1)
		go func() { reverts <- s.countReverts(watching) }()
		h := metrics.NewHistogram(metrics.NewUniformSample(samples))
		for i := range configChanges {
			if i == configChanges/2 {
				s.killRelay()
			}
			began := time.Now()
			a, err := s.mark(ctx, 0, "trial-domain", i%2 == 0)
			if err != nil {
				return nil, err
			}
			for !s.stage.Entries[0].Entry.Node().Relay.Propagation(ctx).Complete(a.Revision) {
				if err := sleeper.Sleep(ctx, spreadPoll); err != nil {
					return nil, err
				}
			}
			h.Update(time.Since(began).Milliseconds())
		}
		stop()
		p := Params{{"Changes", configChanges}, {"StoreDelaySeconds", storeSlow.Seconds()}, {"RelaysKilled", 1}, {"P50", h.Percentile(0.5) / 1e3}}
		return []Line{
			atMost("Config.EverywhereSeconds", h.Percentile(0.99)/1e3, "s", everywhereBound, p),
			atMost("Config.Reverts", float64(<-reverts), "reverts", 0, p),
		}, nil
	})
}

// killRelay kills an entry that asks the store, other than the first entry.
func (s *scene) killRelay() {
	for _, e := range s.stage.Entries[1:] {
		if e.Entry.Node().Relay.Place().Root {
			e.Kill()
			s.stage.List.Remove(e.Settings.Identity.Name)
			return
		}
	}
}

// countReverts looks for a process whose revision goes down.
func (s *scene) countReverts(ctx context.Context) int {
	seen := make(map[string]uint64)
	reverts := 0
	look := func(name string, revision uint64) {
		if revision < seen[name] {
			reverts++
		}
		seen[name] = max(seen[name], revision)
	}
	for sleeper.Sleep(ctx, spreadPoll) == nil {
		for _, e := range s.stage.Entries {
			look(e.Settings.Identity.Name, e.Entry.Node().Holder.View().Config.Revision)
		}
		for _, h := range s.stage.Hosts {
			look(h.Settings.Identity.Name, h.Host.Node().Holder.View().Config.Revision)
		}
	}
	return reverts
}

// measurePriority overloads from the lower tiers.
func measurePriority(ctx context.Context) ([]Line, error) {
	return withScene(ctx, sceneConfig{replicas: 6}, func(ctx context.Context, s *scene) ([]Line, error) {
		top := flow{account: 0, perSecond: 0.2 * s.capacity(), send: completions("top")}
		mid := flow{account: 1, perSecond: 0.5 * s.capacity(), send: varied("mid")}
		s.run(ctx, warmUp, top, mid)
		s.settle()
		from := time.Now()
		s.run(ctx, outTime, top)
		s.settle()
		isTop := func(r caller.Result) bool { return len(r.Prompt) > 3 && r.Prompt[:3] == "top" }
		alone := s.latency(caller.KindCompletion, from, time.Now(), 0.95, isTop)
		mid.perSecond = overload / 2.0 * s.capacity()
		low := flow{account: 2, perSecond: overload / 2.0 * s.capacity(), send: varied("low")}
		// The queues fill before the measured time begins.
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.run(ctx, outTime+2*time.Second, top, mid, low)
		}()
		if err := sleeper.Sleep(ctx, 2*time.Second); err != nil {
			return nil, err
		}
		began := time.Now()
		if err := sleeper.Sleep(ctx, outTime); err != nil {
			return nil, err
		}
		end := time.Now()
		<-done
		s.settle()
		crowded := s.latency(caller.KindCompletion, began, end, 0.95, isTop)
		finished, topFailed := 0, 0
		for _, r := range s.results {
			at := r.At.Add(r.Latency)
			if r.OK() && at.After(began) && at.Before(end) {
				finished++
			}
			if isTop(r) && !r.OK() {
				topFailed++
			}
		}
		goodput := float64(finished) / end.Sub(began).Seconds()
		p := Params{{"Replicas", 6}, {"OverloadFactor", overload}, {"AloneMilliseconds", alone}, {"CrowdedMilliseconds", crowded}, {"CapacityPerSecond", s.capacity()}, {"TopTierRefused", topFailed}}
		return []Line{
			atMost("Priority.TopTierLatencyRatio", crowded/alone, "ratio", topTierBound, p),
			atLeast("Priority.GoodputShare", goodput/s.capacity(), "ratio", goodputBound, p),
		}, nil
	})
}

// measureLimit offers three times the paid rate, most of it at one entry, and
// loses an entry on the way.
func measureLimit(ctx context.Context) ([]Line, error) {
	return withScene(ctx, sceneConfig{ledgers: 3, rate: paidRate}, func(ctx context.Context, s *scene) ([]Line, error) {
		const span = 20 * time.Second
		callers := make([]*caller.Caller, 0, len(s.stage.Entries))
		for i, e := range s.stage.Entries {
			// A caller with one seed and no list of entries stays where it is.
			callers = append(callers, caller.New(caller.Config{Client: s.client, Fixed: e.Settings.HTTPAddress, Token: topTier, Seed: uint64(i)}))
		}
		flows := make([]flow, 0, len(callers))
		for i, c := range callers {
			rate := quietShare * paidRate
			if i == 0 {
				rate = (overload - 6*quietShare) * paidRate
			}
			flows = append(flows, flow{perSecond: rate, send: func(ctx context.Context, _ *caller.Caller, _ int) caller.Result { return c.Query(ctx, ledgerService) }})
		}
		begin := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.run(ctx, span, flows...)
		}()
		if err := sleeper.Sleep(ctx, span/2); err != nil {
			return nil, err
		}
		lost := s.stage.Entries[3]
		lost.Kill()
		s.stage.List.Remove(lost.Settings.Identity.Name)
		<-done
		s.settle()
		accepted := 0
		for _, r := range s.results {
			if r.OK() {
				accepted++
			}
		}
		paid := paidRate * time.Since(begin).Seconds()
		p := Params{{"Entries", 7}, {"PaidPerSecond", paidRate}, {"OfferedPerSecond", 3 * paidRate}, {"Seconds", span.Seconds()}, {"Offered", len(s.results)}}
		return []Line{
			atMost("Limit.AccountOvershoot", float64(accepted)/paid, "ratio", overshootBound, p),
			plain("Limit.AccountDelivered", float64(accepted)/paid, "ratio", p),
			// Static shares let the busy entry have a seventh, the others what they ask.
			plain("Limit.AccountDelivered.Baseline", 1.0/7+6*quietShare, "ratio", p),
		}, nil
	})
}

// measureColdStart rolls a release out under load, and turns engines cold
// without a word.
func measureColdStart(ctx context.Context) ([]Line, error) {
	return withScene(ctx, sceneConfig{replicas: 14}, func(ctx context.Context, s *scene) ([]Line, error) {
		load := flow{account: 1, perSecond: 0.5 * s.capacity(), send: completions("load")}
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.run(ctx, 3*outTime, load)
		}()
		if err := sleeper.Sleep(ctx, outTime); err != nil {
			return nil, err
		}
		if _, err := s.stage.AddRelease(ctx, modelService, imitator.ReleaseConfig{Name: "release-2", Seed: 2, ChunkBytes: 16 << 10, Chunks: 16}); err != nil {
			return nil, err
		}
		if err := s.stage.AwaitRelease(ctx, modelService, "release-2", s.config.replicas); err != nil {
			return nil, err
		}
		if err := sleeper.Sleep(ctx, outTime/2); err != nil {
			return nil, err
		}
		announced := s.evidence().Overborne
		const silent = 4
		for _, h := range s.stage.HostsOf(modelService)[:silent] {
			h.Engine.TurnCold()
		}
		<-done
		s.settle()
		e := s.evidence()
		p := Params{{"Load", 0.5}, {"Replicas", 14}}
		// The first refusal of each engine is the sign that it is cold.
		return []Line{
			atMost("ColdStart.OverBearing", float64(announced), "requests", 0, append(p, Param{"Case", "Release"})),
			atMost("ColdStart.OverBearing", float64(max(0, e.Overborne-announced-silent)), "requests", 0, append(p, Param{"Case", "WithoutWarningAfterFirstSign"})),
		}, nil
	})
}

// measureRetry breaks a third of the engines.
func measureRetry(ctx context.Context) ([]Line, error) {
	return withScene(ctx, sceneConfig{replicas: 14}, func(ctx context.Context, s *scene) ([]Line, error) {
		load := flow{account: 1, perSecond: 0.3 * s.capacity(), send: completions("load")}
		s.run(ctx, warmUp, load)
		s.settle()
		s.results = nil
		for _, h := range s.stage.HostsOf(modelService)[:failingServers] {
			h.Engine.SetBroken(true)
		}
		r0, a0 := s.attempts()
		s.run(ctx, 3*outTime, load)
		s.settle()
		r1, a1 := s.attempts()
		v := checker.Check(s.evidence())
		p := Params{{"Load", 0.3}, {"Replicas", 14}, {"Failing", failingServers}, {"Requests", v.Requests}, {"Answered", v.Answered}}
		return []Line{
			atMost("Retry.Amplification", float64(a1-a0)/float64(r1-r0), "attempts", amplifyBound, p),
			// Trying at random until it works: a geometric series.
			plain("Retry.Amplification.Baseline", 14.0/(14-failingServers), "attempts", p),
		}, nil
	})
}

// measureOnceWrites sends 500 orders a second.
func measureOnceWrites(ctx context.Context) ([]Line, error) {
	return withScene(ctx, sceneConfig{ledgers: 3}, func(ctx context.Context, s *scene) ([]Line, error) {
		s.run(ctx, 3*time.Second, flow{perSecond: onceRate / 10, send: ordersOf("warm")})
		s.settle()
		s.results = nil
		before := s.stage.Objects.Calls()
		s.run(ctx, onceTime, flow{perSecond: onceRate, send: ordersOf("order")})
		s.settle()
		// The outcomes of the last calls are still on their way.
		if err := sleeper.Sleep(ctx, 2*time.Second); err != nil {
			return nil, err
		}
		after := s.stage.Objects.Calls()
		v := checker.Check(s.evidence())
		p := Params{{"CallsPerSecond", onceRate}, {"Seconds", onceTime.Seconds()}, {"Answered", v.Answered}, {"Requests", v.Requests}, {"P50Milliseconds", s.latency(caller.KindOrder, time.Time{}, time.Now(), 0.5, nil)}}
		return []Line{
			atMost("Once.WritesPerCall", float64(after.Writes-before.Writes)/float64(v.Requests), "writes", writesBound, p),
			plain("Once.WritesPerCall.Baseline", 2, "writes", p),
			atMost("Once.Duplicates", float64(v.Duplicates), "orders", 0, p),
			atMost("Once.Lost", float64(v.Lost), "orders", 0, p),
			atMost("Once.FalseNotRun", float64(v.FalseNotRun), "orders", 0, p),
		}, nil
	})
}

// measureOnceHostDies kills one of three hosts in the midst of orders.
func measureOnceHostDies(ctx context.Context) ([]Line, error) {
	return withScene(ctx, sceneConfig{ledgers: 3, orderDelay: slowOrder}, func(ctx context.Context, s *scene) ([]Line, error) {
		s.run(ctx, 3*time.Second, flow{perSecond: onceRate / 10, send: ordersOf("warm")})
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.run(ctx, outTime, flow{perSecond: onceRate / 2, send: ordersOf("order")})
		}()
		if err := sleeper.Sleep(ctx, outTime/2); err != nil {
			return nil, err
		}
		victim := s.stage.HostsOf(ledgerService)[0]
		inHand := victim.Host.InFlight()
		s.stage.Fabric.SetStalled(victim.Settings.Identity.Name, true)
		victim.Kill()
		s.stage.List.Remove(victim.Settings.Identity.Name)
		<-done
		s.settle()
		v := checker.Check(s.evidence())
		share := float64(v.Unknown) / float64(v.Requests)
		allowed := float64(inHand) / float64(v.Requests)
		p := Params{{"Requests", v.Requests}, {"InHandAtDeath", inHand}, {"Unknown", v.Unknown}, {"Refused", v.Refused}, {"Failed", v.Failed}}
		return []Line{
			atMost("Once.UnknownShare", share, "ratio", allowed, p),
			atMost("Once.Duplicates", float64(v.Duplicates), "orders", 0, p),
			atMost("Once.Lost", float64(v.Lost), "orders", 0, p),
			atMost("Once.FalseNotRun", float64(v.FalseNotRun), "orders", 0, p),
		}, nil
	})
}

func proposalOf(marks ...filbertstile.Mark) relayer.Proposal { return relayer.Proposal{Marks: marks} }
