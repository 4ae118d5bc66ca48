package stager_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/configurer"
	"filbertstile.example/filbertstile/rigs/bubbler"
	"filbertstile.example/filbertstile/rigs/caller"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/rigs/shaper"
	"filbertstile.example/filbertstile/rigs/stager"
)

// garblingNetwork replaces a part of the first response to a request that runs at a backend server.
type garblingNetwork struct {
	filbertstile.Network
	sound, broken []byte
	// cuts is true if the connection ends after the head of that response.
	cuts bool

	mu       sync.Mutex
	backends map[string]bool
	// garbled is true once a response has been garbled.
	garbled bool
}

func (n *garblingNetwork) addBackend(h *configurer.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.backends[h.Backend] = true
}

// Dial connects to the address.
func (n *garblingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, address)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil || !n.backends[address] {
		return conn, err
	}
	return &garblingConn{Conn: conn, network: n}, nil
}

type garblingConn struct {
	net.Conn
	network *garblingNetwork

	mu sync.Mutex
	// runs is true if the last request was not for the state of the backend server.
	runs bool
}

// Write writes a part of a request.
func (c *garblingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.runs = bytes.Contains(b, []byte("/orders")) && !bytes.Contains(b, []byte("/orders/")) ||
		bytes.Contains(b, []byte("/chat/completions")) || bytes.Contains(b, []byte("/state-of-things"))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Read reads a part of a response.
func (c *garblingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if at := bytes.Index(b[:n], c.network.sound); c.runs && !c.network.garbled && at >= 0 {
		c.network.garbled = true
		copy(b[at:], c.network.broken)
		if c.network.cuts {
			_ = c.Close()
			const endOfHead = "\r\n\r\n"
			return bytes.Index(b[:n], []byte(endOfHead)) + len(endOfHead), err
		}
	}
	return n, err
}

// startGarbled starts a deployment with one entry, two engines and the network.
func startGarbled(ctx context.Context, is *is.I, n *garblingNetwork) *stager.Stage {
	is.Helper()
	d, err := stager.Load("../../examples/royalty-office/deployment.jsonc")
	is.NoErr(err)
	d.Entries = 1
	d.Services[0].Replicas = 2
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.backends = make(map[string]bool)
	s := stager.New(stager.Config{Deployment: d, Base: n, Logger: log, ConfigureHost: n.addBackend})
	is.NoErr(s.Start(ctx))
	is.NoErr(s.AwaitReady(ctx))
	is.NoErr(s.Install(ctx))
	_, err = s.AddRelease(ctx, "filbert-models", imitator.ReleaseConfig{Name: "filbert-1", Seed: 1, ChunkBytes: 1024, Chunks: 4})
	is.NoErr(err)
	is.NoErr(s.AwaitRelease(ctx, "filbert-models", "filbert-1", 2))
	return s
}

// newCaller returns a caller, which may place orders if orders is true.
func newCaller(s *stager.Stage, orders bool) *caller.Caller {
	token := "claims"
	if orders {
		token = "payouts"
	}
	return caller.New(caller.Config{Client: s.HTTPClient(stager.CallerSite()), FixedEntry: s.Entries[0].Settings.HTTPAddress, Token: token})
}

// countRuns returns the number of requests that have run at backend servers.
func countRuns(s *stager.Stage) int {
	runs := 0
	for _, h := range s.Hosts {
		if h.Plain != nil {
			runs += len(h.Plain.Journal())
		} else {
			runs += len(h.Engine.Journal())
		}
	}
	return runs
}

// TestBrokenHeadOfBackendDoesNotReachCallers guards against a response of a backend server that a
// host takes although its head breaks the protocol.
func TestBrokenHeadOfBackendDoesNotReachCallers(t *testing.T) {
	for name, texts := range map[string][2]string{
		"Status000": {" 200 OK\r\n", " 000 OK\r\n"}, "BlankInName": {"\r\nContent-Type:", "\r\nContent Type:"}, "BlankBeforeColon": {"\r\nContent-Type: ", "\r\nContent-Type :"},
	} {
		for kind, call := range map[string]func(ctx context.Context, c *caller.Caller) caller.Result{
			"Completion": func(ctx context.Context, c *caller.Caller) caller.Result {
				return c.Complete(ctx, "filbert-models", "prompt", 4, false)
			},
			"Stream": func(ctx context.Context, c *caller.Caller) caller.Result {
				return c.Complete(ctx, "filbert-models", "prompt", 4, true)
			},
			"Query": func(ctx context.Context, c *caller.Caller) caller.Result { return c.Query(ctx, "royalty-ledger") },
			"Order": func(ctx context.Context, c *caller.Caller) caller.Result {
				return c.Order(ctx, "royalty-ledger", "key", "body")
			},
		} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				bubbler.Run(t, func(ctx context.Context, t *testing.T) {
					is := is.NewRelaxed(t)
					n := &garblingNetwork{Network: shaper.NewMemory(), sound: []byte(texts[0]), broken: []byte(texts[1])}
					s := startGarbled(ctx, is, n)
					defer s.Close()
					r := call(ctx, newCaller(s, kind == "Order"))
					runs := countRuns(s)
					is.True(n.garbled)
					if kind == "Order" {
						is.True(!r.OK())
						is.Equal(r.Run, filbertstile.Unknown) // it has run, and its response is not known
						is.Equal(runs, 1)
						return
					}
					is.True(r.OK())
					is.Equal(runs, 2)
				})
			})
		}
	}
}

// TestOutcomeWithoutResponseIsNotReplayed guards against a call that runs at most once whose response
// was cut short, and whose repetition gets a success without a body.
func TestOutcomeWithoutResponseIsNotReplayed(t *testing.T) {
	bubbler.Run(t, func(ctx context.Context, t *testing.T) {
		is := is.NewRelaxed(t)
		n := &garblingNetwork{Network: shaper.NewMemory(), sound: []byte(" 200 OK\r\n"), broken: []byte(" 200 OK\r\n"), cuts: true}
		s := startGarbled(ctx, is, n)
		defer s.Close()
		c := newCaller(s, true)
		for range 3 {
			r := c.Order(ctx, "royalty-ledger", "key", "body")
			is.True(r.Status >= 500)
			is.True(r.Run == filbertstile.Unknown || r.Run == filbertstile.Ran)
			time.Sleep(time.Second) // the outcome is recorded
		}
		is.True(n.garbled)
		is.Equal(countRuns(s), 1)
	})
}
