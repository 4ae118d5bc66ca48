package demonstrator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile/rigs/bubbler"
	"filbertstile.example/filbertstile/rigs/demonstrator"
	"filbertstile.example/filbertstile/rigs/shaper"
	"filbertstile.example/filbertstile/rigs/stager"
)

// TestExamplesViolateNoGuarantee runs the demo of each example deployment in virtual time. No
// figure may violate a guarantee, and the report must be valid JSON.
func TestExamplesViolateNoGuarantee(t *testing.T) {
	for _, name := range []string{"royalty-office", "graffiti-society"} {
		t.Run(name, func(t *testing.T) {
			d, err := stager.Load("../../examples/" + name + "/deployment.jsonc")
			if err != nil {
				t.Fatal(err)
			}
			bubbler.Run(t, func(ctx context.Context, t *testing.T) {
				is := is.New(t)
				log := logrus.New()
				log.SetOutput(io.Discard)
				var out bytes.Buffer
				r, err := demonstrator.Run(ctx, demonstrator.Config{Deployment: d, Out: &out, JSON: true, Logger: log, Base: shaper.NewMemory()})
				is.NoErr(err)
				is.Equal(r.Broken, 0)
				is.Equal(r.Verdict.Violations(), 0)
				is.True(json.Valid(out.Bytes()))
			})
		})
	}
}
