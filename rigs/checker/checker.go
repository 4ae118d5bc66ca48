// Package checker compares what callers were told with the journals of what
// truly ran.
package checker

import (
	"fmt"
	"strings"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/rigs/caller"
	"filbertstile.example/filbertstile/rigs/imitator"
)

// Evidence is what a run left behind.
type Evidence struct {
	Results []caller.Result
	// Executions are the journals of all backend servers.
	Executions []imitator.Execution
	// Releases gives the weights of each release name.
	Releases []Release
	// Outages tell when domains were out.
	Outages []Outage
	// Domains gives the failure domain of each host.
	Hosts []filbertstile.Member
	// Overborne counts requests past what cold servers bore.
	Overborne int
	// OutGrace is how long new work may still reach a domain taken out.
	OutGrace time.Duration
}

// Release names the weights of a release.
type Release struct {
	Name  string
	Whole filbertstile.Digest
}

// Outage is a time in which a failure domain was out.
type Outage struct {
	Domain string
	From   time.Time
	To     time.Time
}

// Verdict counts broken promises.
type Verdict struct {
	Requests int
	Answered int
	// Refused were told NotRun, with a code.
	Refused int
	// Failed got no answer, or one that said that the request may have run.
	Failed int
	// Unknown orders were told that nobody knows.
	Unknown int
	// WrongAnswers are answers that are not those of the request.
	WrongAnswers int
	// MixedWeights are answers that no single release gives.
	MixedWeights int
	// Duplicates are orders that ran more than once.
	Duplicates int
	// FalseNotRun are requests that ran although the caller was told that they
	// did not.
	FalseNotRun int
	// Lost are orders that were answered but did not run.
	Lost int
	// WorkInOutDomain is new work in a domain that had been out for longer than
	// the grace; LastWorkAfter is the latest new work after any domain went out.
	WorkInOutDomain int
	LastWorkAfter   time.Duration
	Overborne       int
	// Details describe the first broken promises.
	Details []string `json:",omitempty"`
}

// Broken is the number of broken promises.
func (v Verdict) Broken() int {
	return v.WrongAnswers + v.MixedWeights + v.Duplicates + v.FalseNotRun + v.Lost + v.WorkInOutDomain + v.Overborne
}

const maxDetails = 20

func (v *Verdict) note(format string, args ...any) {
	if len(v.Details) < maxDetails {
		v.Details = append(v.Details, fmt.Sprintf(format, args...))
	}
}

// Check compares the evidence.
func Check(e Evidence) Verdict {
	v := Verdict{Requests: len(e.Results), Overborne: e.Overborne}
	runs := make(map[string][]imitator.Execution)
	ids := make(map[string]int)
	for _, x := range e.Executions {
		ids[x.RequestID]++
		if x.IdempotencyKey != "" {
			runs[x.IdempotencyKey] = append(runs[x.IdempotencyKey], x)
		}
	}
	for _, r := range e.Results {
		count(&v, r)
		switch r.Kind {
		case caller.KindCompletion:
			checkCompletion(&v, r, e.Releases, ids)
		case caller.KindOrder:
			checkOrder(&v, r, runs[r.Key])
		default:
			checkQuery(&v, r)
		}
	}
	for key, x := range runs {
		if len(x) > 1 {
			v.Duplicates++
			v.note("order %s ran %d times: %v", key, len(x), x)
		}
	}
	checkDomains(&v, e)
	return v
}

func count(v *Verdict, r caller.Result) {
	switch {
	case r.OK():
		v.Answered++
	case r.Run == filbertstile.NotRun:
		v.Refused++
	case r.Kind == caller.KindOrder && r.Run == filbertstile.Unknown:
		v.Unknown++
	default:
		v.Failed++
		v.note("failed: %+v", r)
	}
}

// Expected is the whole answer of weights to a prompt.
func Expected(whole filbertstile.Digest, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(imitator.Token(whole, prompt, i))
	}
	return b.String()
}

func checkCompletion(v *Verdict, r caller.Result, releases []Release, ids map[string]int) {
	if r.Run == filbertstile.NotRun && r.Request != "" && ids[r.Request] > 0 {
		v.FalseNotRun++
		v.note("%s was told NotRun but ran: %s", r.Request, r.Code)
	}
	if r.Text == "" {
		return
	}
	named, matching := false, 0
	for _, rel := range releases {
		want := Expected(rel.Whole, r.Prompt, r.Tokens)
		if r.OK() && r.Text == want || !r.OK() && strings.HasPrefix(want, r.Text) {
			matching++
			named = named || rel.Name == r.Release
		}
	}
	switch {
	case matching == 0:
		v.MixedWeights++
		v.note("request %s of release %q got an answer of no release: %q", r.Request, r.Release, r.Text)
	case !named:
		v.WrongAnswers++
		v.note("request %s got an answer of another release than %q", r.Request, r.Release)
	}
}

func checkOrder(v *Verdict, r caller.Result, runs []imitator.Execution) {
	switch {
	case r.OK() && len(runs) == 0:
		v.Lost++
		v.note("order %s was answered but did not run", r.Key)
	case r.OK() && r.Text != string(filbertstile.DigestOf([]byte(r.Body))):
		v.WrongAnswers++
		v.note("order %s got the answer of another body", r.Key)
	case r.Run == filbertstile.NotRun && r.Request != "":
		for _, x := range runs {
			if x.RequestID == r.Request {
				v.FalseNotRun++
				v.note("order %s was told NotRun but ran at %s", r.Key, x.Host)
			}
		}
	}
}

func checkQuery(v *Verdict, r caller.Result) {
	if r.OK() && r.Text != string(filbertstile.DigestOf(nil)) {
		v.WrongAnswers++
		v.note("query got the answer of another body")
	}
}

func checkDomains(v *Verdict, e Evidence) {
	domain := make(map[string]string, len(e.Hosts))
	for _, m := range e.Hosts {
		domain[m.Name] = m.Domain
	}
	for _, o := range e.Outages {
		for _, x := range e.Executions {
			if domain[x.Host] != o.Domain || !x.AcceptedAt.After(o.From) || !x.AcceptedAt.Before(o.To) {
				continue
			}
			late := x.AcceptedAt.Sub(o.From)
			v.LastWorkAfter = max(v.LastWorkAfter, late)
			if late > e.OutGrace {
				v.WorkInOutDomain++
				v.note("%s got new work %v after %s was taken out", x.Host, late, o.Domain)
			}
		}
	}
}
