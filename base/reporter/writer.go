package reporter

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// flushEvery is how long lines are gathered before they are written at once.
	flushEvery = 100 * time.Millisecond
	// maxPending bounds the bytes of lines that wait to be written.
	maxPending = 1 << 20
)

// Writer gathers lines and writes them beside, so that logging never waits for
// a slow reader. Lines beyond its bound are dropped and counted.
type Writer struct {
	out  io.Writer
	done chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	pending bytes.Buffer
	dropped int
}

// NewWriter returns a writer that runs until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, done: make(chan struct{})}
	w.wg.Go(w.run)
	return w
}

// Write takes in one line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending.Len()+len(line) > maxPending {
		w.dropped++
		return len(line), nil
	}
	return w.pending.Write(line)
}

func (w *Writer) run() {
	tick := time.NewTicker(flushEvery)
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
		// There is nowhere to report that the log cannot be written.
		_, _ = w.out.Write(lines)
	}
	if dropped > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"msg\":\"LinesDropped\",\"Lines\":%d}\n", dropped)
	}
}

// Close writes what is pending and ends the writer.
func (w *Writer) Close() {
	close(w.done)
	w.wg.Wait()
}
