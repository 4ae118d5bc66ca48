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
	callerRatioBound = 1.10
	transferBytes    = 16 * megabyte
	nextRelease      = "release-2"
	sampleEvery      = 10 * time.Millisecond
)

func rolloutMeasures() []Measure {
	return []Measure{{Name: "Rollout", Run: measureRollout}}
}

// measureRollout spreads a release ahead of its use under load, compares the
// callers' latency, then switches to it and watches the capacity.
func measureRollout(ctx context.Context) ([]Line, error) {
	return withScene(ctx, sceneConfig{replicas: 14}, func(ctx context.Context, s *scene) ([]Line, error) {
		load := flow{account: 1, perSecond: 0.5 * s.capacity(), send: completions("load")}
		s.run(ctx, warmUp, load)
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.run(ctx, 30*time.Second, load)
		}()
		from := time.Now()
		if err := sleeper.Sleep(ctx, outTime); err != nil {
			return nil, err
		}
		to := time.Now()
		whole, err := s.prefetch(ctx)
		if err != nil {
			return nil, err
		}
		spread := time.Now()
		breaches, err := s.switchTo(ctx)
		if err != nil {
			return nil, err
		}
		<-done
		s.settle()
		alone := s.latency(caller.KindCompletion, from, to, 0.95, nil)
		during := s.latency(caller.KindCompletion, to, spread, 0.95, nil)
		e := s.evidence()
		e.Releases = append(e.Releases, checker.Release{Name: nextRelease, Whole: whole})
		v := checker.Check(e)
		p := Params{{"Load", 0.5}, {"Replicas", 14}, {"Bytes", transferBytes}, {"TransferSeconds", spread.Sub(to).Seconds()}, {"AloneMilliseconds", alone}, {"Requests", v.Requests}, {"Failed", v.Failed}}
		return []Line{
			atMost("Distribution.CallerLatencyRatio", during/alone, "ratio", callerRatioBound, p),
			atMost("Rollout.CapacityFloorBreaches", float64(breaches), "samples", 0, p),
			atMost("Rollout.MixedReplies", float64(v.MixedWeights+v.WrongAnswers), "answers", 0, p),
		}, nil
	})
}

// prefetch adds a release that no service uses yet, and waits until every host
// holds it.
func (s *scene) prefetch(ctx context.Context) (filbertstile.Digest, error) {
	digest, m := s.stage.Weights.AddRelease(imitator.ReleaseConfig{Name: nextRelease, Seed: 2, ChunkBytes: defaultChunk, Chunks: transferBytes / defaultChunk})
	_, err := s.stage.Propose(ctx, s.stage.Entries[0], relayer.Proposal{Notes: filbertstile.ReleaseNotes{Added: filbertstile.Entities{
		Releases: []filbertstile.Release{{Name: nextRelease, Service: modelService, Kind: filbertstile.ReleaseModel, Manifest: string(digest)}},
	}}})
	for err == nil && !s.held(nextRelease) {
		err = sleeper.Sleep(ctx, sampleEvery)
	}
	return m.Whole, err
}

// held tells whether every host has all chunks of the release.
func (s *scene) held(release string) bool {
	for _, h := range s.stage.HostsOf(modelService) {
		whole := false
		for _, p := range h.Host.Fetcher().Progress() {
			whole = whole || p.Release == release && p.Done
		}
		if !whole {
			return false
		}
	}
	return true
}

// switchTo makes the service use the release, and counts the samples in which
// fewer replicas served than the floor.
func (s *scene) switchTo(ctx context.Context) (int, error) {
	v, _ := s.stage.Entries[0].Entry.Node().Holder.View().Config.Services.Get(modelService)
	v.Release = nextRelease
	if _, err := s.stage.Propose(ctx, s.stage.Entries[0], relayer.Proposal{Notes: filbertstile.ReleaseNotes{Changed: filbertstile.Entities{Services: []filbertstile.Service{v}}}}); err != nil {
		return 0, err
	}
	breaches := 0
	for s.stage.Serving(modelService, nextRelease) < s.config.replicas {
		if s.stage.Serving(modelService, "") < roller.Floor(s.config.replicas, v.CapacityFloorPercent) {
			breaches++
		}
		if err := sleeper.Sleep(ctx, sampleEvery); err != nil {
			return breaches, err
		}
	}
	return breaches, nil
}
