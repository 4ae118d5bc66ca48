package measurer_test

import (
	"context"
	"flag"
	"os"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"filbertstile.example/filbertstile/measurer"
)

var (
	measuring = flag.Bool("measure", false, "run the measurements and print their lines")
	only      = flag.String("only", "", "run only measurements whose name starts with one of these, separated by commas")
)

// withBubble runs the function in virtual time. Pools that hold timers of an
// earlier bubble are emptied first: two collections drop what a pool keeps.
func withBubble(t *testing.T, f func(ctx context.Context)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f(ctx)
		cancel()
		// Connections that idle time out in virtual time.
		time.Sleep(10 * time.Minute)
	})
}

func wanted(name string) bool {
	for _, prefix := range strings.Split(*only, ",") {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

func TestMeasure(t *testing.T) {
	if !*measuring {
		t.Skip("run by make measure")
	}
	for _, m := range measurer.Catalogue() {
		if !wanted(m.Name) {
			continue
		}
		t.Run(m.Name, func(t *testing.T) {
			run := func(ctx context.Context) {
				lines, err := m.Run(ctx)
				if err != nil {
					t.Error(err)
				}
				if err := measurer.Write(os.Stdout, lines); err != nil {
					t.Error(err)
				}
				for _, l := range lines {
					if !l.Met() {
						t.Errorf("%s is %v, the target is %s %v", l.Name, l.Value, l.Better, *l.Bound)
					}
				}
			}
			if m.Wall {
				run(t.Context())
				return
			}
			withBubble(t, run)
		})
	}
}
