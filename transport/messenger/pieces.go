package messenger

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"filbertstile.example/filbertstile/base/wire"
)

// pieceBytes is the size of the pieces of SendInPieces.
const pieceBytes = 16 << 10

// SendInPieces sends like Send, but a large frame in pieces: the receiver's LastArrival then
// shows that it is arriving, as yamux returns nothing of a piece before it is complete.
func (s *Stream) SendInPieces(f *wire.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Id = s.id
	if _, err := protodelim.MarshalTo(&s.pending, f); err != nil {
		return fmt.Errorf("send frame to %s: %w", s.peer, err)
	}
	defer s.pending.Reset()
	for piece := range slices.Chunk(s.pending.Bytes(), pieceBytes) {
		if _, err := s.raw.Write(piece); err != nil {
			return fmt.Errorf("send frame to %s: %w", s.peer, err)
		}
	}
	return nil
}

// LastArrival returns the time at which bytes arrived last, which may be those of an
// incomplete frame; zero if none have.
func (s *Stream) LastArrival() time.Time { return s.arrivals.lastArrival() }

// arrivalReader records when bytes arrive.
type arrivalReader struct {
	io.Reader
	mu   sync.Mutex
	last time.Time
}

// Read reads bytes and records their arrival.
func (r *arrivalReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.mu.Lock()
		r.last = time.Now()
		r.mu.Unlock()
	}
	return n, err
}

func (r *arrivalReader) lastArrival() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}
