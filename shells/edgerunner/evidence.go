package edgerunner

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/suspector"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// recordSuspectChanges logs and counts changes of the states of keys.
func (e *Edge) recordSuspectChanges() {
	changes := e.suspector.TakeChanges()
	forwarder.LogSuspectChanges(e.config.Log, changes)
	for _, c := range changes {
		name := "PromptParts."
		if suspector.IsRequest(c.Key) {
			name = "SuspectedRequests."
		}
		metrics.GetOrRegisterCounter(name+c.State.String(), e.config.Metrics).Inc(1)
	}
}

// evidence returns this entry's evidence about requests that crash replicas.
func (e *Edge) evidence() *wire.PartEvidence {
	out := &wire.PartEvidence{}
	evidence := e.suspector.Evidence(time.Now())
	for _, c := range evidence.Crashes {
		out.Crashes = append(out.Crashes, &wire.ReplicaCrash{Replica: c.Replica, AgeMilliseconds: c.Age.Milliseconds(), Parts: c.Keys})
	}
	for _, w := range evidence.Witnesses {
		out.Witnesses = append(out.Witnesses, &wire.PartWitness{Part: w.Key, AgeMilliseconds: w.Age.Milliseconds()})
	}
	for _, s := range evidence.Suspicions {
		out.Suspicions = append(out.Suspicions, &wire.PartSuspicion{Part: s.Key, Episodes: int32(s.Episodes), AgeMilliseconds: s.Age.Milliseconds()})
	}
	return out
}

// learnEvidence adds the evidence of another entry.
func (e *Edge) learnEvidence(p *wire.PartEvidence) {
	if p == nil {
		return
	}
	evidence := suspector.Evidence{Delay: e.senders.messageDelay()}
	for _, c := range p.GetCrashes() {
		evidence.Crashes = append(evidence.Crashes, suspector.Crash{Replica: c.GetReplica(), Age: milliseconds(c.GetAgeMilliseconds()), Keys: c.GetParts()})
	}
	for _, w := range p.GetWitnesses() {
		evidence.Witnesses = append(evidence.Witnesses, suspector.Witness{Key: w.GetPart(), Age: milliseconds(w.GetAgeMilliseconds())})
	}
	for _, s := range p.GetSuspicions() {
		evidence.Suspicions = append(evidence.Suspicions, suspector.Suspicion{Key: s.GetPart(), Episodes: int(s.GetEpisodes()), Age: milliseconds(s.GetAgeMilliseconds())})
	}
	if e.suspector.Merge(time.Now(), evidence) {
		e.announceNews()
	}
	e.recordSuspectChanges()
}

// maxAgeMilliseconds bounds the ages that other processes send.
const maxAgeMilliseconds = int64(24 * time.Hour / time.Millisecond)

func milliseconds(n int64) time.Duration {
	return time.Duration(min(max(0, n), maxAgeMilliseconds)) * time.Millisecond
}

// liveEntryNames returns the names of the other entries whose heartbeats arrive.
func (e *Edge) liveEntryNames() []string {
	peers := e.pulser.Peers()
	var out []string
	for _, m := range e.sources.Members.View().Rows.All() {
		if _, alive := peers[m.Name]; alive && m.Role == filbertstile.RoleEntry && m.Name != e.config.Self.Name {
			out = append(out, m.Name)
		}
	}
	return out
}
