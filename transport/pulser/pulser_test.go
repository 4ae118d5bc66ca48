package pulser_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/transport/pulser"
)

// socket is a pulser.Conn that delivers the test's datagrams and counts the sent ones.
type socket struct {
	in     chan []byte
	closed chan struct{}
	// sent is the number of datagrams that the pulser has sent.
	sent int
	// handled holds the sequence numbers of the heartbeats that the pulser has handed on.
	handled []uint64
}

func (s *socket) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case data := <-s.in:
		return copy(b, data), &net.UDPAddr{}, nil
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

func (s *socket) WriteTo(b []byte, _ net.Addr) (int, error) { s.sent++; return len(b), nil }
func (s *socket) Close() error                              { close(s.closed); return nil }

// send delivers a heartbeat to the pulser.
func (s *socket) send(t *testing.T, p *wire.Pulse) {
	t.Helper()
	data, err := proto.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	s.in <- data
	synctest.Wait()
}

// withPulser runs f in virtual time with a running pulser. *changes is the number of
// calls of OnChange.
func withPulser(t *testing.T, f func(is *is.I, s *socket, p *pulser.Pulser, changes *int)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := &socket{in: make(chan []byte), closed: make(chan struct{})}
		changes := 0
		p := pulser.New(pulser.Config{
			Self: filbertstile.Member{Name: "self"}, Conn: s, Log: reporter.New(reporter.Config{Logger: log}), Interval: 200 * time.Millisecond,
			Compose: func() []pulser.Message {
				return []pulser.Message{{Pulse: &wire.Pulse{}, To: []filbertstile.Member{{Address: "127.0.0.1:1"}}}}
			},
			OnHeartbeat: func(p *wire.Pulse) { s.handled = append(s.handled, p.GetSequence()) }, OnChange: func() { changes++ },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { p.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		f(is.New(t), s, p, &changes)
	})
}

// TestChangesAreReported guards against a peer that is kept without heartbeats, and
// against a missing or needless report of a change.
func TestChangesAreReported(t *testing.T) {
	withPulser(t, func(is *is.I, s *socket, p *pulser.Pulser, changes *int) {
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 1, Sequence: 1})
		is.Equal(p.PeerNames(), []string{"a"})
		is.Equal(*changes, 1)
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 1, Sequence: 2})
		is.Equal(*changes, 1)
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 1, Sequence: 3, Leaving: true})
		is.Equal(*changes, 2)
		time.Sleep(pulser.HeartbeatTimeout + time.Second)
		synctest.Wait()
		is.Equal(len(p.PeerNames()), 0)
		is.Equal(*changes, 3)
		is.True(s.sent > 10)
	})
}

// TestLateHeartbeatIsIgnored guards against a late heartbeat, sent before the sender
// restarted or announced its stop, that overwrites a newer one.
func TestLateHeartbeatIsIgnored(t *testing.T) {
	withPulser(t, func(is *is.I, s *socket, p *pulser.Pulser, _ *int) {
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 2, Sequence: 5, Leaving: true})
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 2, Sequence: 4})
		is.True(p.Peers()["a"].Pulse.GetLeaving())
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 1, Sequence: 9})
		is.True(p.Peers()["a"].Pulse.GetLeaving())
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 3, Sequence: 1})
		is.True(!p.Peers()["a"].Pulse.GetLeaving())
	})
}

// TestInvalidDatagramIsIgnored guards against a peer without a name, and against a
// receiver that stops after an invalid datagram.
func TestInvalidDatagramIsIgnored(t *testing.T) {
	withPulser(t, func(is *is.I, s *socket, p *pulser.Pulser, _ *int) {
		s.in <- []byte("not a heartbeat")
		s.send(t, &wire.Pulse{Incarnation: 1})
		is.Equal(len(p.PeerNames()), 0)
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 1, Sequence: 1})
		is.Equal(p.PeerNames(), []string{"a"})
	})
}

// TestPanicEndsOneHeartbeat guards against a process that ends because the handling of one
// heartbeat panics.
func TestPanicEndsOneHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out strings.Builder
		log := logrus.New()
		log.SetOutput(&out)
		s := &socket{in: make(chan []byte), closed: make(chan struct{})}
		var handled []string
		p := pulser.New(pulser.Config{
			Self: filbertstile.Member{Name: "self"}, Conn: s, Log: reporter.New(reporter.Config{Logger: log}), Interval: time.Second,
			Compose: func() []pulser.Message { return nil }, OnChange: func() {},
			OnHeartbeat: func(p *wire.Pulse) {
				if p.GetName() == "malformed" {
					panic("no such load")
				}
				handled = append(handled, p.GetName())
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { p.Run(ctx); close(done) }()
		s.send(t, &wire.Pulse{Name: "malformed", Incarnation: 1, Sequence: 1})
		s.send(t, &wire.Pulse{Name: "sound", Incarnation: 1, Sequence: 1})
		cancel()
		<-done
		is.Equal(handled, []string{"sound"})
		is.True(strings.Contains(out.String(), "PanicRecovered"))
		is.True(strings.Contains(out.String(), "no such load"))
	})
}

// TestRelayedHeartbeat guards against a peer that a relayed heartbeat keeps in the table for
// longer than its own would, and against an older one that replaces a newer one.
func TestRelayedHeartbeat(t *testing.T) {
	withPulser(t, func(is *is.I, s *socket, p *pulser.Pulser, changes *int) {
		relay := func(sequence uint64, r *wire.Pulse) {
			s.send(t, &wire.Pulse{Name: "relay", Incarnation: 1, Sequence: sequence, Relayed: []*wire.Pulse{r}})
		}
		relay(1, &wire.Pulse{Name: "a", Incarnation: 1, Sequence: 5, AgeMilliseconds: 1000})
		is.Equal(p.PeerNames(), []string{"a", "relay"})
		is.Equal(*changes, 1)
		relay(2, &wire.Pulse{Name: "a", Incarnation: 1, Sequence: 5})
		time.Sleep(pulser.HeartbeatTimeout - time.Second)
		is.Equal(p.PeerNames(), []string{"a", "relay"})
		time.Sleep(time.Millisecond)
		is.Equal(p.PeerNames(), []string{"relay"})
		relay(3, &wire.Pulse{Name: "a", Incarnation: 1, Sequence: 7, Leaving: true})
		relay(4, &wire.Pulse{Name: "a", Incarnation: 1, Sequence: 6})
		is.True(p.Peers()["a"].Pulse.GetLeaving())
		for i, r := range []*wire.Pulse{
			{Name: "self", Sequence: 1}, {Sequence: 1}, {Name: "b", Sequence: 1, AgeMilliseconds: -1}, {Name: "b", Sequence: 1, AgeMilliseconds: 1 << 62},
		} {
			relay(uint64(5+i), r)
		}
		is.Equal(p.PeerNames(), []string{"a", "relay"})
	})
}

// TestHeartbeatAfterRelayedOne guards against a heartbeat whose lists are lost because a later
// one of its sender was relayed faster.
func TestHeartbeatAfterRelayedOne(t *testing.T) {
	withPulser(t, func(is *is.I, s *socket, p *pulser.Pulser, _ *int) {
		s.send(t, &wire.Pulse{Name: "relay", Incarnation: 1, Sequence: 1, Relayed: []*wire.Pulse{{Name: "a", Incarnation: 1, Sequence: 30, Leaving: true}}})
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 1, Sequence: 20})
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 1, Sequence: 20})
		is.Equal(s.handled, []uint64{1, 20})
		is.True(p.Peers()["a"].Pulse.GetLeaving())
	})
}

// TestChangesAreLoggedTogether guards against a log line with all processes for each one that
// starts: their size grows with the square of the number of processes.
func TestChangesAreLoggedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log := logrus.New()
		log.SetOutput(&out)
		s := &socket{in: make(chan []byte), closed: make(chan struct{})}
		p := pulser.New(pulser.Config{
			Self: filbertstile.Member{Name: "self"}, Conn: s, Log: reporter.New(reporter.Config{Logger: log}), Interval: 400 * time.Millisecond,
			Compose: func() []pulser.Message { return nil }, OnHeartbeat: func(*wire.Pulse) {}, OnChange: func() {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { p.Run(ctx); close(done) }()
		const peers = 238
		for round := range 4 {
			for i := range peers {
				s.send(t, &wire.Pulse{Name: fmt.Sprint("p", i), Incarnation: 1, Sequence: uint64(round + 1), Serving: round%2 == 0})
			}
			time.Sleep(400 * time.Millisecond)
		}
		synctest.Wait()
		cancel()
		<-done
		is.Equal(strings.Count(out.String(), "PeersChanged"), 1)
		is.True(strings.Contains(out.String(), fmt.Sprint("p", peers-1))) // the line lists all
	})
}
