package estimator_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"filbertstile.example/filbertstile/decisions/estimator"
)

// Hints must count only as far as earlier ones of the same route and account were right, so that
// an account that sends wrong ones is not believed, and others are.
func TestHintsCountAsFarAsTheyWereRight(t *testing.T) {
	is := is.New(t)
	o := estimator.NewOutputs()
	honest, wrong := estimator.OutputRequest{Route: "chat", Account: "a", Max: 265}, estimator.OutputRequest{Route: "chat", Account: "b", Max: 265}
	for i := range 200 {
		tokens := 5 + i%7*20
		honest.Hint, wrong.Hint = tokens, 1
		o.Learn(start, honest, tokens)
		o.Learn(start, wrong, tokens)
	}
	honest.Hint, wrong.Hint = 10, 1
	is.True(math.Abs(o.Expected(honest)-10) < 1)
	is.True(math.Abs(o.Expected(wrong)-o.Mean("chat")) < 1)
	is.True(o.Expected(estimator.OutputRequest{Route: "chat", Account: "c", Hint: 10}) > 10) // a new account
}

// The mean must follow the outputs of a route, and the maximum of a request must hold.
func TestMeanFollowsOutputs(t *testing.T) {
	is := is.New(t)
	o := estimator.NewOutputs()
	for _, tokens := range []int{40, 200} {
		for range 200 {
			o.Learn(start, estimator.OutputRequest{Route: "chat"}, tokens)
		}
		is.True(math.Abs(o.Mean("chat")-float64(tokens)) < 2)
	}
	is.Equal(o.Expected(estimator.OutputRequest{Route: "chat", Max: 50}), 50.0)
}

// The state must stay bounded whatever the routes and accounts, keep what is in use, and give
// finite estimates for any figures.
func TestOutputsAreBounded(t *testing.T) {
	is := is.New(t)
	o := estimator.NewOutputs()
	for i := range 5000 {
		now := start.Add(time.Duration(i) * time.Second)
		o.Learn(now, estimator.OutputRequest{Route: "used", Account: "used", Hint: 7}, 7)
		o.Learn(now, estimator.OutputRequest{Route: fmt.Sprint(i), Account: fmt.Sprint(i), Hint: 1}, 1)
	}
	routes, hinters := o.Size()
	is.True(routes <= 256 && hinters <= 1024)
	is.Equal(o.Mean("used"), 7.0)
	rapid.Check(t, func(rt *rapid.T) {
		o := estimator.NewOutputs()
		for range rapid.IntRange(0, 20).Draw(rt, "outputs") {
			o.Learn(start, estimator.OutputRequest{Hint: rapid.Int().Draw(rt, "hint")}, rapid.Int().Draw(rt, "tokens"))
		}
		if e := o.Expected(estimator.OutputRequest{Hint: rapid.Int().Draw(rt, "hint"), Max: rapid.Int().Draw(rt, "max")}); !(e >= 1 && e <= 1<<20+1) {
			rt.Fatalf("expected output %v", e)
		}
	})
}
