package pulser_test

import (
	"context"
	"io"
	"net"
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

// socket hands over what the test sends, and keeps what is sent.
type socket struct {
	in     chan []byte
	closed chan struct{}
	sent   int
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

func (s *socket) send(t *testing.T, p *wire.Pulse) {
	t.Helper()
	data, err := proto.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	s.in <- data
	synctest.Wait()
}

// withPulser runs a pulser in virtual time.
func withPulser(t *testing.T, f func(is *is.I, s *socket, p *pulser.Pulser, changes *int)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := &socket{in: make(chan []byte), closed: make(chan struct{})}
		changes := 0
		p := pulser.New(pulser.Config{
			Self: filbertstile.Member{Name: "self"}, Conn: s, Log: reporter.New(reporter.Config{Logger: log}), Every: 200 * time.Millisecond,
			Compose: func() []pulser.Message {
				return []pulser.Message{{Pulse: &wire.Pulse{}, To: []filbertstile.Member{{Address: "127.0.0.1:1"}}}}
			},
			Heard: func(*wire.Pulse) {}, Changed: func() { changes++ },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { p.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		f(is.New(t), s, p, &changes)
	})
}

func TestHeardAndForgotten(t *testing.T) {
	withPulser(t, func(is *is.I, s *socket, p *pulser.Pulser, changes *int) {
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 1, Sequence: 1})
		is.Equal(p.Names(), []string{"a"})
		is.Equal(*changes, 1)
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 1, Sequence: 2})
		is.Equal(*changes, 1)
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 1, Sequence: 3, Leaving: true})
		is.Equal(*changes, 2)
		time.Sleep(pulser.HeardFor + time.Second)
		synctest.Wait()
		is.Equal(len(p.Names()), 0)
		is.Equal(*changes, 3)
		is.True(s.sent > 10)
	})
}

// TestOldPulse brings a heartbeat late, from before a restart and from before
// the sender announced its stop: neither counts.
func TestOldPulse(t *testing.T) {
	withPulser(t, func(is *is.I, s *socket, p *pulser.Pulser, _ *int) {
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 2, Sequence: 5, Leaving: true})
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 2, Sequence: 4})
		is.True(p.Heard()["a"].Pulse.GetLeaving())
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 1, Sequence: 9})
		is.True(p.Heard()["a"].Pulse.GetLeaving())
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 3, Sequence: 1})
		is.True(!p.Heard()["a"].Pulse.GetLeaving())
	})
}

func TestBadDatagram(t *testing.T) {
	withPulser(t, func(is *is.I, s *socket, p *pulser.Pulser, _ *int) {
		s.in <- []byte("not a heartbeat")
		s.send(t, &wire.Pulse{Incarnation: 1})
		is.Equal(len(p.Names()), 0)
		s.send(t, &wire.Pulse{Name: "a", Incarnation: 1, Sequence: 1})
		is.Equal(p.Names(), []string{"a"})
	})
}
