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

// Settings configures the stand-ins that run in one process.
type Settings struct {
	ObjectAPI string              `doc:"IP and port of the object API."`
	HostList  string              `doc:"IP and port of the host list."`
	ListLag   configurer.Duration `doc:"Maximum time until readers of the host list see a change."`
	Weights   string              `doc:"IP and port of the weight store."`
	Releases  []ReleaseSettings   `doc:"Releases whose weights the weight store generates."`
	Backends  []BackendSettings   `doc:"Backend servers."`
}

// ReleaseSettings configures a release with generated weights.
type ReleaseSettings struct {
	Name       string `doc:"The release's name."`
	Seed       uint64 `doc:"Seed of the weights; the same name, seed and sizes give the same manifest."`
	ChunkBytes int    `doc:"Size of a chunk in bytes."`
	Chunks     int    `doc:"Number of chunks."`
}

// BackendSettings configures a stand-in for a backend server.
type BackendSettings struct {
	Name          string              `doc:"The backend server's name."`
	Kind          string              `doc:"Model or Plain."`
	Address       string              `doc:"IP and port."`
	Slots         int                 `doc:"Number of requests that a model engine runs at the same time."`
	TokenDelay    configurer.Duration `doc:"Time between two tokens."`
	Delay         configurer.Duration `doc:"Duration of a call to a plain service."`
	ChecksFencing bool                `doc:"Whether a model engine rejects stale fencing tokens."`
}

// DefaultSettings returns the default settings.
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
			fail(fmt.Sprintf("Releases[%d]", i), "Chunks and ChunkBytes must be at least 1")
		}
	}
	return problems.Err()
}

// Server is a stand-in that serves connections of a listener.
type Server interface {
	Serve(ctx context.Context, l net.Listener) error
}

// Start serves a stand-in on a free port until the context ends, and returns its address
// and a function that waits until it has stopped.
func Start(ctx context.Context, n filbertstile.Network, s Server) (string, func(), error) {
	l, err := n.Listen("127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.Serve(ctx, l) })
	return l.Addr().String(), wg.Wait, nil
}

// endpoint is a stand-in and its address.
type endpoint struct {
	address string
	server  Server
}

// Serve runs the stand-ins of the settings until the context ends. It writes the digest of
// each release's manifest and the size of its weights to out.
func Serve(ctx context.Context, s *Settings, n filbertstile.Network, out io.Writer) error {
	weights := NewWeightStore()
	for _, r := range s.Releases {
		digest, m := weights.AddRelease(ReleaseConfig{Name: r.Name, Seed: r.Seed, ChunkBytes: r.ChunkBytes, Chunks: r.Chunks})
		fmt.Fprintf(out, "release %s: manifest %s, %d bytes\n", r.Name, digest, m.Size)
	}
	endpoints := []endpoint{{s.ObjectAPI, NewObjectAPI()}, {s.HostList, NewHostList(time.Duration(s.ListLag))}, {s.Weights, weights}}
	for _, b := range s.Backends {
		if b.Kind == string(filbertstile.ServicePlain) {
			endpoints = append(endpoints, endpoint{b.Address, NewPlainService(PlainConfig{Name: b.Name, Delay: time.Duration(b.Delay)})})
			continue
		}
		endpoints = append(endpoints, endpoint{b.Address, NewEngine(EngineConfig{
			Name: b.Name, Slots: b.Slots, TokenDelay: time.Duration(b.TokenDelay), ChecksFencing: b.ChecksFencing,
		})})
	}
	return serveAll(ctx, endpoints, n)
}

func serveAll(ctx context.Context, endpoints []endpoint, n filbertstile.Network) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	failures := make(chan error, len(endpoints))
	for _, e := range endpoints {
		l, err := n.Listen(e.address)
		if err != nil {
			cancel()
			return err
		}
		wg.Go(func() {
			if err := e.server.Serve(ctx, l); err != nil && ctx.Err() == nil {
				failures <- err
			}
		})
	}
	select {
	case err := <-failures:
		cancel()
		return err
	case <-ctx.Done():
		return nil
	}
}
