package messenger_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/transport/messenger"
)

// darkNetwork is a network whose other host has no power until a time. What is dialled before is
// connected only once the network stack has sent the first packet again.
type darkNetwork struct {
	filbertstile.Network
	poweredAt time.Time
	// roundTrip is how long it takes to connect.
	roundTrip time.Duration
	// refuses is true if no process listens at the other host.
	refuses bool
	open    atomic.Int64
}

const packetTimeout = time.Second

var errRefused = errors.New("refused")

func (n *darkNetwork) Dial(ctx context.Context, _ string) (net.Conn, error) {
	wait := n.roundTrip
	if time.Now().Before(n.poweredAt) {
		wait += packetTimeout
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if n.refuses {
		return nil, errRefused
	}
	n.open.Add(1)
	return &countedConn{network: n}, nil
}

// countedConn is a connection that its network counts while it is open.
type countedConn struct {
	net.Conn
	network *darkNetwork
}

func (c *countedConn) Close() error {
	c.network.open.Add(-1)
	return nil
}

// TestPeerThatGetsPowerIsReachedSoon guards against processes that wait for a second to connect to
// one that started a moment after them, and against connections to far peers that come late or
// are left open.
func TestPeerThatGetsPowerIsReachedSoon(t *testing.T) {
	const near, far = 4 * time.Millisecond, 300 * time.Millisecond
	for name, c := range map[string]struct {
		dark, roundTrip, limit time.Duration
		refuses                bool
	}{
		"Powered":           {roundTrip: near, limit: near},
		"PowerAfter20ms":    {dark: 20 * time.Millisecond, roundTrip: near, limit: 60 * time.Millisecond},
		"PowerAfter100ms":   {dark: 100 * time.Millisecond, roundTrip: near, limit: 220 * time.Millisecond},
		"PowerAfter300ms":   {dark: 300 * time.Millisecond, roundTrip: near, limit: 620 * time.Millisecond},
		"Far":               {roundTrip: far, limit: far},
		"FarPowerAfter50ms": {dark: 50 * time.Millisecond, roundTrip: far, limit: 420 * time.Millisecond},
		"Refused":           {roundTrip: near, limit: near, refuses: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				network := &darkNetwork{poweredAt: time.Now().Add(c.dark), roundTrip: c.roundTrip, refuses: c.refuses}
				begun := time.Now()
				conn, err := messenger.Dial(t.Context(), network, "peer")
				if took := time.Since(begun); took > c.limit {
					t.Errorf("the peer was reached after %s, want at most %s", took, c.limit)
				}
				time.Sleep(2 * packetTimeout)
				if c.refuses {
					is.Equal(err, errRefused)
					return
				}
				is.NoErr(err)
				is.Equal(network.open.Load(), int64(1)) // only the connection in use
				is.NoErr(conn.Close())
			})
		})
	}
}

// TestDialEndsWithContext guards against attempts that go on after their request has ended.
func TestDialEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		network := &darkNetwork{poweredAt: time.Now().Add(time.Hour)}
		begun := time.Now()
		_, err := messenger.Dial(ctx, network, "peer")
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(time.Since(begun), 100*time.Millisecond)
		synctest.Wait()
		is.Equal(network.open.Load(), int64(0))
	})
}
