package placer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/decisions/placer"
)

// withPaces calls f with a placer of two engines that report the paces.
func withPaces(t *testing.T, first, second float64, f func(ctx context.Context, is *is.I, p *placer.Placer)) {
	withPlacer(t, func(ctx context.Context, is *is.I, p *placer.Placer) {
		p.SetFleet(time.Now(), fleet(2, 12, 1, 0))
		report(p, first, second)
		f(ctx, is, p)
	})
}

// report reports the paces of r00 and r01.
func report(p *placer.Placer, first, second float64) {
	p.SetReplicaLoad(time.Now(), "10.0.0.0:1", placer.ReplicaLoad{Version: 1, Pace: first})
	p.SetReplicaLoad(time.Now(), "10.0.0.1:1", placer.ReplicaLoad{Version: 1, Pace: second})
}

// place places a number of requests and returns the number of those at r01.
func place(ctx context.Context, is *is.I, p *placer.Placer, req placer.Request, n int) (second int) {
	for range n {
		g, err := p.Acquire(ctx, req)
		is.NoErr(err)
		if g.Replica.ID == "r01" {
			second++
		}
		p.Release(&g, placer.Completed)
	}
	return second
}

// An engine that reports a pace must get fewer requests at once, and as many as others again
// after it has recovered, or after its reports have stopped.
func TestReportedPaceCountsAtOnce(t *testing.T) {
	withPaces(t, 1, 1, func(ctx context.Context, is *is.I, p *placer.Placer) {
		is.True(place(ctx, is, p, request(100), 100) > 30)
		report(p, 1, 2.5)
		is.Equal(place(ctx, is, p, request(100), 100), 0)
		report(p, 1, 1)
		is.True(place(ctx, is, p, request(100), 100) > 30)
		report(p, 1, 2.5)
		time.Sleep(2 * time.Second)
		is.True(place(ctx, is, p, request(100), 100) > 30)
	})
}

// If all other engines are busy, a slow one must get short prompts, which it answers in time, and
// no long ones, which would be late and delay its streams.
func TestSlowEngineGetsShortPrompts(t *testing.T) {
	withPaces(t, 1, 2.5, func(ctx context.Context, is *is.I, p *placer.Placer) {
		for range 10 {
			_, err := p.Acquire(ctx, request(100))
			is.NoErr(err)
		}
		g, err := p.Acquire(ctx, request(100))
		is.NoErr(err)
		is.Equal(g.Replica.ID, "r01")
		g, err = p.Acquire(ctx, request(2500))
		is.True(err != nil || g.Replica.ID == "r00")
	})
}

// A slow engine must not get a request whose response it would not complete before the deadline.
func TestSlowEngineGetsNoOutputBeyondDeadline(t *testing.T) {
	withPaces(t, 3, 3, func(ctx context.Context, is *is.I, p *placer.Placer) {
		req := request(100)
		req.Output.Max = 2000
		for range 100 { // the outputs of the route are long
			g, err := p.Acquire(ctx, req)
			is.NoErr(err)
			for range 200 {
				p.EventArrived(&g)
			}
			p.Release(&g, placer.Completed)
			req.Arrived, req.Deadline = time.Now(), time.Now().Add(time.Minute)
		}
		for range 2 { // an idle engine is the last resort
			req.Arrived, req.Deadline = time.Now(), time.Now().Add(6*time.Second)
			g, err := p.Acquire(ctx, req)
			is.NoErr(err)
			is.True(g.Waited > 0)
		}
		req.Arrived, req.Deadline = time.Now(), time.Now().Add(6*time.Second)
		_, err := p.Acquire(ctx, req)
		is.True(err != nil)
		report(p, 1, 3)
		req.Arrived, req.Deadline = time.Now(), time.Now().Add(6*time.Second)
		g, err := p.Acquire(ctx, req)
		is.NoErr(err)
		is.Equal(g.Replica.ID, "r00")
	})
}

// Without a reported pace, slow events must have no effect: other deployments are served as
// before. With one, an engine that claims to work as specified counts as slow within a second.
func TestSeenPaceCountsOnlyBesideReports(t *testing.T) {
	for _, claimed := range []float64{0, 1} {
		withPaces(t, claimed, claimed, func(ctx context.Context, is *is.I, p *placer.Placer) {
			g, err := p.Acquire(ctx, request(100))
			is.NoErr(err)
			for range 10 {
				time.Sleep(112 * time.Millisecond)
				p.EventArrived(&g)
			}
			for _, s := range states(p) {
				slow := s.Replica.ID == g.Replica.ID && claimed == 1
				is.Equal(s.UsedPace > 2, slow)
				is.Equal(s.Output > 0, s.Replica.ID == g.Replica.ID && claimed == 1)
			}
		})
	}
}

// What another entry sees must count, and a message must tell the others when an engine begins to
// count as slow, although no request has begun or ended.
func TestSeenPaceOfOthersCounts(t *testing.T) {
	withPaces(t, 1, 1, func(ctx context.Context, is *is.I, p *placer.Placer) {
		other := map[uint32]placer.EntryLoad{placer.HashOf("r01"): {SeenPace: 2.5}}
		p.SetPeerLoads(time.Now(), "entry-2", other, true)
		is.Equal(place(ctx, is, p, request(100), 100), 0)
		p.SetPeerLoads(time.Now(), "entry-3", map[uint32]placer.EntryLoad{placer.HashOf("r01"): {SeenPace: 1}}, true)
		is.True(place(ctx, is, p, request(100), 100) > 30)
		p.RetainPeers(time.Now(), nil)
		is.Equal(states(p)[1].PeerPace, 0.0)
		g, err := p.Acquire(ctx, request(100))
		is.NoErr(err)
		told := false
		for range 10 {
			p.LocalLoads(false)
			time.Sleep(112 * time.Millisecond)
			p.EventArrived(&g)
			told = told || p.LocalLoads(false)[g.Replica.ID].SeenPace > 2
		}
		is.True(told)
	})
}

// If all engines are slow, a prompt that none answers in time must be answered late by an idle one,
// not refused each time its caller retries.
func TestIdleSlowEngineIsLastResort(t *testing.T) {
	for _, pace := range []float64{2.5, 20} {
		withPaces(t, pace, pace, func(ctx context.Context, is *is.I, p *placer.Placer) {
			g, err := p.Acquire(ctx, request(4000))
			is.NoErr(err)
			is.True(g.Waited > 0)
			p.Release(&g, placer.Completed)
			req := request(4000)
			req.Arrived = req.Arrived.Add(-300 * time.Millisecond) // its body was slow to arrive
			_, err = p.Acquire(ctx, req)
			is.NoErr(err)
		})
	}
}

func states(p *placer.Placer) []placer.State {
	out, _ := p.Dump(time.Now())
	return out
}

// The output still to come at an engine must be that of this entry's requests and of the others',
// and nothing once they have ended.
func TestPendingOutputAddsUp(t *testing.T) {
	withPaces(t, 1, 1, func(ctx context.Context, is *is.I, p *placer.Placer) {
		req := request(100)
		req.Output.Max = 50
		g, err := p.Acquire(ctx, req)
		is.NoErr(err)
		hash := placer.HashOf(g.Replica.ID)
		load := p.LocalLoads(false)[g.Replica.ID]
		is.Equal(load.Output, 50*8870*time.Microsecond)
		p.EventArrived(&g)
		is.Equal(len(p.LocalLoads(false)), 1) // the prompt has been read
		p.EventArrived(&g)
		is.Equal(len(p.LocalLoads(false)), 0) // an event alone is no reason for a message
		p.SetPeerLoads(time.Now(), "entry-2", map[uint32]placer.EntryLoad{hash: {Requests: 1, Output: time.Second}}, true)
		output := func() (sum time.Duration) {
			for _, s := range states(p) {
				sum += s.Output
			}
			return sum
		}
		is.Equal(output(), 40*8870*time.Microsecond+time.Second)
		p.Release(&g, placer.Completed)
		p.RetainPeers(time.Now(), nil)
		is.Equal(output(), time.Duration(0))
		is.Equal(p.Costs().Tokens, int64(10))
	})
}
