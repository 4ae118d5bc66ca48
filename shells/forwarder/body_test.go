package forwarder

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// endless is a body without end.
type endless struct{ read int64 }

func (e *endless) Read(b []byte) (int, error) {
	e.read += int64(len(b))
	return len(b), nil
}

// TestBodiesShareOneMemory guards against bodies without end, or many long ones at once, that
// together take more than the memory of the entry.
func TestBodiesShareOneMemory(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	b := newBuffers(limit)
	held, done, err := b.read(bytes.NewReader(make([]byte, limit/4)))
	is.NoErr(err)
	is.Equal(len(held), limit/4)
	source := &endless{}
	_, doneEndless, err := b.read(source)
	var tooLong ErrTooLong
	is.True(errors.As(err, &tooLong))
	is.True(source.read <= limit) // reading stops at once
	doneEndless()
	done()
	is.Equal(b.used, int64(0))
	data, done, err := b.read(iotest.OneByteReader(strings.NewReader("complete")))
	is.NoErr(err)
	is.Equal(string(data), "complete")
	done()
	_, done, err = b.read(iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("broken"))))
	is.True(err != nil) // a part of a body is not a body
	done()
	is.Equal(b.used, int64(0))
}

// TestEndlessEventEnds guards against an event without end, and against one that grows by a
// byte now and then: both fail at the same size.
func TestEndlessEventEnds(t *testing.T) {
	is := is.New(t)
	source := &endless{}
	_, err := newEventReader(source).next()
	var tooLong ErrTooLong
	is.True(errors.As(err, &tooLong))
	is.True(source.read <= 2*maxEventBytes)
	_, err = newEventReader(iotest.OneByteReader(io.LimitReader(&endless{}, 2*maxEventBytes))).next()
	is.True(errors.As(err, &tooLong))
}
