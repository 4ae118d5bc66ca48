package distributor_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/distributor"
)

const (
	// originConnections is the number of connections that the origin accepts in all.
	originConnections = 48
	// originTimeout is the timeout of a read of a chunk from the origin, and manifestTimeout
	// that of a read of a manifest.
	originTimeout, manifestTimeout = 3 * time.Second, 5 * time.Second
	// manifestChunks is the size of a manifest, in chunks.
	manifestChunks = 0.27
	// restartChunks is the number of chunks of a version.
	restartChunks = 96
)

// originRead is a read from the origin that is in progress.
type originRead struct {
	host            string
	size            float64
	chunk           bool
	started         time.Time
	timeout         time.Duration
	arrived, failed distributor.Event
}

// sharedOrigin is an origin whose link is shared equally by all reads in progress.
type sharedOrigin struct {
	// chunkTime is the time in which the link carries a chunk.
	chunkTime time.Duration
	reads     []*originRead
	// seen has the chunks that were read, and doneAt is when all of them were.
	seen   map[filbertstile.Digest]bool
	doneAt time.Time
	// sent is the size of all that the link has carried, in chunks, and refused the number
	// of connections that were refused.
	sent    float64
	refused int
	// corruptOneIn is the number of chunks of which one is corrupt; 0 if none is.
	corruptOneIn int
	rng          *rand.Rand
}

func (o *sharedOrigin) begin(s *linkedSwarm, r originRead) {
	if len(o.reads) >= originConnections {
		o.refused++
		s.post(s.now.Add(reportDelay), r.host, r.failed)
		return
	}
	r.started = s.now.Add(reportDelay)
	o.reads = append(o.reads, &r)
}

// cancel ends the reads of a host.
func (o *sharedOrigin) cancel(host string) {
	o.reads = slices.DeleteFunc(o.reads, func(r *originRead) bool { return r.host == host })
}

// advance carries data for one tick.
func (o *sharedOrigin) advance(s *linkedSwarm) {
	capacity := float64(tickInterval) / float64(o.chunkTime)
	for capacity > 1e-9 && len(o.reads) > 0 {
		least := o.reads[0].size
		for _, r := range o.reads {
			least = min(least, r.size)
		}
		share := min(least, capacity/float64(len(o.reads)))
		capacity -= share * float64(len(o.reads))
		o.sent += share * float64(len(o.reads))
		o.reads = slices.DeleteFunc(o.reads, func(r *originRead) bool {
			if r.size -= share; r.size > 1e-9 {
				return false
			}
			o.finish(s, r)
			return true
		})
	}
	o.reads = slices.DeleteFunc(o.reads, func(r *originRead) bool {
		if s.now.Sub(r.started) < r.timeout {
			return false
		}
		s.post(s.now, r.host, r.failed)
		return true
	})
}

// finish delivers what was read.
func (o *sharedOrigin) finish(s *linkedSwarm, r *originRead) {
	event := r.arrived
	if e, ok := event.(distributor.ChunkArrived); ok {
		s.originReads++
		if o.seen[s.manifest.Chunks[e.Index].Digest] = true; len(o.seen) == restartChunks && o.doneAt.IsZero() {
			o.doneAt = s.now
		}
		if o.corruptOneIn > 0 && o.rng.IntN(o.corruptOneIn) == 0 {
			event = distributor.ChunkFailed{Manifest: e.Manifest, Index: e.Index, Failure: distributor.FailedCorrupt}
		}
	}
	received := s.now
	if r.chunk {
		received = laterOf(s.now, s.downlinkFree[r.host].Add(linkTime))
		s.downlinkFree[r.host] = received
	}
	s.post(received.Add(reportDelay), r.host, event)
}

// restart describes hosts whose processes have all been killed and start again.
type restart struct {
	hosts int
	// originRate is the rate of the origin's link, as a multiple of that of a host's link.
	originRate float64
	// views is how the hosts learn of one another: "all" at the start, "list" for all at once
	// within 2 s, and "grow" for one after another within 1.5 s.
	views string
	// killedAt is when the processes are killed for a second time, or when the version is
	// superseded, as a share of the time that the origin's link needs for a copy.
	killedAt, supersededAt float64
	// staged is the share of the hosts whose engines hold staged chunks, of random parts.
	staged       float64
	corruptOneIn int
	// deadReader is true if a host dies before it has read anything.
	deadReader bool
	seed       uint64
}

func (r restart) String() string {
	out := fmt.Sprintf("%dHosts/Origin%.1f/%s", r.hosts, r.originRate, r.views)
	for _, part := range []struct {
		name string
		on   bool
	}{{"Killed", r.killedAt > 0}, {"Superseded", r.supersededAt > 0}, {"Staged", r.staged > 0}, {"Corrupt", r.corruptOneIn > 0}, {"DeadReader", r.deadReader}} {
		if part.on {
			out += "/" + part.name
		}
	}
	if at := max(r.killedAt, r.supersededAt); at > 0 {
		out += fmt.Sprintf("At%.1f", at)
	}
	return out
}

// restartResult has the times to the first and the last complete copy, as multiples of what the
// links need, and the traffic of the origin in copies.
type restartResult struct {
	first, last, copies float64
	// read is the time until all chunks were read from the origin, as a multiple of what its
	// link needs.
	read    float64
	refused int
}

// run simulates the restart.
func (r restart) run(t testing.TB) restartResult {
	t.Helper()
	near := (r.hosts + 2) / 3
	far := (r.hosts - near) / 2
	s := newLinkedSwarm([]int{near, far, r.hosts - near - far}, restartChunks)
	rng := rand.New(rand.NewPCG(r.seed, 7))
	s.origin = &sharedOrigin{chunkTime: time.Duration(float64(linkTime) / r.originRate), corruptOneIn: r.corruptOneIn, rng: rng, seen: make(map[filbertstile.Digest]bool)}
	copyTime := restartChunks * max(s.origin.chunkTime, linkTime)
	originCopyTime := restartChunks * s.origin.chunkTime
	s.restartAll(r, rng)
	if r.killedAt > 0 {
		s.run(time.Duration(r.killedAt * float64(originCopyTime)))
		s.restartAll(r, rng)
	}
	if r.supersededAt > 0 {
		s.run(time.Duration(r.supersededAt * float64(originCopyTime)))
		s.supersede()
	}
	s.origin.sent, s.origin.seen, s.origin.doneAt = 0, make(map[filbertstile.Digest]bool), time.Time{}
	began := s.now
	s.run(60 * time.Second)
	if !s.done() {
		t.Fatalf("%d of %d hosts hold the version after 60s; the origin sent %.2f copies", len(s.completedAt), len(s.hosts), s.origin.sent/restartChunks)
	}
	first, last := s.now, began
	for _, at := range s.completedAt {
		if at.Before(first) {
			first = at
		}
		last = laterOf(last, at)
	}
	return restartResult{
		first: float64(first.Sub(began)) / float64(copyTime), last: float64(last.Sub(first)) / float64(restartChunks*linkTime),
		read:   max(0, float64(s.origin.doneAt.Sub(began))/float64(originCopyTime)),
		copies: s.origin.sent / restartChunks, refused: s.origin.refused,
	}
}

// restartAll replaces all processes by new ones, which start within 0.3 s and hold nothing but
// what is staged at their engines.
func (s *linkedSwarm) restartAll(r restart, rng *rand.Rand) {
	s.deliveries, s.origin.reads = nil, nil
	clear(s.uploads)
	clear(s.linkFree)
	clear(s.downlinkFree)
	clear(s.completedAt)
	for i, h := range s.hosts {
		s.cores[h.Name] = distributor.New(distributor.Config{Self: h, SourceRegion: "r0", Limits: distributor.SmallReleaseLimits(), Seed: rng.Uint64() + uint64(i)})
		s.held[h.Name] = make([]bool, restartChunks)
		if rng.Float64() < r.staged {
			part := rng.Float64()
			for c := range s.held[h.Name] {
				s.held[h.Name][c] = rng.Float64() < part
			}
		}
		s.subscribers[h.Name] = make(map[string]bool)
		s.knowsChunks[h.Name] = false
		startsAt := s.now.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
		s.post(startsAt, h.Name, distributor.WantedChanged{Wants: []distributor.Want{{Release: "r", Manifest: s.current}}})
		s.postViews(startsAt, h, r.views, rng)
	}
	if r.deadReader {
		s.stopped["h0-0"], s.stopped["h0-1"] = true, true
	}
}

// postViews lets a host learn of the others.
func (s *linkedSwarm) postViews(startsAt time.Time, h filbertstile.Member, views string, rng *rand.Rand) {
	// The estimate is up to twice too low or too high.
	expected := max(1, int(float64((len(s.hosts)+2)/3)*(0.5+1.5*rng.Float64())))
	switch views {
	case "all":
		s.post(startsAt, h.Name, distributor.MembersChanged{Members: s.hosts, Listed: true})
	case "list":
		s.post(startsAt, h.Name, distributor.MembersChanged{Members: []filbertstile.Member{h}, Expected: expected})
		listedAt := startsAt.Add(300*time.Millisecond + time.Duration(rng.IntN(1400))*time.Millisecond)
		s.post(listedAt, h.Name, distributor.MembersChanged{Members: s.hosts, Listed: true})
	default:
		order := rng.Perm(len(s.hosts))
		const steps = 15
		for step := range steps + 1 {
			known := []filbertstile.Member{h}
			for _, i := range order[:len(order)*step/steps] {
				if s.hosts[i] != h {
					known = append(known, s.hosts[i])
				}
			}
			s.post(startsAt.Add(time.Duration(step)*100*time.Millisecond), h.Name, distributor.MembersChanged{Members: known, Expected: expected})
		}
	}
}

// supersede replaces the version that the hosts fetch.
func (s *linkedSwarm) supersede() {
	s.current += "2"
	clear(s.completedAt)
	for i := range s.manifest.Chunks {
		s.manifest.Chunks[i].Digest += "2"
	}
	for _, h := range s.hosts {
		s.held[h.Name] = make([]bool, restartChunks)
		s.subscribers[h.Name] = make(map[string]bool)
		s.knowsChunks[h.Name] = false
		s.post(s.now, h.Name, distributor.WantedChanged{Wants: []distributor.Want{{Release: "r", Manifest: s.current}}})
	}
}

const (
	// maxRatio bounds the time to the first complete copy, and that from then to the last one, as
	// multiples of what the links need.
	maxRatio = 1.2
	// maxCopies bounds the traffic of the origin in copies: no chunk need be read more than twice.
	maxCopies = 2.0
)

// restartCases returns the cases of the tests. Others with 500 hosts are in BenchmarkFirstCopyOf500Hosts,
// as they take long.
func restartCases() []restart {
	cases := append(restarts(14, 58, 138), restart{hosts: 500, originRate: 0.6, views: "list"}, restart{hosts: 500, originRate: 2, views: "grow"})
	base := restart{hosts: 58, originRate: 0.6, views: "list"}
	for _, at := range []float64{0.1, 0.5, 0.9} {
		killed, superseded := base, base
		killed.killedAt, superseded.supersededAt = at, at
		cases = append(cases, killed, superseded)
	}
	staged, corrupt, dead := base, base, base
	staged.staged, corrupt.corruptOneIn, dead.deadReader = 0.5, 25, true
	cases = append(cases, staged, corrupt, dead)
	for i := range cases {
		cases[i].seed = uint64(i)
	}
	return cases
}

// TestFirstCopySoonAfterAllHostsWereKilled guards against hosts that each read all chunks from
// the origin because they do not know of one another yet: after all processes were killed, the
// origin sent 3.9 copies, and the first complete copy took three times as long as its link needs.
func TestFirstCopySoonAfterAllHostsWereKilled(t *testing.T) {
	for _, c := range restartCases() {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			r := c.run(t)
			t.Logf("%s: first copy after %.2f, last host after another %.2f, all chunks read after %.2f times what the links need; %.2f copies from the origin, %d connections refused", c, r.first, r.last, r.read, r.copies, r.refused)
			if r.first > maxCopies || r.copies > maxCopies {
				t.Errorf("want the first copy after at most %.2f times what the link needs, and %.2f copies", maxCopies, maxCopies)
			}
		})
	}
}

// TestCopiesCompleteWithinTarget is like TestFirstCopySoonAfterAllHostsWereKilled, with the target for the
// first and the last copy.
func TestCopiesCompleteWithinTarget(t *testing.T) {
	for _, c := range restartCases() {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			if r := c.run(t); r.first > maxRatio || r.last > maxRatio {
				t.Errorf("%s: first copy after %.2f, last host after another %.2f times what the links need, want at most %.2f", c, r.first, r.last, maxRatio)
			}
		})
	}
}

// restarts returns the cases without faults.
func restarts(hosts ...int) []restart {
	var out []restart
	for _, n := range hosts {
		for _, originRate := range []float64{0.6, 1, 2} {
			for _, views := range []string{"all", "list", "grow"} {
				out = append(out, restart{hosts: n, originRate: originRate, views: views})
			}
		}
	}
	return out
}

func BenchmarkFirstCopyOf500Hosts(b *testing.B) {
	for _, c := range restarts(500) {
		b.Run(c.String(), func(b *testing.B) {
			for i := range b.N {
				c.seed = uint64(i)
				r := c.run(b)
				b.ReportMetric(r.first, "first")
				b.ReportMetric(r.last, "last")
				b.ReportMetric(r.copies, "copies")
			}
		})
	}
}
