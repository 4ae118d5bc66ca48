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

// slow is an output that takes nothing until it is let go.
type slow struct {
	mu   sync.Mutex
	let  chan struct{}
	text bytes.Buffer
}

func (s *slow) Write(p []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestWriterNeverBlocks logs more than the bound to an output that takes nothing.
func TestWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &slow{let: make(chan struct{})}
		w := reporter.NewWriter(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		started := time.Now()
		for range 3000 {
			_, err := w.Write(line)
			is.NoErr(err)
			time.Sleep(time.Millisecond)
		}
		is.Equal(time.Since(started), 3*time.Second)
		close(out.let)
		w.Close()
		is.True(out.text.Len() < 3000*len(line))
		is.True(strings.Contains(out.text.String(), "LinesDropped"))
	})
}
