package measurer

import (
	"context"
	"time"

	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/rigs/caller"
	"filbertstile.example/filbertstile/rigs/imitator"
)

// measurePriority overloads the service with requests of the lower tiers, and measures the
// latency of the top tier and the goodput.
func measurePriority(ctx context.Context) ([]Figure, error) {
	return withLoadTest(ctx, loadTestConfig{replicas: 6}, func(ctx context.Context, lt *loadTest) ([]Figure, error) {
		top := flow{caller: 0, perSecond: 0.2 * lt.capacity(), send: completionSender("top")}
		mid := flow{caller: 1, perSecond: 0.5 * lt.capacity(), send: variedCompletionSender("mid")}
		lt.sendFlows(ctx, warmUpTime, top, mid)
		lt.awaitResults()
		from := time.Now()
		lt.sendFlows(ctx, phaseTime, top)
		lt.awaitResults()
		isTop := func(r caller.Result) bool { return len(r.Prompt) > 3 && r.Prompt[:3] == "top" }
		baseline := lt.latencyQuantile(caller.KindCompletion, from, time.Now(), 0.95, isTop)
		mid.perSecond = overloadFactor / 2.0 * lt.capacity()
		low := flow{caller: 2, perSecond: overloadFactor / 2.0 * lt.capacity(), send: variedCompletionSender("low")}
		// The queues must be full before the measured interval starts.
		done := make(chan struct{})
		go func() {
			defer close(done)
			lt.sendFlows(ctx, phaseTime+2*time.Second, top, mid, low)
		}()
		if err := sleeper.Sleep(ctx, 2*time.Second); err != nil {
			return nil, err
		}
		start := time.Now()
		if err := sleeper.Sleep(ctx, phaseTime); err != nil {
			return nil, err
		}
		end := time.Now()
		<-done
		lt.awaitResults()
		overloaded := lt.latencyQuantile(caller.KindCompletion, start, end, 0.95, isTop)
		finished, topFailed := 0, 0
		for _, r := range lt.results {
			finishedAt := r.At.Add(r.Latency)
			if r.OK() && finishedAt.After(start) && finishedAt.Before(end) {
				finished++
			}
			if isTop(r) && !r.OK() {
				topFailed++
			}
		}
		goodput := float64(finished) / end.Sub(start).Seconds()
		p := Params{{"Replicas", 6}, {"OverloadFactor", overloadFactor}, {"AloneMilliseconds", baseline}, {"CrowdedMilliseconds", overloaded}, {"CapacityPerSecond", lt.capacity()}, {"TopTierRefused", topFailed}}
		return []Figure{
			atMost("Priority.TopTierLatencyRatio", overloaded/baseline, "ratio", topTierLatencyBound, p),
			atLeast("Priority.GoodputShare", goodput/lt.capacity(), "ratio", goodputBound, p),
		}, nil
	})
}

// measureRateLimit sends three times the paid rate, most of it to one entry, and kills
// another entry halfway.
func measureRateLimit(ctx context.Context) ([]Figure, error) {
	return withLoadTest(ctx, loadTestConfig{ledgerReplicas: 3, accountRate: paidRate}, func(ctx context.Context, lt *loadTest) ([]Figure, error) {
		const duration = 20 * time.Second
		callers := make([]*caller.Caller, 0, len(lt.stage.Entries))
		for i, e := range lt.stage.Entries {
			// Each caller sends to one entry only.
			callers = append(callers, caller.New(caller.Config{Client: lt.client, FixedEntry: e.Settings.HTTPAddress, Token: topTier, Seed: uint64(i)}))
		}
		flows := make([]flow, 0, len(callers))
		for i, c := range callers {
			rate := lightLoadShare * paidRate
			if i == 0 {
				rate = (overloadFactor - 6*lightLoadShare) * paidRate
			}
			flows = append(flows, flow{perSecond: rate, send: func(ctx context.Context, _ *caller.Caller, _ int) caller.Result { return c.Query(ctx, ledgerService) }})
		}
		start := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			lt.sendFlows(ctx, duration, flows...)
		}()
		if err := sleeper.Sleep(ctx, duration/2); err != nil {
			return nil, err
		}
		killed := lt.stage.Entries[3]
		killed.Kill()
		lt.stage.List.Remove(killed.Settings.Identity.Name)
		<-done
		lt.awaitResults()
		accepted := 0
		for _, r := range lt.results {
			if r.OK() {
				accepted++
			}
		}
		paid := paidRate * time.Since(start).Seconds()
		p := Params{{"Entries", 7}, {"PaidPerSecond", paidRate}, {"OfferedPerSecond", 3 * paidRate}, {"Seconds", duration.Seconds()}, {"Offered", len(lt.results)}}
		return []Figure{
			atMost("Limit.AccountOvershoot", float64(accepted)/paid, "ratio", overshootBound, p),
			unbounded("Limit.AccountDelivered", float64(accepted)/paid, "ratio", p),
			// With static shares the busy entry gets a seventh of the rate, and the others
			// get all that they request.
			unbounded("Limit.AccountDelivered.Baseline", 1.0/7+6*lightLoadShare, "ratio", p),
		}, nil
	})
}

// measureColdStart counts the requests that exceed the capacity of cold engines, during a
// rollout under load and after engines become cold without an announcement.
func measureColdStart(ctx context.Context) ([]Figure, error) {
	return withLoadTest(ctx, loadTestConfig{replicas: 14}, func(ctx context.Context, lt *loadTest) ([]Figure, error) {
		load := flow{caller: 1, perSecond: 0.5 * lt.capacity(), send: completionSender("load")}
		done := make(chan struct{})
		go func() {
			defer close(done)
			lt.sendFlows(ctx, 3*phaseTime, load)
		}()
		if err := sleeper.Sleep(ctx, phaseTime); err != nil {
			return nil, err
		}
		if _, err := lt.stage.AddRelease(ctx, modelService, imitator.ReleaseConfig{Name: "release-2", Seed: 2, ChunkBytes: 16 << 10, Chunks: 16}); err != nil {
			return nil, err
		}
		if err := lt.stage.AwaitRelease(ctx, modelService, "release-2", lt.config.replicas); err != nil {
			return nil, err
		}
		if err := sleeper.Sleep(ctx, phaseTime/2); err != nil {
			return nil, err
		}
		duringRollout := lt.evidence().Overloads
		const coldEngines = 4
		for _, h := range lt.stage.HostsOf(modelService)[:coldEngines] {
			h.Engine.TurnCold()
		}
		<-done
		lt.awaitResults()
		e := lt.evidence()
		p := Params{{"Load", 0.5}, {"Replicas", 14}}
		// The first request that each engine rejects is not counted: from it the gate learns
		// that the engine is cold.
		return []Figure{
			atMost("ColdStart.OverBearing", float64(duringRollout), "requests", 0, append(p, Param{"Case", "Release"})),
			atMost("ColdStart.OverBearing", float64(max(0, e.Overloads-duringRollout-coldEngines)), "requests", 0, append(p, Param{"Case", "WithoutWarningAfterFirstSign"})),
		}, nil
	})
}
