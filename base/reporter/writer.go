package reporter

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// flushInterval is the interval at which the buffered lines are written.
	flushInterval = 100 * time.Millisecond
	// maxPendingBytes is the maximum size of the buffered lines.
	maxPendingBytes = 1 << 20
)

// Writer buffers log lines and writes them in a goroutine of its own, so that
// logging never waits for a slow output. If the buffer is full, lines are dropped
// and counted.
type Writer struct {
	out       io.Writer
	done      chan struct{}
	closeOnce sync.Once
	wg        sync.WaitGroup

	mu      sync.Mutex
	pending bytes.Buffer
	dropped int
}

// NewWriter returns a writer to out. The caller must call Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, done: make(chan struct{})}
	w.wg.Go(w.run)
	return w
}

// Write buffers a line, or drops it if the buffer is full. It never returns an
// error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending.Len()+len(line) > maxPendingBytes {
		w.dropped++
		return len(line), nil
	}
	return w.pending.Write(line)
}

func (w *Writer) run() {
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.flush()
		case <-w.done:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.pending.Bytes())
	w.pending.Reset()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if len(lines) > 0 {
		// A failure to write the log cannot be logged.
		_, _ = w.out.Write(lines)
	}
	if dropped > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"msg\":\"LinesDropped\",\"Lines\":%d}\n", dropped)
	}
}

// Close writes the buffered lines and stops the writer. Further calls wait for the first one.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.done) })
	w.wg.Wait()
}

// CloseWithin is like Close, but waits no longer than the timeout for an output that is blocked.
func (w *Writer) CloseWithin(timeout time.Duration) {
	closed := make(chan struct{})
	go func() {
		w.Close()
		close(closed)
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	}
}
