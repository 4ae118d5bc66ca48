package stager_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile/rigs/bubbler"
	"filbertstile.example/filbertstile/rigs/caller"
	"filbertstile.example/filbertstile/rigs/checker"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/rigs/shaper"
	"filbertstile.example/filbertstile/rigs/stager"
)

// TestReleaseAndRequestsEndToEnd distributes a release, sends completions and orders, and
// checks all results against the journals of the backend servers.
func TestReleaseAndRequestsEndToEnd(t *testing.T) {
	is := is.New(t)
	d, err := stager.Load("../../examples/royalty-office/deployment.jsonc")
	is.NoErr(err)
	bubbler.Run(t, func(ctx context.Context, t *testing.T) {
		is := is.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		if testing.Verbose() {
			log.SetOutput(t.Output())
		}
		s := stager.New(stager.Config{Deployment: d, Base: shaper.NewMemory(), Logger: log})
		ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
		defer cancel()
		is.NoErr(s.Start(ctx))
		defer s.Close()
		is.NoErr(s.AwaitReady(ctx))
		is.NoErr(s.Install(ctx))
		begin := time.Now()
		m, err := s.AddRelease(ctx, "filbert-models", imitator.ReleaseConfig{Name: "filbert-1", Seed: 1, ChunkBytes: 65536, Chunks: 160})
		is.NoErr(err)
		is.NoErr(s.AwaitRelease(ctx, "filbert-models", "filbert-1", 14))
		t.Logf("release distributed in %v, origin sent %d bytes for %d bytes of weights", time.Since(begin), s.Weights.Bytes(), m.Size)
		for _, l := range s.Fabric.RegionTraffic() {
			t.Logf("%+v", l)
		}
		var entries []string
		for _, e := range s.Entries {
			entries = append(entries, e.Settings.HTTPAddress)
		}
		client := s.HTTPClient(stager.CallerSite())
		c := caller.New(caller.Config{Client: client, InitialEntries: entries, Token: "filing-desk"})
		var evidence checker.Evidence
		evidence.Releases = []checker.Release{{Name: "filbert-1", Whole: m.Whole}}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				r := c.Complete(ctx, "filbert-models", fmt.Sprint("prompt ", i), 16, i%2 == 0)
				if i%5 == 0 {
					r = c.Order(ctx, "royalty-ledger", fmt.Sprint("key-", i), fmt.Sprint("body ", i))
				}
				mu.Lock()
				evidence.Results = append(evidence.Results, r)
				mu.Unlock()
			})
		}
		wg.Wait()
		for _, h := range s.Hosts {
			if h.Engine != nil {
				evidence.Executions = append(evidence.Executions, h.Engine.Journal()...)
				evidence.Overloads += h.Engine.Overloads()
			} else {
				evidence.Executions = append(evidence.Executions, h.Plain.Journal()...)
			}
		}
		// Fails if streams of different subscribers share a key, as that hides subscribers
		// from the propagation.
		is.True(s.Entries[0].Entry.Node().Relay.Propagation(ctx).Complete(2))
		v := checker.Check(evidence)
		t.Logf("%+v", v)
		is.Equal(v.Violations(), 0)
		is.Equal(v.Answered, 100)
	})
}
