package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
	"google.golang.org/protobuf/proto"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/viewer"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/decisions/distributor"
	"filbertstile.example/filbertstile/decisions/gatekeeper"
	"filbertstile.example/filbertstile/decisions/limiter"
	"filbertstile.example/filbertstile/decisions/roller"
	"filbertstile.example/filbertstile/decisions/router"
	"filbertstile.example/filbertstile/decisions/voucher"
	"filbertstile.example/filbertstile/shells/recorder"
	"filbertstile.example/filbertstile/shells/relayer"
)

const (
	benchTime = 200 * time.Millisecond
	benchRuns = 5
)

func capacityMeasures() []Measure {
	return []Measure{
		{Name: "Capacity.Processor", Wall: true, Run: measureProcessor},
		{Name: "Capacity.Memory", Wall: true, Run: measureMemory},
		{Name: "Capacity.Bytes", Run: measureControlBytes},
		{Name: "Capacity.Path", Wall: true, Run: measurePath},
	}
}

// perCall returns the processor time of one call in microseconds: the least of
// several runs, as other work on the machine only adds.
func perCall(f func()) float64 {
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

// point is a size and what was measured there.
type point struct {
	size  float64
	value float64
}

// fit returns the lines of a slope: value = Fixed + Slope * size, with the
// standard error of the slope's fit, beside the points.
func fit(name, unit, per string, points []point) []Line {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.size, p.value
	}
	fixed, slope := stat.LinearRegression(xs, ys, nil, false)
	var lines []Line
	for _, p := range points {
		lines = append(lines, plain("Capacity."+name+".At", p.value, unit, Params{{per, p.size}}))
	}
	residual := 0.0
	for i := range xs {
		off := ys[i] - fixed - slope*xs[i]
		residual += off * off
	}
	_, spread := stat.MeanVariance(xs, nil)
	err := math.Sqrt(residual / max(1, float64(len(xs)-2)) / (spread * float64(len(xs)-1)))
	return append(lines,
		plain("Capacity."+name+".Slope", slope, unit+"/"+per, Params{{"Error", err}, {"Points", len(points)}}),
		plain("Capacity."+name+".Fixed", fixed, unit, Params{{"Error", err * stat.Mean(xs, nil)}}),
	)
}

// members returns a fleet of the size, with the shape of the users' plan: nine
// regions, 35 domains, one entry in four processes.
func members(n int) []filbertstile.Member {
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

func configOf(accounts int) filbertstile.Config {
	c := filbertstile.Config{Revision: 1}
	var rows []filbertstile.Account
	for i := range accounts {
		name := fmt.Sprintf("account-%06d", i)
		rows = append(rows, filbertstile.Account{
			Name: name, Tier: topTier, TokenDigest: string(filbertstile.DigestOf([]byte(name))), RatePerSecond: 1e9, Burst: 1e9,
		})
	}
	c.Accounts = filbertstile.NewTable(rows...)
	c.Tiers = filbertstile.NewTable(filbertstile.Tier{Name: topTier, Rank: 3, Weight: 8}, filbertstile.Tier{Name: lowTier, Rank: 1, Weight: 1})
	c.Services = filbertstile.NewTable(filbertstile.Service{Name: modelService, Kind: filbertstile.ServiceModel, Release: releaseName, CapacityFloorPercent: 60})
	c.Releases = filbertstile.NewTable(filbertstile.Release{Name: releaseName, Service: modelService})
	return c
}

func measureProcessor(context.Context) ([]Line, error) {
	var lines []Line
	lines = append(lines, fit("Place", "us", "Member", each([]int{1000, 4000, 13300}, func(n int) float64 {
		t := filbertstile.NewTable(members(n)...)
		self := t.All()[1]
		return perCall(func() { relayer.PlaceOf(self, t, relayer.DefaultLimits()) })
	}))...)
	lines = append(lines, fit("ChangeApplied", "us", "Account", each([]int{100, 1000, 10000}, func(n int) float64 {
		c := configOf(n)
		ch := filbertstile.Change{Notes: filbertstile.ReleaseNotes{Changed: filbertstile.Entities{Accounts: c.Accounts.All()[:1]}}}
		return perCall(func() { c = c.WithChange(ch) })
	}))...)
	lines = append(lines, fit("MembersChanged", "us", "Member", each([]int{1000, 4000, 13300}, func(n int) float64 {
		h := viewer.NewHolder()
		t := filbertstile.NewTable(members(n)...)
		h.SetMembers(t)
		m := t.All()[0]
		return perCall(func() {
			m.Leaving = !m.Leaving
			h.SetMembers(h.View().Members.With(m))
		})
	}))...)
	lines = append(lines, fit("RequestDecided", "us", "Replica", each([]int{16, 32, 64}, benchDispatch))...)
	lines = append(lines, fit("RequestGated", "us", "Running", each([]int{8, 64, 512}, benchGate))...)
	lines = append(lines, fit("RecordJudged", "us", "Record", each([]int{1000, 10000, 100000}, benchLedger))...)
	lines = append(lines, plain("Capacity.QuotaCost", benchQuota(1000), "us", nil))
	lines = append(lines, fit("ChunkDecided", "us", "Chunk", each([]int{256, 1024, 4096}, benchDistributor))...)
	return append(lines, fit("RolloutPlanned", "us", "Replica", each([]int{100, 1000, 10000}, benchRoller))...), nil
}

func each(sizes []int, f func(n int) float64) []point {
	out := make([]point, 0, len(sizes))
	for _, n := range sizes {
		out = append(out, point{size: float64(n), value: f(n)})
	}
	return out
}

// benchDispatch takes one request through the entry's decisions.
func benchDispatch(n int) float64 {
	self := filbertstile.Member{Name: "entry-1", Role: filbertstile.RoleEntry, Region: "region-1", Domain: "domain-1"}
	core := dispatcher.New(dispatcher.DefaultConfig(self))
	now := time.Now()
	hosts := members(2 * n)
	v := viewer.View{Config: configOf(10), Members: filbertstile.NewTable(hosts...)}
	var served []filbertstile.Member
	for _, m := range hosts {
		if m.Role == filbertstile.RoleHost && len(served) < n {
			served = append(served, m)
		}
	}
	inbox := []dispatcher.Event{dispatcher.ViewUpdated{View: v, Trust: voucher.Current, Hosts: served}}
	for _, m := range served {
		inbox = append(inbox, dispatcher.LoadReported{Host: m.Name, Load: router.Load{Limit: slots, Serving: true, Release: releaseName, Whole: "w"}})
	}
	core.Tick(now, inbox)
	i := 0
	return perCall(func() {
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

// benchGate takes one request through the gate while others run.
func benchGate(n int) float64 {
	core := gatekeeper.New(gatekeeper.Config{Kind: filbertstile.ServicePlain, MaxRunning: n + 1, MaxWaiting: n, ResultRetention: time.Minute})
	now := time.Now()
	core.Tick(now, []gatekeeper.Event{gatekeeper.HostStatusChanged{}})
	class := gatekeeper.Class{Tier: topTier, Rank: 3, Weight: 8}
	for i := range n {
		core.Tick(now, []gatekeeper.Event{gatekeeper.Arrived{Request: gatekeeper.Request{ID: fmt.Sprint("r", i), Class: class, Deadline: now.Add(time.Hour)}}})
	}
	i := 0
	return perCall(func() {
		i++
		id := fmt.Sprint(i)
		core.Tick(now, []gatekeeper.Event{gatekeeper.Arrived{Request: gatekeeper.Request{ID: id, Class: class, Deadline: now.Add(time.Hour)}}})
		core.Tick(now, []gatekeeper.Event{gatekeeper.Finished{ID: id, Latency: time.Millisecond}, gatekeeper.Abandoned{ID: id}})
	})
}

func benchLedger(n int) float64 {
	l := recorder.NewLedger(time.Hour, time.Hour)
	now := time.Now()
	for i := range n {
		l.Apply(recorder.Batch{Intents: []recorder.Intent{{Key: fmt.Sprint("key-", i), RequestID: fmt.Sprint(i), At: now}}})
	}
	i := 0
	return perCall(func() {
		i++
		in := recorder.Intent{Key: fmt.Sprint("key-", i%n), RequestID: fmt.Sprint(i % n), BodyDigest: "b", At: now}
		l.Decide(now, in)
		l.Apply(recorder.Batch{Outcomes: []recorder.Outcome{{Key: in.Key, RequestID: in.RequestID, Run: filbertstile.Ran, At: now}}})
	})
}

// benchDistributor takes a host of a fleet of 2,000 through a whole transfer,
// and returns the time for each chunk.
func benchDistributor(chunks int) float64 {
	m := filbertstile.Manifest{Name: releaseName}
	for i := range chunks {
		m.Chunks = append(m.Chunks, filbertstile.ChunkRef{Digest: filbertstile.Digest(fmt.Sprint("chunk-", i)), Size: defaultChunk})
	}
	fleet := members(2667)
	var hosts []filbertstile.Member
	for _, x := range fleet {
		if x.Role == filbertstile.RoleHost {
			hosts = append(hosts, x)
		}
	}
	self := hosts[1]
	core := distributor.New(distributor.Config{Self: self, SourceRegion: "region-0", Limits: distributor.DefaultLimits(), Seed: 1})
	now := time.Now()
	all := make([]int, chunks)
	for i := range all {
		all[i] = i
	}
	inbox := []distributor.Event{
		distributor.MembersChanged{Members: hosts},
		distributor.WantedChanged{Wants: []distributor.Want{{Release: releaseName, Manifest: "m"}}},
		distributor.ManifestArrived{Digest: "m", Manifest: m},
	}
	started := time.Now()
	done := 0
	for done < chunks {
		now = now.Add(time.Millisecond)
		out := core.Tick(now, inbox)
		inbox = inbox[:0]
		for _, cmd := range out {
			switch cmd := cmd.(type) {
			case distributor.Subscribe:
				inbox = append(inbox, distributor.HoldingReported{Peer: cmd.Peer.Name, Manifest: "m", Complete: true, Chunks: all})
			case distributor.FetchChunk:
				done++
				inbox = append(inbox, distributor.ChunkArrived{Manifest: "m", Index: cmd.Index, Peer: cmd.Peer.Name})
			}
		}
	}
	return float64(time.Since(started).Microseconds()) / float64(chunks)
}

func benchRoller(n int) float64 {
	c := configOf(10)
	var replicas []router.Replica
	for _, m := range members(n) {
		m.Role, m.Service = filbertstile.RoleHost, modelService
		replicas = append(replicas, router.Replica{Host: m, Connected: true, Load: router.Load{Serving: true, Limit: slots, Ready: releaseName, Release: "release-0"}})
	}
	return perCall(func() { roller.Plan(c, replicas, roller.Lease{Epoch: 1, Until: time.Now().Add(time.Second)}) })
}

// heapOf returns the bytes that the function's result keeps.
func heapOf(f func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := f()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func measureMemory(context.Context) ([]Line, error) {
	var lines []Line
	lines = append(lines, fit("MemberMemory", "bytes", "Member", each([]int{1000, 4000, 13300}, func(n int) float64 {
		return heapOf(func() any {
			h := viewer.NewHolder()
			h.SetMembers(filbertstile.NewTable(members(n)...))
			return h
		})
	}))...)
	lines = append(lines, fit("AccountMemory", "bytes", "Account", each([]int{1000, 10000, 50000}, func(n int) float64 {
		return heapOf(func() any { c := configOf(n); return &c })
	}))...)
	return append(lines, fit("RecordMemory", "bytes", "Record", each([]int{1000, 10000, 100000}, func(n int) float64 {
		return heapOf(func() any {
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

// change is an encoded change of one account, for its size.
func changeBytes() float64 {
	c := configOf(1)
	data, err := json.Marshal(filbertstile.Change{
		Revision: 1e6, Nonce: "0123456789abcdef0123456789abcdef0123", Author: "operator", At: time.Now(),
		Notes: filbertstile.ReleaseNotes{Changed: filbertstile.Entities{Accounts: c.Accounts.All()}},
	})
	if err != nil {
		panic(err) // plain structs always encode
	}
	return float64(len(data))
}

// frameBytes is what one message costs on a stream that stays open: its
// protobuf, the length before it and the header of yamux.
func frameBytes(m proto.Message) float64 {
	const yamuxHeader, length = 12, 1
	return float64(proto.Size(m) + yamuxHeader + length)
}

// callBytes is what a request on a stream of its own costs: three headers of
// yamux each way for the stream, and both messages.
func callBytes(request, answer proto.Message) float64 {
	const streamBytes = 4 * 12
	return frameBytes(request) + frameBytes(answer) + streamBytes
}

// messageSizes returns the bytes of the messages that the page multiplies, a
// second or each, from the messages themselves.
func messageSizes() []Line {
	update := &wire.Frame{Id: "1z", Kind: &wire.Frame_Update{Update: &wire.Update{
		Revision: 1e6, MembersVersion: 1 << 62, VouchedMillisecondsAgo: 100, EchoMicroseconds: 1.7e15,
	}}}
	ack := &wire.Frame{Id: "1z", Kind: &wire.Frame_Ack{Ack: &wire.Ack{
		MinRevision: 1e6, Revision: 1e6, MembersVersion: 1 << 62, Nodes: 1480, Slowest: "process-00000", StampMicroseconds: 1.7e15,
	}}}
	// Both come with every confirmation, twice a second, from two parents.
	pair := 2 * (frameBytes(update) + frameBytes(ack))
	rate := &wire.AccountRate{Account: "account-000001", PerSecond: 100}
	demand := &wire.Request{Id: "1z", Sender: "process-00000", Kind: &wire.Request_Demand{Demand: &wire.Demand{Rates: []*wire.AccountRate{rate}}}}
	grant := &wire.Frame{Id: "1z", Kind: &wire.Frame_Grant{Grant: &wire.Grant{Rates: []*wire.AccountRate{rate}, LeaseMilliseconds: 1000}}}
	same := &wire.Frame{Id: "1z", Kind: &wire.Frame_Load{Load: &wire.Load{Same: true}}}
	record, err := json.Marshal(recorder.Batch{
		Intents:  []recorder.Intent{{Key: "account-000001/royalty-ledger/0123456789abcdef0123456789abcdef", BodyDigest: string(filbertstile.DigestOf(nil)), RequestID: "0123456789abcdef0123456789abcdef0123", At: time.Now().UTC()}},
		Outcomes: []recorder.Outcome{{Key: "account-000001/royalty-ledger/0123456789abcdef0123456789abcdef", RequestID: "0123456789abcdef0123456789abcdef0123", Run: filbertstile.Ran, Status: 200, ContentType: "application/json", Body: make([]byte, 128), At: time.Now().UTC()}},
	})
	if err != nil {
		panic(err) // plain structs always encode
	}
	member, err := json.Marshal(members(2)[1])
	if err != nil {
		panic(err) // plain structs always encode
	}
	return []Line{
		plain("Capacity.ChangeSize", changeBytes(), "bytes", nil),
		plain("Capacity.TreeBytes.Fixed", 2*pair, "bytes/s", nil),
		plain("Capacity.TreeBytes.Slope", 0, "bytes/s/Member", nil),
		plain("Capacity.RootWord", pair, "bytes/s/Root", nil),
		plain("Capacity.QuotaWord", callBytes(demand, grant)/0.7, "bytes/s/Entry", nil),
		// A report a second, and a ping of yamux and its answer each way every 2 s.
		plain("Capacity.HostReport", frameBytes(same)+24, "bytes/s/Entry", nil),
		plain("Capacity.RecordBytes", float64(len(record)), "bytes/Record", nil),
		plain("Capacity.MemberBytes", float64(len(member)), "bytes/Member", nil),
	}
}

// benchQuota answers one entry's demand for one of n accounts.
func benchQuota(n int) float64 {
	ledgers := make([]limiter.Ledger, n)
	now := time.Now()
	for i := range ledgers {
		ledgers[i] = limiter.NewLedger(now)
	}
	i := 0
	return perCall(func() {
		i++
		now = now.Add(time.Millisecond)
		ledgers[i%n], _ = ledgers[i%n].WithGrant(limiter.GrantParams{Now: now, Rate: 1000, Entries: 7}, fmt.Sprint("entry-", i%7), 100)
	})
}
