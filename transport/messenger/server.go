package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/panjf2000/ants/v2"
	"google.golang.org/protobuf/encoding/protodelim"

	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/transport/acceptor"
)

const (
	// maxSessions is the maximum number of sessions, if the process may have twice as many
	// descriptors. Beyond it, connections without a request are closed, the oldest first.
	maxSessions = 8192
	// acceptRetryDelay is the delay after an error, such as a lack of descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// Handler handles one request. The stream is closed when it returns.
type Handler func(ctx context.Context, req *wire.Request, s *Stream)

// Server accepts sessions and passes their requests to a handler.
type Server struct {
	pool    *ants.Pool
	handler Handler
	wg      sync.WaitGroup
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Handler Handler
	// Concurrency is the maximum number of requests that are handled at the same time.
	// The streams of further requests are closed without a reply.
	Concurrency int
}

// NewServer returns a server. It accepts no sessions before Serve is called.
func NewServer(c ServerConfig) (*Server, error) {
	pool, err := ants.NewPool(c.Concurrency, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, fmt.Errorf("create handler pool: %w", err)
	}
	return &Server{pool: pool, handler: c.Handler}, nil
}

// Serve accepts sessions until the context ends or the listener is closed, and returns after all
// handlers have returned.
func (srv *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	defer srv.pool.Release()
	defer srv.wg.Wait()
	l = acceptor.New(acceptor.Config{Listener: l, MaxConns: acceptor.WithinDescriptors(maxSessions)})
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept session: %w", err)
		default:
			_ = sleeper.Sleep(ctx, acceptRetryDelay) // then the listener is closed
			continue
		}
		srv.wg.Add(1)
		go srv.serveSession(ctx, conn)
	}
}

func (srv *Server) serveSession(ctx context.Context, conn net.Conn) {
	defer srv.wg.Done()
	session, err := yamux.Server(newJoiner(conn), sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	defer func() { _ = session.Close() }()
	for {
		raw, err := session.AcceptStream()
		if err != nil {
			return
		}
		if c, ok := conn.(*acceptor.Conn); ok {
			c.HeadRead() // it is that of a peer, and stays
		}
		srv.wg.Add(1)
		task := func() {
			defer srv.wg.Done()
			srv.handle(ctx, conn.RemoteAddr().String(), raw)
		}
		if srv.pool.Submit(task) != nil {
			// The pool is full. The peer sees that the stream is closed before any frame.
			srv.wg.Done()
			_ = raw.Close()
		}
	}
}

func (srv *Server) handle(ctx context.Context, peer string, raw *yamux.Stream) {
	s := newStream("", peer, raw)
	defer s.Close()
	req := new(wire.Request)
	opts := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	_ = raw.SetReadDeadline(time.Now().Add(requestTimeout)) // it never fails
	if err := opts.UnmarshalFrom(s.reader, req); err != nil {
		return
	}
	_ = raw.SetReadDeadline(time.Time{})
	s.id = req.GetId()
	s.peer = req.GetSender()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	srv.handler(ctx, req, s)
}
