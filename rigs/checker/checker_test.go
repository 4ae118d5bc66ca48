package checker_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/rigs/caller"
	"filbertstile.example/filbertstile/rigs/checker"
	"filbertstile.example/filbertstile/rigs/imitator"
)

var begin = time.Unix(1e9, 0)

func sound() checker.Evidence {
	text := checker.Expected("w1", "p", 4)
	return checker.Evidence{
		Results: []caller.Result{
			{Kind: caller.KindCompletion, Status: http.StatusOK, Whole: true, Prompt: "p", Tokens: 4, Release: "r1", Text: text, Request: "a"},
			{Kind: caller.KindOrder, Status: http.StatusOK, Whole: true, Key: "k", Body: "b", Text: string(filbertstile.DigestOf([]byte("b"))), Request: "o"},
			{Kind: caller.KindOrder, Status: http.StatusServiceUnavailable, Run: filbertstile.NotRun, Key: "n", Request: "m"},
		},
		Executions: []imitator.Execution{
			{RequestID: "a", Host: "h1", Whole: "w1", AcceptedAt: begin},
			{RequestID: "o", IdempotencyKey: "k", Host: "h2", AcceptedAt: begin},
		},
		Releases: []checker.Release{{Name: "r1", Whole: "w1"}, {Name: "r2", Whole: "w2"}},
		Hosts:    []filbertstile.Member{{Name: "h1", Domain: "d1"}, {Name: "h2", Domain: "d2"}},
		OutGrace: 3 * time.Second,
	}
}

// TestPlantedFaultsAreFound plants each broken promise once.
func TestPlantedFaultsAreFound(t *testing.T) {
	is := is.New(t)
	v := checker.Check(sound())
	is.Equal(v.Broken(), 0)
	is.Equal(v.Answered, 2)
	for _, c := range []struct {
		name  string
		plant func(e *checker.Evidence)
		count func(v checker.Verdict) int
	}{
		{"order ran twice", func(e *checker.Evidence) {
			e.Executions = append(e.Executions, imitator.Execution{RequestID: "o2", IdempotencyKey: "k", Host: "h2", AcceptedAt: begin})
		}, func(v checker.Verdict) int { return v.Duplicates }},
		{"order lost", func(e *checker.Evidence) { e.Executions = e.Executions[:1] }, func(v checker.Verdict) int { return v.Lost }},
		{"told NotRun but ran", func(e *checker.Evidence) {
			e.Executions = append(e.Executions, imitator.Execution{RequestID: "m", IdempotencyKey: "n", Host: "h2", AcceptedAt: begin})
		}, func(v checker.Verdict) int { return v.FalseNotRun }},
		{"mixed weights", func(e *checker.Evidence) {
			e.Results[0].Text = checker.Expected("w1", "p", 2) + checker.Expected("w2", "p", 4)[len(checker.Expected("w2", "p", 2)):]
		}, func(v checker.Verdict) int { return v.MixedWeights }},
		{"answer cut short but called whole", func(e *checker.Evidence) { e.Results[0].Text = checker.Expected("w1", "p", 3) }, func(v checker.Verdict) int { return v.MixedWeights }},
		{"another release than named", func(e *checker.Evidence) { e.Results[0].Text = checker.Expected("w2", "p", 4) }, func(v checker.Verdict) int { return v.WrongAnswers }},
		{"answer to another order", func(e *checker.Evidence) { e.Results[1].Text = string(filbertstile.DigestOf([]byte("x"))) }, func(v checker.Verdict) int { return v.WrongAnswers }},
		{"work in a domain that is out", func(e *checker.Evidence) {
			e.Outages = []checker.Outage{{Domain: "d1", From: begin.Add(-4 * time.Second), To: begin.Add(time.Second)}}
		}, func(v checker.Verdict) int { return v.WorkInOutDomain }},
		{"cold server overborne", func(e *checker.Evidence) { e.Overborne = 1 }, func(v checker.Verdict) int { return v.Overborne }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := sound()
			c.plant(&e)
			v := checker.Check(e)
			is.Equal(c.count(v), 1)
			is.True(v.Broken() > 0)
		})
	}
}
