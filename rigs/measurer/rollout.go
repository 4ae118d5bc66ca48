package measurer

import (
	"context"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/decisions/roller"
	"filbertstile.example/filbertstile/rigs/caller"
	"filbertstile.example/filbertstile/rigs/checker"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/shells/relayer"
)

const (
	callerLatencyBound = 1.10
	transferBytes      = 16 * megabyte
	nextRelease        = "release-2"
	sampleInterval     = 10 * time.Millisecond
)

func rolloutMeasurements() []Measurement {
	return []Measurement{{Name: "Rollout", Run: measureRollout}}
}

// measureRollout distributes a release under load before it is used, and compares the
// latency of requests during the distribution with that before. Then it switches to the
// release and checks the capacity in service.
func measureRollout(ctx context.Context) ([]Figure, error) {
	return withLoadTest(ctx, loadTestConfig{replicas: 14}, func(ctx context.Context, lt *loadTest) ([]Figure, error) {
		load := flow{caller: 1, perSecond: 0.5 * lt.capacity(), send: completionSender("load")}
		lt.sendFlows(ctx, warmUpTime, load)
		done := make(chan struct{})
		go func() {
			defer close(done)
			lt.sendFlows(ctx, 30*time.Second, load)
		}()
		from := time.Now()
		if err := sleeper.Sleep(ctx, phaseTime); err != nil {
			return nil, err
		}
		to := time.Now()
		weightsDigest, err := lt.prefetchRelease(ctx)
		if err != nil {
			return nil, err
		}
		distributed := time.Now()
		breaches, err := lt.switchRelease(ctx)
		if err != nil {
			return nil, err
		}
		<-done
		lt.awaitResults()
		baseline := lt.latencyQuantile(caller.KindCompletion, from, to, 0.95, nil)
		during := lt.latencyQuantile(caller.KindCompletion, to, distributed, 0.95, nil)
		e := lt.evidence()
		e.Releases = append(e.Releases, checker.Release{Name: nextRelease, Whole: weightsDigest})
		v := checker.Check(e)
		p := Params{{"Load", 0.5}, {"Replicas", 14}, {"Bytes", transferBytes}, {"TransferSeconds", distributed.Sub(to).Seconds()}, {"AloneMilliseconds", baseline}, {"Requests", v.Requests}, {"Failed", v.Failed}}
		return []Figure{
			atMost("Distribution.CallerLatencyRatio", during/baseline, "ratio", callerLatencyBound, p),
			atMost("Rollout.CapacityFloorBreaches", float64(breaches), "samples", 0, p),
			atMost("Rollout.MixedReplies", float64(v.MixedWeights+v.WrongAnswers), "answers", 0, p),
		}, nil
	})
}

// prefetchRelease adds a release that no service uses yet, waits until every host has all of
// its chunks, and returns the digest of its weights.
func (lt *loadTest) prefetchRelease(ctx context.Context) (filbertstile.Digest, error) {
	manifestDigest, m := lt.stage.Weights.AddRelease(imitator.ReleaseConfig{Name: nextRelease, Seed: 2, ChunkBytes: defaultChunkBytes, Chunks: transferBytes / defaultChunkBytes})
	_, err := lt.stage.Propose(ctx, lt.stage.Entries[0], relayer.Proposal{Notes: filbertstile.ReleaseNotes{Added: filbertstile.Entities{
		Releases: []filbertstile.Release{{Name: nextRelease, Service: modelService, Kind: filbertstile.ReleaseModel, Manifest: string(manifestDigest)}},
	}}})
	for err == nil && !lt.hasRelease(nextRelease) {
		err = sleeper.Sleep(ctx, sampleInterval)
	}
	return m.Whole, err
}

// hasRelease reports whether every host has all chunks of the release.
func (lt *loadTest) hasRelease(release string) bool {
	for _, h := range lt.stage.HostsOf(modelService) {
		complete := false
		for _, p := range h.Host.Fetcher().Progress() {
			complete = complete || p.Release == release && p.Done
		}
		if !complete {
			return false
		}
	}
	return true
}

// switchRelease switches the service to the next release. Until all replicas serve it, it
// samples the number of replicas in service and returns how many samples were below the
// capacity floor.
func (lt *loadTest) switchRelease(ctx context.Context) (int, error) {
	service, _ := lt.stage.Entries[0].Entry.Node().Holder.View().Config.Services.Get(modelService)
	service.Release = nextRelease
	if _, err := lt.stage.Propose(ctx, lt.stage.Entries[0], relayer.Proposal{Notes: filbertstile.ReleaseNotes{Changed: filbertstile.Entities{Services: []filbertstile.Service{service}}}}); err != nil {
		return 0, err
	}
	breaches := 0
	for lt.stage.CountServing(modelService, nextRelease) < lt.config.replicas {
		if lt.stage.CountServing(modelService, "") < roller.CapacityFloor(lt.config.replicas, service.CapacityFloorPercent) {
			breaches++
		}
		if err := sleeper.Sleep(ctx, sampleInterval); err != nil {
			return breaches, err
		}
	}
	return breaches, nil
}
