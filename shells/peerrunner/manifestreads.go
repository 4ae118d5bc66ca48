package peerrunner

import (
	"context"
	"errors"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
)

const (
	// minManifestRetryDelay and maxManifestRetryDelay bound the delay after a manifest that does not fit the
	// configuration. Its bytes have crossed the origin's link, which other hosts need.
	minManifestRetryDelay = 250 * time.Millisecond
	maxManifestRetryDelay = 2 * time.Second
	// minEngineReadDelay and maxEngineReadDelay bound the delay between two reads of the configuration
	// because manifests do not fit it.
	minEngineReadDelay = time.Second
	maxEngineReadDelay = 8 * time.Second
	// originPatience is how long all reads from the origin fail before the configuration is read again,
	// and maxOriginReadDelay the maximum delay between two such reads of it. All hosts may make them.
	originPatience     = 8 * time.Second
	maxOriginReadDelay = 2 * time.Minute
)

// readManifest reads the manifest of a version from the origin, or that of the newest version if the
// version is 0 or the origin no longer has it. After a manifest that does not fit the configuration it
// does nothing until the next read is due, and returns false.
func (p *Peer) readManifest(ctx context.Context, w filbertstile.WeightsVersion) (version filbertstile.WeightsVersion, read bool, err error) {
	if !p.manifestRetries.due() {
		return w, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	version, _, err = p.weightSource.readManifest(ctx, w)
	var gone filbertstile.ErrVersionGone
	if errors.As(err, &gone) {
		version, err = p.readNewer(ctx, w, err)
	}
	var odd filbertstile.ErrManifest
	if errors.As(err, &odd) {
		p.manifestRetries.fail()
		p.updateEngine(ctx, &p.engineReads)
	} else {
		p.manifestRetries.reset()
	}
	return version, err == nil, err
}

// readNewer reads the manifest of the newest version after the origin has said that w is gone, and makes
// that the version to hold. The store may name an older version than before: a write of an operator may
// be executed late.
func (p *Peer) readNewer(ctx context.Context, w filbertstile.WeightsVersion, gone error) (filbertstile.WeightsVersion, error) {
	newest, _, err := p.weightSource.readManifest(ctx, filbertstile.WeightsVersion{Model: w.Model})
	if err != nil {
		return w, err
	}
	if newest.Version <= w.Version {
		return w, gone
	}
	p.weightSource.endDoubt(w)
	p.recordVersion(newest)
	return newest, nil
}

// checkManifests reads the manifests in doubt again that are due.
func (p *Peer) checkManifests(ctx context.Context) error {
	for {
		w, due := p.weightSource.takeSuspect()
		if !due {
			return nil
		}
		if _, _, err := p.readManifest(ctx, w); err != nil {
			return err
		}
		p.pulser.SendNow()
	}
}

// findOrigin reads the configuration again after reads from the origin have failed for long: operators may
// have moved it.
func (p *Peer) findOrigin(ctx context.Context) {
	switch failing := p.weightSource.failingFor(); {
	case failing == 0:
		p.originReads.reset()
	case failing >= originPatience:
		p.updateEngine(ctx, &p.originReads)
	}
}

// updateEngine takes over what the latest configuration says of the engine and the origin, which may
// have changed since the start. It does nothing until the delay of the reads has ended.
func (p *Peer) updateEngine(ctx context.Context, reads *backoff) {
	if !reads.due() {
		return
	}
	reads.fail()
	ctx, cancel := context.WithTimeout(ctx, routingCheckTimeout)
	defer cancel()
	r, err := p.latestRouting(ctx)
	if spec, _ := r.Pools.Get(p.config.Self.Service); err == nil && (spec.Engine == nil || spec.Engine.Model != p.model) {
		err = filbertstile.ErrField{Step: "read configuration", Field: p.config.Self.Service, Problem: "has no engine with the model " + p.model}
	}
	if err != nil {
		p.config.Log.Event(reporter.StepFailed, reporter.Fields{"Step": "read configuration of the engine", "Error": err})
		return
	}
	p.applyRouting(r)
}
