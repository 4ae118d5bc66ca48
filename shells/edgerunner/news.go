package edgerunner

import (
	"context"
	"slices"
	"time"

	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/transport/pulser"
)

// newsInterval is the minimum time between two messages with news about replicas, in addition
// to heartbeats. A new limit must reach all entries within some 200 ms.
const newsInterval = 150 * time.Millisecond

// announceNews makes shareNews tell the other entries of new evidence about requests that
// crash replicas, or of a limit that a replica has named. It does not block.
func (e *Edge) announceNews() {
	select {
	case e.news <- struct{}{}:
	default:
	}
}

// shareNews sends evidence and limits to all other entries when there is news, until the
// context ends.
func (e *Edge) shareNews(ctx context.Context) {
	for {
		select {
		case <-e.news:
		case <-ctx.Done():
			return
		}
		e.recordSuspectChanges()
		d, p := e.division.Load(), e.newPulse()
		p.Evidence, p.Limits = e.evidence(), e.limits()
		e.pulser.Send(pulser.Message{Pulse: p, To: slices.Concat(d.GroupPeers, d.OtherPeers)})
		if sleeper.Sleep(ctx, newsInterval) != nil {
			return
		}
	}
}
