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

// validEvidence returns evidence without violations.
func validEvidence() checker.Evidence {
	text := checker.ExpectedText("w1", "p", 4)
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
		Releases:    []checker.Release{{Name: "r1", Whole: "w1"}, {Name: "r2", Whole: "w2"}},
		Hosts:       []filbertstile.Member{{Name: "h1", Domain: "d1"}, {Name: "h2", Domain: "d2"}},
		OutageGrace: 3 * time.Second,
	}
}

// TestEachViolationIsDetected adds one violation at a time to valid evidence and checks that
// it is counted.
func TestEachViolationIsDetected(t *testing.T) {
	is := is.New(t)
	v := checker.Check(validEvidence())
	is.Equal(v.Violations(), 0)
	is.Equal(v.Answered, 2)
	for _, c := range []struct {
		name   string
		inject func(e *checker.Evidence)
		count  func(v checker.Verdict) int
	}{
		{"order ran twice", func(e *checker.Evidence) {
			e.Executions = append(e.Executions, imitator.Execution{RequestID: "o2", IdempotencyKey: "k", Host: "h2", AcceptedAt: begin})
		}, func(v checker.Verdict) int { return v.Duplicates }},
		{"order with a successful response did not run", func(e *checker.Evidence) { e.Executions = e.Executions[:1] }, func(v checker.Verdict) int { return v.Lost }},
		{"reported as NotRun but ran", func(e *checker.Evidence) {
			e.Executions = append(e.Executions, imitator.Execution{RequestID: "m", IdempotencyKey: "n", Host: "h2", AcceptedAt: begin})
		}, func(v checker.Verdict) int { return v.FalseNotRun }},
		{"response from mixed weights", func(e *checker.Evidence) {
			e.Results[0].Text = checker.ExpectedText("w1", "p", 2) + checker.ExpectedText("w2", "p", 4)[len(checker.ExpectedText("w2", "p", 2)):]
		}, func(v checker.Verdict) int { return v.MixedWeights }},
		{"truncated response reported as complete", func(e *checker.Evidence) { e.Results[0].Text = checker.ExpectedText("w1", "p", 3) }, func(v checker.Verdict) int { return v.MixedWeights }},
		{"response of a release other than the named one", func(e *checker.Evidence) { e.Results[0].Text = checker.ExpectedText("w2", "p", 4) }, func(v checker.Verdict) int { return v.WrongAnswers }},
		{"response to a different order", func(e *checker.Evidence) { e.Results[1].Text = string(filbertstile.DigestOf([]byte("x"))) }, func(v checker.Verdict) int { return v.WrongAnswers }},
		{"new work in a domain out of service", func(e *checker.Evidence) {
			e.Outages = []checker.Outage{{Domain: "d1", From: begin.Add(-4 * time.Second), To: begin.Add(time.Second)}}
		}, func(v checker.Verdict) int { return v.WorkInOutDomain }},
		{"cold server overloaded", func(e *checker.Evidence) { e.Overloads = 1 }, func(v checker.Verdict) int { return v.Overborne }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := validEvidence()
			c.inject(&e)
			v := checker.Check(e)
			is.Equal(c.count(v), 1)
			is.True(v.Violations() > 0)
		})
	}
}
