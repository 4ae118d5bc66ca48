package imitator

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/configurer"
)

// Settings describe stand-ins that run as a process of their own.
type Settings struct {
	ObjectAPI string              `doc:"IP and port of the object API."`
	HostList  string              `doc:"IP and port of the host list."`
	ListLag   configurer.Duration `doc:"How late the host list is."`
	Weights   string              `doc:"IP and port of the weight store."`
	Releases  []MadeRelease       `doc:"Releases that the weight store makes up."`
	Backends  []MadeBackend       `doc:"Backend servers."`
}

// MadeRelease describes made-up weights.
type MadeRelease struct {
	Name       string `doc:"The release's name."`
	Seed       uint64 `doc:"Seed of the weights; the same seed gives the same manifest."`
	ChunkBytes int    `doc:"Size of a chunk."`
	Chunks     int    `doc:"Number of chunks."`
}

// MadeBackend describes a stand-in for a backend server.
type MadeBackend struct {
	Name          string              `doc:"The backend server's name."`
	Kind          string              `doc:"Model or Plain."`
	Address       string              `doc:"IP and port."`
	Slots         int                 `doc:"Requests that a model engine runs together."`
	TokenDelay    configurer.Duration `doc:"Time between two tokens."`
	Delay         configurer.Duration `doc:"Time that a call of a plain service takes."`
	ChecksFencing bool                `doc:"Whether a model engine refuses old fencing numbers."`
}

// DefaultSettings returns the defaults.
func DefaultSettings() *Settings {
	return &Settings{ListLag: configurer.Duration(500 * time.Millisecond)}
}

// Check returns every problem with the settings.
func (s *Settings) Check() error {
	var problems errs.Group
	fail := func(field, problem string) {
		problems.Add(filbertstile.ErrField{Step: "check settings", Field: field, Problem: problem})
	}
	for _, f := range []struct{ field, address string }{{"ObjectAPI", s.ObjectAPI}, {"HostList", s.HostList}, {"Weights", s.Weights}} {
		if _, _, err := net.SplitHostPort(f.address); err != nil {
			fail(f.field, "must be an IP and a port")
		}
	}
	for i, b := range s.Backends {
		if b.Kind != string(filbertstile.ServiceModel) && b.Kind != string(filbertstile.ServicePlain) {
			fail(fmt.Sprintf("Backends[%d].Kind", i), "must be Model or Plain")
		}
		if b.Kind == string(filbertstile.ServiceModel) && b.Slots < 1 {
			fail(fmt.Sprintf("Backends[%d].Slots", i), "must be at least 1")
		}
	}
	for i, r := range s.Releases {
		if r.Chunks < 1 || r.ChunkBytes < 1 {
			fail(fmt.Sprintf("Releases[%d]", i), "needs Chunks and ChunkBytes of at least 1")
		}
	}
	return problems.Err()
}

// Server is a stand-in that can be served at a listener.
type Server interface {
	Serve(ctx context.Context, l net.Listener) error
}

// Start serves a stand-in at a free address until the context ends, and returns
// the address and a function that waits for the end.
func Start(ctx context.Context, n filbertstile.Network, v Server) (string, func(), error) {
	l, err := n.Listen("127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	var wg sync.WaitGroup
	wg.Go(func() { _ = v.Serve(ctx, l) })
	return l.Addr().String(), wg.Wait, nil
}

// place is a stand-in and its address.
type place struct {
	address string
	server  Server
}

// Serve runs the stand-ins of the settings until the context ends, and writes
// the manifests of the releases.
func Serve(ctx context.Context, s *Settings, n filbertstile.Network, out io.Writer) error {
	weights := NewWeightStore()
	for _, r := range s.Releases {
		digest, m := weights.AddRelease(ReleaseConfig{Name: r.Name, Seed: r.Seed, ChunkBytes: r.ChunkBytes, Chunks: r.Chunks})
		fmt.Fprintf(out, "release %s: manifest %s, %d bytes\n", r.Name, digest, m.Size)
	}
	places := []place{{s.ObjectAPI, NewObjectAPI()}, {s.HostList, NewHostList(time.Duration(s.ListLag))}, {s.Weights, weights}}
	for _, b := range s.Backends {
		if b.Kind == string(filbertstile.ServicePlain) {
			places = append(places, place{b.Address, NewPlainService(PlainConfig{Name: b.Name, Delay: time.Duration(b.Delay)})})
			continue
		}
		places = append(places, place{b.Address, NewEngine(EngineConfig{
			Name: b.Name, Slots: b.Slots, TokenDelay: time.Duration(b.TokenDelay), ChecksFencing: b.ChecksFencing,
		})})
	}
	return serveAll(ctx, places, n)
}

func serveAll(ctx context.Context, places []place, n filbertstile.Network) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	failed := make(chan error, len(places))
	for _, p := range places {
		l, err := n.Listen(p.address)
		if err != nil {
			cancel()
			return err
		}
		wg.Go(func() {
			if err := p.server.Serve(ctx, l); err != nil && ctx.Err() == nil {
				failed <- err
			}
		})
	}
	select {
	case err := <-failed:
		cancel()
		return err
	case <-ctx.Done():
		return nil
	}
}
