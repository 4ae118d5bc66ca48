package reporter_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/base/reporter"
)

// blockedWriter blocks every Write until unblock is closed.
type blockedWriter struct {
	mu      sync.Mutex
	unblock chan struct{}
	text    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestWriterNeverBlocks guards against logging that waits for its output. It writes
// more than the buffer holds while the output is blocked.
func TestWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedWriter{unblock: make(chan struct{})}
		w := reporter.NewWriter(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		started := time.Now()
		for range 3000 {
			_, err := w.Write(line)
			is.NoErr(err)
			time.Sleep(time.Millisecond)
		}
		is.Equal(time.Since(started), 3*time.Second)
		close(out.unblock)
		w.Close()
		is.True(out.text.Len() < 3000*len(line))
		is.True(strings.Contains(out.text.String(), "LinesDropped"))
	})
}

// TestWriterClosesOnce guards against a panic of a process that closes its log on two ways out.
func TestWriterClosesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		w := reporter.NewWriter(&out)
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		var closers sync.WaitGroup
		for range 3 {
			closers.Go(w.Close)
		}
		closers.Wait()
		w.Close()
		is.Equal(out.String(), "line\n")
	})
}
