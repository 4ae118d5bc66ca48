package peerrunner

import (
	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/distributor"
)

// Dump is a dump of a host process.
type Dump struct {
	Self filbertstile.Member
	// Report is the engine's last report; nil if there is none.
	Report *filbertstile.EngineReport
	// Wanted is the newest chosen version, and Members are the live hosts.
	Wanted  filbertstile.WeightsVersion
	Members []filbertstile.Member
	// Weights are the transfers of weights.
	Weights []distributor.Progress
}

// Dump returns the current state of the process.
func (p *Peer) Dump() Dump {
	d := Dump{Self: p.config.Self, Report: p.report.Load(), Members: p.liveHosts()}
	d.Wanted, _ = p.targetVersion()
	if f := p.fetcher.Load(); f != nil {
		d.Weights = f.Progress()
	}
	return d
}
