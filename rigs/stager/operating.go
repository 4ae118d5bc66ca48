package stager

import (
	"context"
	"fmt"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/rigs/shaper"
	"filbertstile.example/filbertstile/shells/relayer"
)

// CallerSite returns the site of the callers. It has no region, so that its delay to every
// entry is Links.DomainDelay.
func CallerSite() shaper.Site { return shaper.Site{Name: callerSite, Domain: callerSite} }

// Propose applies a change through an entry.
func (s *Stage) Propose(ctx context.Context, p *EntryProcess, change relayer.Proposal) (relayer.Acceptance, error) {
	change.Author = operatorName
	return p.Entry.Node().Relay.Propose(ctx, change)
}

// OperatorToken returns the operator's bearer token for the administration API.
func OperatorToken() string { return operatorToken }

// AwaitReady waits until no entry or host process has a stale view.
func (s *Stage) AwaitReady(ctx context.Context) error {
	for _, e := range s.Entries {
		if err := e.awaitReady(ctx, e.Entry.Node()); err != nil {
			return err
		}
	}
	for _, h := range s.Hosts {
		if err := h.awaitReady(ctx, h.Host.Node()); err != nil {
			return err
		}
	}
	return nil
}

// Install adds the deployment's tiers, accounts and services to the configuration.
func (s *Stage) Install(ctx context.Context) error {
	_, err := s.Propose(ctx, s.Entries[0], relayer.Proposal{Notes: filbertstile.ReleaseNotes{Added: s.config.Deployment.Entities()}})
	return err
}

// AddRelease generates weights and applies release notes that make them the release of the
// service.
func (s *Stage) AddRelease(ctx context.Context, service string, r imitator.ReleaseConfig) (filbertstile.Manifest, error) {
	digest, m := s.Weights.AddRelease(r)
	current, ok := s.Entries[0].Entry.Node().Holder.View().Config.Services.Get(service)
	if !ok {
		return m, filbertstile.ErrNotFound{Step: "add release", Key: service}
	}
	current.Release = r.Name
	_, err := s.Propose(ctx, s.Entries[0], relayer.Proposal{Notes: filbertstile.ReleaseNotes{
		Added:   filbertstile.Entities{Releases: []filbertstile.Release{{Name: r.Name, Service: service, Kind: filbertstile.ReleaseModel, Manifest: string(digest)}}},
		Changed: filbertstile.Entities{Services: []filbertstile.Service{current}},
	}})
	return m, err
}

// CountServing returns the number of running replicas of a service that serve the release,
// or any release if it is empty.
func (s *Stage) CountServing(service, release string) int {
	n := 0
	for _, h := range s.HostsOf(service) {
		if g := h.Host.GateState(); h.running() && g.Serving && (release == "" || g.Release == release) {
			n++
		}
	}
	return n
}

// AwaitRelease waits until at least n replicas of the service serve the release.
func (s *Stage) AwaitRelease(ctx context.Context, service, release string, n int) error {
	for s.CountServing(service, release) < n {
		if err := sleeper.Sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("wait for %d replicas of %s, have %d: %w", n, release, s.CountServing(service, release), err)
		}
	}
	return nil
}
