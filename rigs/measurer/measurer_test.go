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
	measuring = flag.Bool("measure", false, "run the measurements and print their lines")
	only      = flag.String("only", "", "run only measurements whose name starts with one of these, separated by commas")
)

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
				bubbler.ClearPools()
				run(t.Context())
				return
			}
			bubbler.Run(t, func(ctx context.Context, _ *testing.T) { run(ctx) })
		})
	}
}
