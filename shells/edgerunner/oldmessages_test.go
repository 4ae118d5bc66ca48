package edgerunner

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/transport/pulser"
)

// inbox is a connection on which datagrams arrive, and none leave.
type inbox chan []byte

func (c inbox) ReadFrom(b []byte) (int, net.Addr, error) {
	data, ok := <-c
	if !ok {
		return 0, nil, net.ErrClosed
	}
	return copy(b, data), &net.UDPAddr{}, nil
}
func (c inbox) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }
func (c inbox) Close() error                              { close(c); return nil }

// TestRepeatedAndOldMessagesCountOnce guards against loads and demands that count twice, or replace newer
// ones, as the network repeats or delays their messages, and against messages of a build that knows
// neither demands nor the newer figures of a load.
func TestRepeatedAndOldMessagesCountOnce(t *testing.T) {
	for _, olderBuild := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is, rng := is.New(t), rand.New(rand.NewPCG(1, 1))
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			log := reporter.New(reporter.Config{Logger: logger})
			e := New(Config{Metrics: metrics.NewRegistry(), Log: log})
			e.placer.SetFleet(time.Now(), placer.Fleet{
				Pools:    filbertstile.NewTable(filbertstile.PoolSpec{Service: "chat", Engine: &filbertstile.EngineSpec{}}),
				Replicas: filbertstile.NewTable(filbertstile.Replica{ID: "r", Service: "chat", Slots: 100, Version: 1}), Entries: 2, Priorities: map[string][]int{"chat": {0, 1}},
			})
			e.placer.RetainPeers(time.Now(), []filbertstile.Member{{Name: "peer"}})
			conn := make(inbox)
			e.pulser = pulser.New(pulser.Config{
				Self: filbertstile.Member{Name: "self"}, Conn: conn, Log: log, Incarnation: 1, Interval: heartbeatInterval,
				Compose: func() []pulser.Message { return nil }, OnHeartbeat: e.handleHeartbeat, OnChange: func() {},
			})
			go e.pulser.Run(t.Context())
			for priority := range 2 { // makes both classes known
				now := time.Now()
				g, err := e.placer.Acquire(t.Context(), placer.Request{Service: "chat", RoutePriority: priority, Arrived: now, TargetLatency: time.Second, Deadline: now.Add(time.Minute)})
				is.NoErr(err)
				e.placer.Release(&g, placer.Completed)
			}
			time.Sleep(10 * time.Second) // their rates have decayed
			var sent [][]byte
			for sequence := range uint64(200) {
				load := &wire.EntryLoad{Replica: placer.HashOf("r"), Requests: int32(rng.IntN(50)), Tokens: int32(rng.IntN(5000))}
				p := &wire.Pulse{Name: "peer", Incarnation: 1, Sequence: sequence + 1, Loads: []*wire.EntryLoad{load}, AllLoads: rng.IntN(2) == 0}
				demand := float64(rng.IntN(2) * 400)
				if !olderBuild {
					load.OutputMilliseconds, load.MemoryTokens, load.SeenPacePercent = int32(rng.IntN(9000)), int32(rng.IntN(9000)), int32(100+rng.IntN(300))
					p.Demands, p.AllDemands = []*wire.ClassDemand{{Service: placer.HashOf("chat"), PerSecond: float32(demand)}}, true
				}
				data, err := proto.Marshal(p)
				is.NoErr(err)
				sent = append(sent, data)
				for range 1 + rng.IntN(3) {
					conn <- data
					conn <- sent[rng.IntN(len(sent))]
				}
				synctest.Wait()
				states, _ := e.placer.Dump(time.Now())
				is.Equal(states[0].Others, int(load.GetRequests()))
				is.Equal(states[0].Output, time.Duration(load.GetOutputMilliseconds())*time.Millisecond)
				is.Equal(states[0].PeerPace, float64(load.GetSeenPacePercent())/100)
				reserve := e.placer.Admissions(time.Now())[0].Classes[1].Reserve
				is.Equal(reserve > 1, !olderBuild && demand > 0) // the peer of an older build is assumed to have the own rates
			}
		})
	}
}
