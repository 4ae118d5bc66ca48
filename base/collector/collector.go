// Package collector reads complete bodies into a memory that they share.
package collector

import (
	"fmt"
	"io"
	"sync"
)

const (
	// defaultLimit is the size of a memory whose limit is not set.
	defaultLimit = 64 << 20
	// StepBytes is the smallest step in which the buffer of a body grows; larger ones grow by a
	// quarter. The first step of a body is not counted, so that short bodies don't depend on the
	// others.
	StepBytes = 16 << 10
	// maxFreeMultiple limits the memory of one body to this multiple of what it leaves free, so
	// that many bodies without end can't take it all.
	maxFreeMultiple = 2
	// maxHintMultiple is how many times larger than what has arrived a buffer may be because of
	// the length that the peer has announced.
	maxHintMultiple = 4
	// maxReclaims is the maximum number of times that a body waits for memory.
	maxReclaims = 40
)

// ErrTooLong reports a body of which no more is read.
type ErrTooLong struct {
	// Limit names the limit, and LimitBytes is its size.
	Limit      string
	LimitBytes int64
}

// Error returns a message with the limit.
func (e ErrTooLong) Error() string {
	return fmt.Sprintf("body is longer than %s, which is %d bytes", e.Limit, e.LimitBytes)
}

// ErrNoMemory reports a body of which no more is read, as the memory is used by others.
type ErrNoMemory struct {
	// Memory names the memory, and LimitBytes is its size.
	Memory     string
	LimitBytes int64
}

// Error returns a message with the memory.
func (e ErrNoMemory) Error() string {
	return fmt.Sprintf("body is longer than the memory that is left for %s, which is %d bytes", e.Memory, e.LimitBytes)
}

// Config configures a Memory.
type Config struct {
	// Name says in errors what the memory is for.
	Name string
	// LimitBytes is the size of the memory; 0 means the default.
	LimitBytes int64
	// Reclaim, if not nil, is called while the memory does not suffice. It waits for memory that others
	// free, and may make them free it. It returns false if nobody will.
	Reclaim func() bool
}

// Memory is the memory for all bodies of one kind that are being read or used. It is safe for
// concurrent use.
type Memory struct {
	name    string
	limit   int64
	reclaim func() bool

	mu   sync.Mutex
	used int64
}

// New returns an unused memory.
func New(c Config) *Memory {
	if c.LimitBytes <= 0 {
		c.LimitBytes = defaultLimit
	}
	if c.Reclaim == nil {
		c.Reclaim = func() bool { return false }
	}
	return &Memory{name: c.Name, limit: c.LimitBytes, reclaim: c.Reclaim}
}

// Reserve takes n more bytes for a body that holds some. It returns ErrNoMemory if the body would
// hold too much of the memory.
func (m *Memory) Reserve(held, n int64) error {
	err := m.reserve(held, n)
	for i := 0; err != nil && i < maxReclaims && m.reclaim(); i++ {
		err = m.reserve(held, n)
	}
	return err
}

func (m *Memory) reserve(held, n int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if free := m.limit - m.used - n; held+n > maxFreeMultiple*free {
		return ErrNoMemory{Memory: m.name, LimitBytes: m.limit}
	}
	m.used += n
	return nil
}

// Release returns n bytes.
func (m *Memory) Release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
}

// Used returns the number of bytes in use.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Body describes a body to read.
type Body struct {
	io.Reader
	// MaxBytes is the largest length, and Limit names it in errors.
	MaxBytes int64
	Limit    string
	// Length is the length that the peer has announced; 0 if it is not known.
	Length int64
}

// Read returns the complete body, and a function that must be called once the body is no longer
// used. After an error nothing is held.
func (m *Memory) Read(b Body) (data []byte, done func(), err error) {
	data, reserved, err := m.read(b)
	if err != nil {
		m.Release(reserved)
		return nil, func() {}, err
	}
	return data, func() { m.Release(reserved) }, nil
}

// read returns the body, or the error that ended it, and how much memory it holds.
func (m *Memory) read(b Body) (data []byte, reserved int64, err error) {
	data = make([]byte, 0, StepBytes)
	for {
		if len(data) == cap(data) {
			step := growth(int64(len(data)), b.Length)
			if err := m.Reserve(reserved, step); err != nil {
				return nil, reserved, err
			}
			reserved += step
			data = append(make([]byte, 0, int64(cap(data))+step), data...)
		}
		n, err := b.Reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > b.MaxBytes:
			return nil, reserved, ErrTooLong{Limit: b.Limit, LimitBytes: b.MaxBytes}
		case err == io.EOF:
			return data, reserved, nil
		case err != nil:
			return nil, reserved, err
		}
	}
}

// growth returns by how much the buffer of a body grows after held bytes. With the whole body
// there is room for a byte more, so that its end is found.
func growth(held, length int64) int64 {
	if rest := length + 1 - held; rest > 0 && length < maxHintMultiple*held {
		return rest
	}
	return max(StepBytes, held/4)
}
