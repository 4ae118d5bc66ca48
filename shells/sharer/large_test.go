package sharer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/rigs/shaper"
	"filbertstile.example/filbertstile/transport/messenger"
)

const (
	// largeResponse is the size from which the model counts a response of the store.
	largeResponse = 64 << 10
	// configurationBytes is the size of a large configuration.
	configurationBytes = 1 << 20
	// domainLinkRate and processLinkRate are the rates of the link between a region and
	// the store, and of a process's own link, in bytes per second.
	domainLinkRate  = 25e6 / 8
	processLinkRate = 40e6 / 8
	// applyLimit is the time within which a change must be in force.
	applyLimit = 3 * time.Second
	// readyLimit is the age of a copy from which an entry is not ready.
	readyLimit = 2900 * time.Millisecond
)

// link is a link whose rate all transfers share.
type link struct {
	rate float64

	mu     sync.Mutex
	freeAt time.Time
}

// transfer returns when the bytes have arrived.
func (l *link) transfer(ctx context.Context, size int) error {
	const segment = 16 << 10
	for ; size > 0; size -= segment {
		l.mu.Lock()
		if now := time.Now(); l.freeAt.Before(now) {
			l.freeAt = now
		}
		l.freeAt = l.freeAt.Add(time.Duration(float64(min(size, segment)) / l.rate * float64(time.Second)))
		at := l.freeAt
		l.mu.Unlock()
		if err := sleeper.Sleep(ctx, time.Until(at)); err != nil {
			return err
		}
	}
	return nil
}

// configuration returns a configuration with random names, as the operators' are.
func configuration(rng *rand.Rand) string {
	type backend struct {
		Service string `json:"service"`
		Weight  int    `json:"weight"`
	}
	type route struct {
		Name           string    `json:"name"`
		Host           string    `json:"host"`
		PathPrefix     string    `json:"pathPrefix"`
		RouteKind      string    `json:"routeKind"`
		TimeoutMs      int       `json:"timeoutMs"`
		LatencyMs      int       `json:"targetLatencyMs"`
		Priority       int       `json:"priority"`
		Backends       []backend `json:"backends"`
		MaxAttempts    int       `json:"maxAttempts"`
		Public         bool      `json:"public"`
		Affinity       bool      `json:"affinity"`
		Resumable      bool      `json:"resumable"`
		GapAimMs       int       `json:"gapAimMs"`
		AllowedRegions []string  `json:"allowedRegions"`
	}
	var out []byte
	for len(out) < configurationBytes {
		r := route{
			Name: fmt.Sprintf("r-%08x", rng.Uint32()), Host: fmt.Sprintf("%06x.example", rng.Uint32()), PathPrefix: fmt.Sprintf("/%08x/%06x/", rng.Uint32(), rng.Uint32()),
			RouteKind: []string{"safe", "unsafe", "streaming"}[rng.IntN(3)], TimeoutMs: 1000 * rng.IntN(9), LatencyMs: 100 * rng.IntN(9), Priority: rng.IntN(4),
			Backends: []backend{{fmt.Sprintf("s%06x", rng.IntN(9)), 90}, {fmt.Sprintf("s%06x", rng.IntN(9)), 10}}, MaxAttempts: 2, AllowedRegions: []string{},
		}
		b, err := json.Marshal(r)
		if err != nil {
			panic(err) // a struct of strings and numbers always encodes
		}
		out = append(append(out, ' '), b...)
	}
	return string(out)
}

// TestLargeChangeIsReadOnce guards against a large configuration that every process of a
// region reads from the store over the region's narrow link because the one reader takes
// longer for it than for others: the link is then full for seconds, and all copies grow old.
func TestLargeChangeIsReadOnce(t *testing.T) {
	for _, c := range []struct {
		entries int
		rate    float64
	}{{20, domainLinkRate}, {20, domainLinkRate / 2}, {60, domainLinkRate}} {
		// The time since the reader's last watch was sent.
		for _, phase := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 750 * time.Millisecond} {
			t.Run(fmt.Sprintf("%dEntries/%.0fMbps/%s", c.entries, c.rate*8/1e6, phase), func(t *testing.T) {
				withLinks(t, processLinkRate, 1, c.entries, 0, func(s *fleet) {
					s.store.links = map[string]*link{"d0": {rate: c.rate}}
					s.run(8*time.Second, all)
					s.awaitConfirmation()
					time.Sleep(phase)
					s.store.takeLargeResponses()
					s.store.putPadded(1, configuration(rand.New(rand.NewPCG(1, 1))))
					took, age := s.awaitRevision(2, all)
					reads := s.store.takeLargeResponses()
					t.Logf("in force after %s, highest age %s, read %d times", took, age, reads)
					if reads > 2 {
						t.Errorf("read %d times by %d processes, want at most by the reader and one other process", reads, c.entries)
					}
					if took > applyLimit {
						t.Errorf("in force everywhere after %s, want at most %s", took, applyLimit)
					}
					if age > readyLimit {
						t.Errorf("highest age %s, want at most %s", age, readyLimit)
					}
				})
			})
		}
	}
}

// TestReaderFailsDuringLargeChange guards against the same when the reader is lost while the
// large configuration is arriving: other processes take over one after another.
func TestReaderFailsDuringLargeChange(t *testing.T) {
	const maxReads = 6 // the reader that fails, and those who take over before they hear of another one
	kill := func(s *fleet, p *process) { s.kill(p) }
	stall := func(s *fleet, p *process) {
		s.fabric.SetStalled(p.member.Name, true)
		s.store.setRefused(p.member.Name, true)
	}
	for _, c := range []struct {
		name    string
		fault   func(s *fleet, p *process)
		entries int
		maxAge  time.Duration
	}{{"Killed", kill, 20, readyLimit}, {"Killed", kill, 60, readyLimit}, {"Stalled", stall, 20, readyLimit}, {"Stalled", stall, 60, revokeLimit}} {
		t.Run(fmt.Sprintf("%s/%dEntries", c.name, c.entries), func(t *testing.T) {
			withLinks(t, processLinkRate, 1, c.entries, 0, func(s *fleet) {
				s.store.links = map[string]*link{"d0": {rate: domainLinkRate}}
				s.run(8*time.Second, all)
				s.awaitConfirmation()
				time.Sleep(300 * time.Millisecond)
				s.store.takeLargeResponses()
				s.store.putPadded(1, configuration(rand.New(rand.NewPCG(1, 1))))
				time.Sleep(200 * time.Millisecond)
				failed := s.readers()
				for _, p := range failed {
					c.fault(s, p)
				}
				took, age := s.awaitRevision(2, func(p *process) bool { return !slices.Contains(failed, p) })
				reads := s.store.takeLargeResponses()
				t.Logf("in force after %s, highest age %s, read %d times", took, age, reads)
				if reads > maxReads {
					t.Errorf("read %d times by %d processes, want at most %d", reads, c.entries, maxReads)
				}
				if age > c.maxAge {
					t.Errorf("highest age %s, want at most %s", age, c.maxAge)
				}
			})
		})
	}
}

// TestReaderStallsWhileItSendsLargeChange guards against the same when the reader has the large
// configuration, and some of the followers have a part of it: their copies are all too old by the time
// at which they give it up, and all of them read at once.
func TestReaderStallsWhileItSendsLargeChange(t *testing.T) {
	const maxReads = 6 // as in TestReaderFailsDuringLargeChange
	for _, c := range []struct {
		entries int
		// phase is the time from a confirmation to the change, and fault from there to the fault.
		phase, fault time.Duration
		maxAge       time.Duration
	}{
		{20, 783 * time.Millisecond, 343 * time.Millisecond, readyLimit},
		{20, 608 * time.Millisecond, 365 * time.Millisecond, readyLimit},
		{20, 664 * time.Millisecond, 390 * time.Millisecond, readyLimit},
		{20, 581 * time.Millisecond, 437 * time.Millisecond, readyLimit},
		{20, 759 * time.Millisecond, 473 * time.Millisecond, readyLimit},
		{20, 339 * time.Millisecond, 494 * time.Millisecond, readyLimit},
		{60, 700 * time.Millisecond, 400 * time.Millisecond, revokeLimit},
	} {
		t.Run(fmt.Sprintf("%dEntries/%s/%s", c.entries, c.phase, c.fault), func(t *testing.T) {
			withLinks(t, processLinkRate, 1, c.entries, 0, func(s *fleet) {
				s.store.links = map[string]*link{"d0": {rate: domainLinkRate}}
				s.restart(rand.New(rand.NewPCG(1, 1)))
				s.run(8*time.Second, all)
				s.awaitConfirmation()
				time.Sleep(c.phase)
				s.store.takeLargeResponses()
				s.store.putPadded(1, configuration(rand.New(rand.NewPCG(1, 1))))
				time.Sleep(c.fault)
				failed := s.readers()
				for _, p := range failed {
					s.fabric.SetStalled(p.member.Name, true)
					s.store.setRefused(p.member.Name, true)
				}
				took, age := s.awaitRevision(2, func(p *process) bool { return !slices.Contains(failed, p) })
				reads := s.store.takeLargeResponses()
				t.Logf("in force after %s, highest age %s, read %d times", took, age, reads)
				if reads > maxReads {
					t.Errorf("read %d times by %d processes, want at most %d", reads, c.entries, maxReads)
				}
				if age > c.maxAge {
					t.Errorf("highest age %s, want at most %s", age, c.maxAge)
				}
			})
		})
	}
}

// TestFollowerOfEarlierBuildGetsPlainObjects guards against a follower that does not read
// compressed objects, and would take an update for empty.
func TestFollowerOfEarlierBuildGetsPlainObjects(t *testing.T) {
	withFleet(t, 1, 2, 0, func(s *fleet) {
		s.store.putPadded(1, configuration(rand.New(rand.NewPCG(1, 1))))
		s.run(8*time.Second, all)
		is := is.New(t)
		network := s.fabric.Network(shaper.Site{Name: "earlier", Domain: "d0", Region: "d0"})
		client := messenger.NewClient(messenger.ClientConfig{Network: network, Sender: "earlier"})
		defer client.Close()
		for _, readsCompressed := range []bool{false, true} {
			stream, err := client.Open(s.ctx, s.readers()[0].member.Address, &wire.Request{Id: client.NextID(), Kind: &wire.Request_Follow{Follow: &wire.Follow{
				Copies: []*wire.CopyPosition{{Prefix: prefix}}, Stamp: &wire.Stamp{}, ReadsCompressed: readsCompressed,
			}}})
			is.NoErr(err)
			frame, err := stream.Receive()
			is.NoErr(err)
			got := frame.GetCopies().GetCopies()[0]
			is.Equal(len(got.GetObjects()) > 0, !readsCompressed)
			is.Equal(len(got.GetCompressedObjects()) > 0, readsCompressed)
			stream.Close()
		}
	})
}

// awaitRevision returns the time until all processes that count have the revision, and the highest age
// of a copy meanwhile.
func (s *fleet) awaitRevision(revision uint64, counts func(p *process) bool) (took, age time.Duration) {
	begun := time.Now()
	for range 400 {
		age = max(age, s.run(50*time.Millisecond, counts))
		missing := false
		for _, p := range s.processes {
			pos, _ := p.copy.Position()
			missing = missing || counts(p) && pos.Revision < revision
		}
		if !missing {
			return time.Since(begun), age
		}
	}
	s.t.Fatalf("revision %d has not reached all processes after %s", revision, time.Since(begun))
	return 0, 0
}
