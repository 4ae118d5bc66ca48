// Package collector reads complete bodies into a memory that they share.
package collector

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
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
	// stallTime is how long a body may take for StepBytes more before it must give way to others
	// that find no memory. It is far below what callers wait for a response.
	stallTime = 400 * time.Millisecond
	// giveWayTimeout is how long a body waits for the memory of those that give way.
	giveWayTimeout = 200 * time.Millisecond
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
	// reading holds the bodies that are being read and can give way.
	reading map[*reading]struct{}
	// released is closed when memory is released; nil if nobody waits.
	released chan struct{}
}

// reading is a body that is being read. Its memory's lock protects it.
type reading struct {
	giveWay func()
	// held is the memory that the body holds.
	held int64
	// at is when the body had marked bytes.
	at     time.Time
	marked int
	// ended is true once the body had to give way.
	ended bool
}

// New returns an unused memory.
func New(c Config) *Memory {
	if c.LimitBytes <= 0 {
		c.LimitBytes = defaultLimit
	}
	if c.Reclaim == nil {
		c.Reclaim = func() bool { return false }
	}
	return &Memory{name: c.Name, limit: c.LimitBytes, reclaim: c.Reclaim, reading: make(map[*reading]struct{})}
}

// Reserve takes n more bytes for a body that holds some. It returns ErrNoMemory if the body would
// hold too much of the memory.
func (m *Memory) Reserve(held, n int64) error {
	err := m.tryReserve(held, n)
	for i := 0; err != nil && i < maxReclaims && m.reclaim(); i++ {
		err = m.tryReserve(held, n)
	}
	return err
}

// tryReserve is like Reserve, but does not wait for memory.
func (m *Memory) tryReserve(held, n int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reserve(held, n)
}

// reserve is like tryReserve; the caller must hold the lock.
func (m *Memory) reserve(held, n int64) error {
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
	if m.released != nil {
		close(m.released)
		m.released = nil
	}
}

// reserveFor is like Reserve, for a body that is being read. If there is too little memory, bodies
// that make no progress give way.
func (m *Memory) reserveFor(r *reading, n int64) error {
	if m.awaitStalled(r, n) == nil {
		return nil
	}
	if err := m.Reserve(r.held, n); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r.held += n
	return nil
}

// awaitStalled is like tryReserve, for a body that is being read, but waits for the memory of bodies
// that make no progress and give way.
func (m *Memory) awaitStalled(r *reading, n int64) error {
	deadline := time.Time{}
	for {
		m.mu.Lock()
		err := m.reserve(r.held, n)
		if err == nil {
			r.held += n
			m.mu.Unlock()
			return nil
		}
		if deadline.IsZero() {
			deadline = time.Now().Add(giveWayTimeout)
			if !m.endStalled(r, n) {
				m.mu.Unlock()
				return err
			}
		}
		if m.released == nil {
			m.released = make(chan struct{})
		}
		released := m.released
		m.mu.Unlock()
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-released:
			timer.Stop()
		case <-timer.C:
			return err
		}
	}
}

// endStalled ends bodies that make no progress until there will be room for n bytes more for r. It
// reports whether any memory will be released; the caller must hold the lock.
func (m *Memory) endStalled(r *reading, n int64) bool {
	var stalled []*reading
	for other := range m.reading {
		if other != r && other.held > 0 && time.Since(other.at) > stallTime {
			stalled = append(stalled, other)
		}
	}
	slices.SortFunc(stalled, func(a, b *reading) int { return int(b.held - a.held) })
	released := int64(0)
	for _, other := range stalled {
		if !other.ended {
			other.ended = true
			other.giveWay()
		}
		if released += other.held; maxFreeMultiple*(m.limit-m.used-n+released) >= r.held+n {
			break
		}
	}
	return released > 0
}

// track makes the body give way if it makes no progress. The function returned ends that, and
// reports whether the body had to give way.
func (m *Memory) track(r *reading) func() bool {
	if r.giveWay == nil {
		return func() bool { return false }
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r.at = time.Now()
	m.reading[r] = struct{}{}
	return func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.reading, r)
		return r.ended
	}
}

// arrived notes that the body has n bytes.
func (m *Memory) arrived(r *reading, n int) {
	if n-r.marked < StepBytes {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r.at, r.marked = time.Now(), n
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
	// HeadBytes is the memory of what belongs to the body. It counts if it is over StepBytes.
	HeadBytes int64
	// GiveWay makes the Reader fail, as the body makes no progress and others need its memory. It
	// must not block, and is not called after the body has been read. nil if that can't be done.
	GiveWay func()
}

// Read returns the complete body, and a function that must be called once the body is no longer
// used. After an error nothing is held. A body that had to give way ends with ErrNoMemory.
func (m *Memory) Read(b Body) (data []byte, done func(), err error) {
	r := &reading{giveWay: b.GiveWay}
	end := m.track(r)
	data, err = m.read(r, b)
	if end() {
		err = ErrNoMemory{Memory: m.name, LimitBytes: m.limit}
	}
	if err != nil {
		m.Release(r.held)
		return nil, func() {}, err
	}
	return data, func() { m.Release(r.held) }, nil
}

// read returns the body, or the error that ended it.
func (m *Memory) read(r *reading, b Body) (data []byte, err error) {
	if b.HeadBytes > StepBytes {
		if err := m.reserveFor(r, b.HeadBytes); err != nil {
			return nil, err
		}
	}
	if b.Reader == nil {
		return nil, nil
	}
	data = make([]byte, 0, StepBytes)
	for {
		if len(data) == cap(data) {
			step := growth(int64(len(data)), b.Length)
			if err := m.reserveFor(r, step); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, int64(cap(data))+step), data...)
		}
		n, err := b.Reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		m.arrived(r, len(data))
		switch {
		case int64(len(data)) > b.MaxBytes:
			return nil, ErrTooLong{Limit: b.Limit, LimitBytes: b.MaxBytes}
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
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
