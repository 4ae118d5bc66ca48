// Package garbler is a stand-in for backend servers and outside systems in trouble, whose
// responses break the rules of HTTP/1.1. It writes bytes, as a library's server would refuse to.
package garbler

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// Config configures a Server.
type Config struct {
	// Respond returns the bytes to write in response to the n-th request to the server, counted
	// from 1. If closes is true, the connection is closed afterwards; otherwise it stays open.
	Respond func(n int, r *http.Request) (text string, closes bool)
}

// Server writes given bytes in response to requests.
type Server struct {
	// Address is where the server listens.
	Address string
	respond func(n int, r *http.Request) (string, bool)

	mu       sync.Mutex
	requests int
	conns    int
	// last holds the number of the last request on each connection.
	last map[net.Conn]int
}

// Start starts a server on loopback, which stops when the context ends.
func Start(ctx context.Context, c Config) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Address: l.Addr().String(), respond: c.Respond, last: make(map[net.Conn]int)}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(ctx, conn)
		}
	}()
	return s, nil
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		stop()
		_ = conn.Close()
	}()
	s.mu.Lock()
	s.conns++
	s.mu.Unlock()
	for reader := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.mu.Lock()
		s.requests++
		n := s.requests
		s.last[conn] = n
		s.mu.Unlock()
		text, closes := s.respond(n, r)
		if _, err := io.WriteString(conn, text); err != nil || closes {
			return
		}
	}
}

// Requests returns the number of requests that the server has received.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// Conns returns the number of connections that the server has accepted.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// EndedConnection reports whether the n-th request was the last one on its connection.
func (s *Server) EndedConnection(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, last := range s.last {
		if last == n {
			return true
		}
	}
	return false
}
