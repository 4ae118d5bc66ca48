package entryrunner

import (
	"context"
	"net"

	"filbertstile.example/filbertstile/base/collector"
	"filbertstile.example/filbertstile/base/configurer"
	"filbertstile.example/filbertstile/transport/acceptor"
	"filbertstile.example/filbertstile/transport/responder"
)

const (
	// bodyMemoryDivisor and headMemoryDivisor limit the bodies and the heads of callers' requests to
	// these parts of the process's memory. A body is copied four times until it is sent to the host.
	bodyMemoryDivisor = 16
	headMemoryDivisor = 10
	// adminShare is the part of the callers' limits that operators get. They get the same memory
	// for bodies, so that the largest body fits.
	adminShare = 4
)

// servePublic serves callers until the context ends.
func (e *Entry) servePublic(ctx context.Context, l net.Listener) {
	s := e.config.Settings
	_ = responder.Serve(ctx, l, responder.Config{
		Name: "filbertstile", Handler: e.handlePublic, MaxBodyBytes: s.MaxBodyBytes, MaxConns: maxConns(s),
		Bodies:    collector.New(collector.Config{Name: "requests", LimitBytes: s.MemoryBytes(bodyMemoryDivisor)}),
		HeadBytes: s.MemoryBytes(headMemoryDivisor),
	})
}

// serveAdmin serves operators until the context ends.
func (e *Entry) serveAdmin(ctx context.Context, l net.Listener) {
	s := e.config.Settings
	_ = responder.Serve(ctx, l, responder.Config{
		Name: "filbertstile-admin", Handler: e.handleAdmin, MaxConns: maxConns(s) / adminShare,
		Bodies:    collector.New(collector.Config{Name: "requests of operators", LimitBytes: s.MemoryBytes(bodyMemoryDivisor)}),
		HeadBytes: s.MemoryBytes(headMemoryDivisor * adminShare),
	})
}

// maxConns returns the maximum number of connections of callers.
func maxConns(s *configurer.Entry) int {
	conns := s.MaxConns
	if conns == 0 {
		conns = acceptor.DefaultConns(s.MemoryMB)
	}
	return acceptor.WithinDescriptors(conns)
}
