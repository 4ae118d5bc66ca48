package measurer_test

import (
	"context"
	"flag"
	"os"
	"strings"
	"testing"

	"filbertstile.example/filbertstile/rigs/bubbler"
	"filbertstile.example/filbertstile/rigs/measurer"
)

var (
	enabled = flag.Bool("measure", false, "run the measurements and print their figures")
	only    = flag.String("only", "", "run only the measurements whose names start with one of these prefixes, separated by commas")
)

// selected reports whether the flag -only includes the measurement.
func selected(name string) bool {
	for _, prefix := range strings.Split(*only, ",") {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// TestMeasure guards against figures that miss their targets. The measurements run in a test
// because virtual time is available only in tests.
func TestMeasure(t *testing.T) {
	if !*enabled {
		t.Skip("runs only in make measure")
	}
	for _, m := range measurer.All() {
		if !selected(m.Name) {
			continue
		}
		t.Run(m.Name, func(t *testing.T) {
			run := func(ctx context.Context) {
				figures, err := m.Run(ctx)
				if err != nil {
					t.Error(err)
				}
				if err := measurer.Write(os.Stdout, figures); err != nil {
					t.Error(err)
				}
				for _, f := range figures {
					if !f.MeetsBound() {
						t.Errorf("%s = %v, want %s %v", f.Name, f.Value, f.Better, *f.Bound)
					}
				}
			}
			if m.WallClock {
				bubbler.ClearPools()
				run(t.Context())
				return
			}
			bubbler.Run(t, func(ctx context.Context, _ *testing.T) { run(ctx) })
		})
	}
}
