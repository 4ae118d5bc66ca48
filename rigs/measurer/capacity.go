package measurer

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/decisions/distributor"
	"filbertstile.example/filbertstile/decisions/evaluator"
	"filbertstile.example/filbertstile/decisions/gatekeeper"
	"filbertstile.example/filbertstile/decisions/limiter"
	"filbertstile.example/filbertstile/decisions/roller"
	"filbertstile.example/filbertstile/decisions/router"
	"filbertstile.example/filbertstile/shells/recorder"
	"filbertstile.example/filbertstile/shells/relayer"
)

const (
	// benchTime is the minimum duration of a run.
	benchTime = 200 * time.Millisecond
	benchRuns = 5
)

func capacityMeasurements() []Measurement {
	return []Measurement{
		{Name: "Capacity.Processor", WallClock: true, Run: measureCPU},
		{Name: "Capacity.Memory", WallClock: true, Run: measureMemory},
		{Name: "Capacity.Bytes", Run: measureControlTrafficSizes},
		{Name: "Capacity.Path", WallClock: true, Run: measurePath},
	}
}

// microsecondsPerCall returns the time of one call of f. It is the minimum of several runs,
// as other processes can only make a run slower.
func microsecondsPerCall(f func()) float64 {
	best := math.Inf(1)
	for range benchRuns {
		n := 0
		start := time.Now()
		for time.Since(start) < benchTime {
			f()
			n++
		}
		best = min(best, float64(time.Since(start).Microseconds())/float64(n))
	}
	return best
}

// point is a size and the value measured at it.
type point struct {
	size  float64
	value float64
}

// fitLine fits value = Fixed + Slope * size to the points. It returns figures for the
// points, the slope with its standard error, and the fixed part. per names what
// the size counts.
func fitLine(name, unit, per string, points []point) []Figure {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.size, p.value
	}
	fixed, slope := stat.LinearRegression(xs, ys, nil, false)
	var figures []Figure
	for _, p := range points {
		figures = append(figures, unbounded("Capacity."+name+".At", p.value, unit, Params{{per, p.size}}))
	}
	squaredResiduals := 0.0
	for i := range xs {
		residual := ys[i] - fixed - slope*xs[i]
		squaredResiduals += residual * residual
	}
	_, variance := stat.MeanVariance(xs, nil)
	slopeError := math.Sqrt(squaredResiduals / max(1, float64(len(xs)-2)) / (variance * float64(len(xs)-1)))
	return append(figures,
		unbounded("Capacity."+name+".Slope", slope, unit+"/"+per, Params{{"Error", slopeError}, {"Points", len(points)}}),
		unbounded("Capacity."+name+".Fixed", fixed, unit, Params{{"Error", slopeError * stat.Mean(xs, nil)}}),
	)
}

// makeMembers returns n members that are distributed as in the deployment that the users
// plan: over nine regions and 35 failure domains, with one entry in four processes.
func makeMembers(n int) []filbertstile.Member {
	out := make([]filbertstile.Member, 0, n)
	for i := range n {
		m := filbertstile.Member{
			Name: fmt.Sprintf("process-%05d", i), Role: filbertstile.RoleHost, Region: fmt.Sprint("region-", i%9), Domain: fmt.Sprint("domain-", i%35),
			Address: fmt.Sprintf("10.%d.%d.%d:7000", i>>16&255, i>>8&255, i&255), Service: modelService,
		}
		if i%4 == 0 {
			m.Role, m.Service, m.HTTPAddress = filbertstile.RoleEntry, "", m.Address
		}
		out = append(out, m)
	}
	return out
}

// makeConfig returns a configuration with the given number of client accounts, two tiers and
// a model service.
func makeConfig(accounts int) filbertstile.Config {
	c := filbertstile.Config{Revision: 1}
	var list []filbertstile.Account
	for i := range accounts {
		name := fmt.Sprintf("account-%06d", i)
		list = append(list, filbertstile.Account{
			Name: name, Tier: topTier, TokenDigest: string(filbertstile.DigestOf([]byte(name))), RatePerSecond: 1e9, Burst: 1e9,
		})
	}
	c.Accounts = filbertstile.NewTable(list...)
	c.Tiers = filbertstile.NewTable(filbertstile.Tier{Name: topTier, Rank: 3, Weight: 8}, filbertstile.Tier{Name: lowTier, Rank: 1, Weight: 1})
	c.Services = filbertstile.NewTable(filbertstile.Service{Name: modelService, Kind: filbertstile.ServiceModel, Release: releaseName, CapacityFloorPercent: 60})
	c.Releases = filbertstile.NewTable(filbertstile.Release{Name: releaseName, Service: modelService})
	return c
}

func measureCPU(context.Context) ([]Figure, error) {
	var figures []Figure
	figures = append(figures, fitLine("Place", "us", "Member", measureAtSizes([]int{1000, 4000, 13300}, func(n int) float64 {
		t := filbertstile.NewTable(makeMembers(n)...)
		self := t.All()[1]
		return microsecondsPerCall(func() { relayer.PlaceOf(self, t, relayer.DefaultLimits()) })
	}))...)
	figures = append(figures, fitLine("ChangeApplied", "us", "Account", measureAtSizes([]int{100, 1000, 10000}, func(n int) float64 {
		c := makeConfig(n)
		ch := filbertstile.Change{Notes: filbertstile.ReleaseNotes{Changed: filbertstile.Entities{Accounts: c.Accounts.All()[:1]}}}
		return microsecondsPerCall(func() { c = c.WithChange(ch) })
	}))...)
	figures = append(figures, fitLine("MembersChanged", "us", "Member", measureAtSizes([]int{1000, 4000, 13300}, func(n int) float64 {
		h := viewer.NewHolder()
		t := filbertstile.NewTable(makeMembers(n)...)
		h.SetMembers(t)
		m := t.All()[0]
		return microsecondsPerCall(func() {
			m.Leaving = !m.Leaving
			h.SetMembers(h.View().Members.With(m))
		})
	}))...)
	figures = append(figures, fitLine("RequestDecided", "us", "Replica", measureAtSizes([]int{16, 32, 64}, benchDispatch))...)
	figures = append(figures, fitLine("RequestGated", "us", "Running", measureAtSizes([]int{8, 64, 512}, benchGate))...)
	figures = append(figures, fitLine("RecordJudged", "us", "Record", measureAtSizes([]int{1000, 10000, 100000}, benchLedger))...)
	figures = append(figures, unbounded("Capacity.QuotaCost", benchQuota(1000), "us", nil))
	figures = append(figures, fitLine("ChunkDecided", "us", "Chunk", measureAtSizes([]int{256, 1024, 4096}, benchDistributor))...)
	return append(figures, fitLine("RolloutPlanned", "us", "Replica", measureAtSizes([]int{100, 1000, 10000}, benchRoller))...), nil
}

// measureAtSizes calls f for each size.
func measureAtSizes(sizes []int, f func(n int) float64) []point {
	out := make([]point, 0, len(sizes))
	for _, n := range sizes {
		out = append(out, point{size: float64(n), value: f(n)})
	}
	return out
}

// benchDispatch returns the time in which an entry with n replicas dispatches and completes
// one request.
func benchDispatch(n int) float64 {
	self := filbertstile.Member{Name: "entry-1", Role: filbertstile.RoleEntry, Region: "region-1", Domain: "domain-1"}
	core := dispatcher.New(dispatcher.DefaultConfig(self))
	now := time.Now()
	all := makeMembers(2 * n)
	v := viewer.View{Config: makeConfig(10), Members: filbertstile.NewTable(all...)}
	var hosts []filbertstile.Member
	for _, m := range all {
		if m.Role == filbertstile.RoleHost && len(hosts) < n {
			hosts = append(hosts, m)
		}
	}
	inbox := []dispatcher.Event{dispatcher.ViewUpdated{View: v, Trust: evaluator.Current, Hosts: hosts}}
	for _, m := range hosts {
		inbox = append(inbox, dispatcher.LoadReported{Host: m.Name, Load: router.Load{Limit: engineSlots, Serving: true, Release: releaseName, Whole: "w"}})
	}
	core.Tick(now, inbox)
	i := 0
	return microsecondsPerCall(func() {
		i++
		id := fmt.Sprint(i)
		now = now.Add(time.Millisecond)
		out := core.Tick(now, []dispatcher.Event{dispatcher.Arrived{Request: dispatcher.Request{
			ID: id, Account: "account-000001", Service: modelService, Deadline: now.Add(time.Minute), Idempotent: true,
		}}})
		for _, cmd := range out {
			if send, ok := cmd.(dispatcher.Send); ok {
				core.Tick(now, []dispatcher.Event{dispatcher.Ended{ID: id, Host: send.Targets[0].Host.Name, OK: true}})
			}
		}
	})
}

// benchGate returns the time in which a gate admits and finishes one request while n others
// run.
func benchGate(n int) float64 {
	core := gatekeeper.New(gatekeeper.Config{Kind: filbertstile.ServicePlain, MaxRunning: n + 1, MaxWaiting: n, ResultRetention: time.Minute})
	now := time.Now()
	core.Tick(now, []gatekeeper.Event{gatekeeper.HostStatusChanged{}})
	class := gatekeeper.Class{Tier: topTier, Rank: 3, Weight: 8}
	for i := range n {
		core.Tick(now, []gatekeeper.Event{gatekeeper.Arrived{Request: gatekeeper.Request{ID: fmt.Sprint("r", i), Class: class, Deadline: now.Add(time.Hour)}}})
	}
	i := 0
	return microsecondsPerCall(func() {
		i++
		id := fmt.Sprint(i)
		core.Tick(now, []gatekeeper.Event{gatekeeper.Arrived{Request: gatekeeper.Request{ID: id, Class: class, Deadline: now.Add(time.Hour)}}})
		core.Tick(now, []gatekeeper.Event{gatekeeper.Finished{ID: id, Latency: time.Millisecond}, gatekeeper.Abandoned{ID: id}})
	})
}

// benchLedger returns the time in which a ledger with n records checks an intent and applies
// an outcome.
func benchLedger(n int) float64 {
	l := recorder.NewLedger(time.Hour, time.Hour)
	now := time.Now()
	for i := range n {
		l.Apply(recorder.Batch{Intents: []recorder.Intent{{Key: fmt.Sprint("key-", i), RequestID: fmt.Sprint(i), At: now}}})
	}
	i := 0
	return microsecondsPerCall(func() {
		i++
		intent := recorder.Intent{Key: fmt.Sprint("key-", i%n), RequestID: fmt.Sprint(i % n), BodyDigest: "b", At: now}
		l.Decide(now, intent)
		l.Apply(recorder.Batch{Outcomes: []recorder.Outcome{{Key: intent.Key, RequestID: intent.RequestID, Run: filbertstile.Ran, At: now}}})
	})
}

// benchDistributor returns the time that a host in a fleet of 2,000 hosts spends on the
// decisions for one chunk, averaged over the transfer of a release.
func benchDistributor(chunks int) float64 {
	m := filbertstile.Manifest{Name: releaseName}
	for i := range chunks {
		m.Chunks = append(m.Chunks, filbertstile.ChunkRef{Digest: filbertstile.Digest(fmt.Sprint("chunk-", i)), Size: defaultChunkBytes})
	}
	all := makeMembers(2667)
	var hosts []filbertstile.Member
	for _, member := range all {
		if member.Role == filbertstile.RoleHost {
			hosts = append(hosts, member)
		}
	}
	self := hosts[1]
	core := distributor.New(distributor.Config{Self: self, SourceRegion: "region-0", Limits: distributor.DefaultLimits(), Seed: 1})
	now := time.Now()
	indexes := make([]int, chunks)
	for i := range indexes {
		indexes[i] = i
	}
	inbox := []distributor.Event{
		distributor.MembersChanged{Members: hosts},
		distributor.WantedChanged{Wants: []distributor.Want{{Release: releaseName, Manifest: "m"}}},
		distributor.ManifestArrived{Digest: "m", Manifest: m},
	}
	start := time.Now()
	fetched := 0
	for fetched < chunks {
		now = now.Add(time.Millisecond)
		out := core.Tick(now, inbox)
		inbox = inbox[:0]
		for _, cmd := range out {
			switch cmd := cmd.(type) {
			case distributor.Subscribe:
				inbox = append(inbox, distributor.HoldingReported{Peer: cmd.Peer.Name, Manifest: "m", Complete: true, Chunks: indexes})
			case distributor.FetchChunk:
				fetched++
				inbox = append(inbox, distributor.ChunkArrived{Manifest: "m", Index: cmd.Index, Peer: cmd.Peer.Name})
			}
		}
	}
	return float64(time.Since(start).Microseconds()) / float64(chunks)
}

// benchRoller returns the time in which the rollout controller plans a switch of n replicas.
func benchRoller(n int) float64 {
	c := makeConfig(10)
	var replicas []router.Replica
	for _, m := range makeMembers(n) {
		m.Role, m.Service = filbertstile.RoleHost, modelService
		replicas = append(replicas, router.Replica{Host: m, Connected: true, Load: router.Load{Serving: true, Limit: engineSlots, Ready: releaseName, Release: "release-0"}})
	}
	return microsecondsPerCall(func() { roller.Plan(c, replicas, roller.Lease{Epoch: 1, Until: time.Now().Add(time.Second)}) })
}

// retainedHeap returns the number of heap bytes that the result of f occupies.
func retainedHeap(f func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := f()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func measureMemory(context.Context) ([]Figure, error) {
	var figures []Figure
	figures = append(figures, fitLine("MemberMemory", "bytes", "Member", measureAtSizes([]int{1000, 4000, 13300}, func(n int) float64 {
		return retainedHeap(func() any {
			h := viewer.NewHolder()
			h.SetMembers(filbertstile.NewTable(makeMembers(n)...))
			return h
		})
	}))...)
	figures = append(figures, fitLine("AccountMemory", "bytes", "Account", measureAtSizes([]int{1000, 10000, 50000}, func(n int) float64 {
		return retainedHeap(func() any { c := makeConfig(n); return &c })
	}))...)
	return append(figures, fitLine("RecordMemory", "bytes", "Record", measureAtSizes([]int{1000, 10000, 100000}, func(n int) float64 {
		return retainedHeap(func() any {
			l := recorder.NewLedger(time.Hour, time.Hour)
			rng := rand.New(rand.NewPCG(1, 1))
			for i := range n {
				key := fmt.Sprint("account/service/", rng.Uint64())
				l.Apply(recorder.Batch{
					Intents:  []recorder.Intent{{Key: key, RequestID: fmt.Sprint("request-", i), BodyDigest: string(filbertstile.DigestOf([]byte(key)))}},
					Outcomes: []recorder.Outcome{{Key: key, RequestID: fmt.Sprint("request-", i), Run: filbertstile.Ran, Status: 200, Body: make([]byte, 128)}},
				})
			}
			return l
		})
	}))...), nil
}

// benchQuota returns the time in which an owner of n accounts grants an entry a rate of one
// of them.
func benchQuota(n int) float64 {
	ledgers := make([]limiter.Ledger, n)
	now := time.Now()
	for i := range ledgers {
		ledgers[i] = limiter.NewLedger(now)
	}
	i := 0
	return microsecondsPerCall(func() {
		i++
		now = now.Add(time.Millisecond)
		ledgers[i%n], _ = ledgers[i%n].WithGrant(limiter.GrantParams{Now: now, Rate: 1000, Entries: 7}, fmt.Sprint("entry-", i%7), 100)
	})
}
