package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// modelBody is the body of a stream. It breaks off when the replica ends.
type modelBody struct {
	ctx      context.Context
	replica  *modelReplica
	events   chan int
	total    int
	last     int
	leftover []byte
}

func (b *modelBody) Read(p []byte) (int, error) {
	if len(b.leftover) == 0 {
		if b.last == b.total {
			return 0, io.EOF
		}
		select {
		case b.last = <-b.events:
			b.leftover = fmt.Appendf(nil, "id: %d\ndata: x\n\n", b.last)
		case <-b.replica.ended.Done():
			return 0, io.ErrUnexpectedEOF
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
	}
	n := copy(p, b.leftover)
	b.leftover = b.leftover[n:]
	return n, nil
}

func (*modelBody) SetReadDeadline(time.Time) {}
func (*modelBody) Close()                    {}
func (*modelBody) Discard()                  {}

var errModelEnded = errors.New("the model has ended")
