package installer

import (
	"context"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
)

const (
	// maxLoadAge is the maximum time from reading a chunk back to the response to the order
	// that loads it. A chunk that turns corrupt less than 3 s before it is loaded is excused;
	// the rest is a margin.
	maxLoadAge = 2800 * time.Millisecond
	// maxReadAge is the maximum age of the chunks read back when the load is ordered. The order
	// takes up to 2 s, the timeout of calls to the engine.
	maxReadAge = maxLoadAge - 2*time.Second
	// openOrderTime is how long after an order without a response no chunks of another version
	// are staged: the engine may still accept it, and loads what is staged then.
	openOrderTime = time.Second
	// reloadDelay is the delay before a load that was rejected is ordered again.
	reloadDelay = 5 * time.Second
)

// doubt is an order to load a version that may have been accepted when its chunks were no longer
// known to be intact: it got no response, or a late one.
type doubt struct {
	weights filbertstile.WeightsVersion
	// born is when the engine started, and orders is how many orders it had accepted before.
	born   time.Time
	orders int64
	// openUntil is until when the order may still be accepted if it got no response.
	openUntil time.Time
	// staging and writes tell whether chunks have been staged since: those that are intact now
	// need not have been intact then.
	staging *staging
	writes  int
	// rejected is true if the version was loaded from chunks that may have been corrupt.
	rejected bool
	// reloadAt is when a rejected version may be loaded again.
	reloadAt time.Time
}

// install stages the chunks that are missing or corrupt at the engine, and orders it to load the
// version. The engine loads the chunks as they are when it accepts the order, so the order is
// given only while all of them were read back recently.
func (i *Installer) install(ctx context.Context, r filbertstile.EngineReport, w Wanted, m filbertstile.Manifest, chunks [][]byte) error {
	if d := i.doubt; d != nil && d.postpones(w.Weights, r) {
		return nil
	}
	if i.staging == nil || i.staging.weights != w.Weights {
		i.staging = newStaging(w.Weights, len(m.Chunks))
	}
	if err := i.ensureStaged(ctx, m, chunks); err != nil {
		return err
	}
	i.config.Log.Event(reporter.SwitchStarted, reporter.Fields{
		"Model": w.Weights.Model, "Version": w.Weights.Version, "From": r.Version, "Named": time.Since(w.LearnedAt).String(),
		"Running": r.Running, "Waiting": r.Waiting, "Orders": r.Orders, "ReadAge": i.staging.age(i.config.Clock()).String(),
	})
	writes := i.staging.writeCount()
	accepted, err := i.config.Engine.Load(ctx, w.Weights, r.Orders, r.Version > 0 && i.mayCancel)
	age := i.staging.age(i.config.Clock())
	if accepted && err == nil && age <= maxLoadAge {
		i.doubt = nil
		return nil
	}
	i.config.Log.Event(reporter.LoadDoubted, reporter.Fields{"Model": w.Weights.Model, "Version": w.Weights.Version, "ReadAge": age.String(), "Accepted": accepted})
	if accepted || i.doubt == nil || i.doubt.weights != w.Weights {
		// The engine accepts only one order after the same number of orders: no earlier one.
		i.doubt = &doubt{weights: w.Weights, staging: i.staging, writes: writes}
	}
	i.doubt.born, i.doubt.orders, i.doubt.openUntil, i.doubt.reloadAt = r.Born, r.Orders, time.Now().Add(openOrderTime), time.Now().Add(reloadDelay)
	return err
}

// postpones reports whether the version must not be installed yet, as the engine may still
// accept the doubted order and would load what is staged then.
func (d *doubt) postpones(w filbertstile.WeightsVersion, r filbertstile.EngineReport) bool {
	if d.rejected && d.weights == w {
		return time.Now().Before(d.reloadAt)
	}
	return d.weights != w && d.orders == r.Orders && time.Now().Before(d.openUntil)
}

// resolveDoubt decides whether the load of a doubted order can be trusted, once the engine has
// loaded it: staged chunks don't recover by themselves, so those that are intact now were intact
// when the order was accepted. It reports whether that is decided, or the order not accepted yet.
func (i *Installer) resolveDoubt(ctx context.Context, r filbertstile.EngineReport) (resolved bool, err error) {
	d := i.doubt
	if d == nil {
		return true, nil
	}
	if !r.Born.Equal(d.born) || r.Orders < d.orders {
		i.doubt = nil // the engine has restarted, and its weights are gone
		return true, nil
	}
	if d.rejected || r.Orders == d.orders {
		return true, nil
	}
	if r.Loading {
		return false, nil
	}
	m, _, ok := i.config.Chunks(d.weights)
	intact := ok && r.Version == d.weights.Version && d.staging == i.staging && d.writes == i.staging.writeCount()
	if intact {
		if intact, err = i.readAll(ctx, m); err != nil {
			return false, err
		}
	}
	i.config.Log.Event(reporter.LoadChecked, reporter.Fields{"Model": d.weights.Model, "Version": d.weights.Version, "Intact": intact})
	if intact {
		i.doubt = nil
		return true, nil
	}
	d.rejected, d.reloadAt = true, time.Now()
	return true, nil
}
