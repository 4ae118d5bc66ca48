// Package checker detects violations of the system's guarantees. It compares the results
// that callers received with the journals of the requests that backend servers ran.
package checker

import (
	"fmt"
	"strings"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/rigs/caller"
	"filbertstile.example/filbertstile/rigs/imitator"
)

// Evidence is what is recorded during a test run.
type Evidence struct {
	// Results are the results of all calls.
	Results []caller.Result
	// Executions are the requests that backend servers ran, from the journals of all servers.
	Executions []imitator.Execution
	// Releases are all releases that were applied.
	Releases []Release
	// Outages are the periods in which failure domains were out of service.
	Outages []Outage
	// Hosts are all hosts, with their failure domains.
	Hosts []filbertstile.Member
	// Overloads is the number of requests that engines rejected because they were at their
	// concurrency limit, which is lower while they are cold.
	Overloads int
	// OutageGrace is how long new work may still reach a failure domain after it was
	// taken out of service.
	OutageGrace time.Duration
}

// Release is the name of a release and the digest of its weights.
type Release struct {
	Name string
	// Whole is the Manifest.Whole digest of the release.
	Whole filbertstile.Digest
}

// Outage is a period in which a failure domain was out of service.
type Outage struct {
	Domain string
	From   time.Time
	To     time.Time
}

// Verdict counts requests by outcome, and violations of the system's guarantees.
type Verdict struct {
	// Requests is the number of all requests, each counted in one of the next four
	// fields.
	Requests int
	// Answered is the number of requests with a complete successful response.
	Answered int
	// Refused is the number of requests that the system reported as not run.
	Refused int
	// Failed is the number of requests without a complete response, or with an error that
	// does not rule out that the request ran.
	Failed int
	// Unknown is the number of orders whose outcome the system reported as unknown.
	Unknown int
	// WrongAnswers is the number of responses that belong to another request or release.
	WrongAnswers int
	// MixedWeights is the number of responses that the weights of no single release
	// produce.
	MixedWeights int
	// Duplicates is the number of orders that ran more than once.
	Duplicates int
	// FalseNotRun is the number of requests that ran although the system reported that
	// they had not.
	FalseNotRun int
	// Lost is the number of orders that got a successful response but did not run.
	Lost int
	// WorkInOutDomain is the number of executions that started in a failure domain after
	// it had been out of service for longer than Evidence.OutageGrace.
	WorkInOutDomain int
	// LastWorkAfter is the longest time from the start of an outage to the start of an
	// execution in the failure domain during that outage.
	LastWorkAfter time.Duration
	// Overborne is Evidence.Overborne.
	Overborne int
	// Details describe the first violations and failed requests, at most maxDetails.
	Details []string `json:",omitempty"`
}

// Violations returns the number of violations of the system's guarantees.
func (v Verdict) Violations() int {
	return v.WrongAnswers + v.MixedWeights + v.Duplicates + v.FalseNotRun + v.Lost + v.WorkInOutDomain + v.Overborne
}

const maxDetails = 20

// addDetail adds a formatted detail unless there are maxDetails already.
func (v *Verdict) addDetail(format string, args ...any) {
	if len(v.Details) < maxDetails {
		v.Details = append(v.Details, fmt.Sprintf(format, args...))
	}
}

// Check counts the outcomes and violations in the evidence.
func Check(e Evidence) Verdict {
	v := Verdict{Requests: len(e.Results), Overborne: e.Overloads}
	byKey := make(map[string][]imitator.Execution)
	runsByRequest := make(map[string]int)
	for _, x := range e.Executions {
		runsByRequest[x.RequestID]++
		if x.IdempotencyKey != "" {
			byKey[x.IdempotencyKey] = append(byKey[x.IdempotencyKey], x)
		}
	}
	for _, r := range e.Results {
		countOutcome(&v, r)
		switch r.Kind {
		case caller.KindCompletion:
			checkCompletion(&v, r, e.Releases, runsByRequest)
		case caller.KindOrder:
			checkOrder(&v, r, byKey[r.Key])
		default:
			checkQuery(&v, r)
		}
	}
	for key, runs := range byKey {
		if len(runs) > 1 {
			v.Duplicates++
			v.addDetail("order %s ran %d times: %v", key, len(runs), runs)
		}
	}
	checkDomains(&v, e)
	return v
}

// countOutcome counts the result as answered, refused, unknown or failed.
func countOutcome(v *Verdict, r caller.Result) {
	switch {
	case r.OK():
		v.Answered++
	case r.Run == filbertstile.NotRun:
		v.Refused++
	case r.Kind == caller.KindOrder && r.Run == filbertstile.Unknown:
		v.Unknown++
	default:
		v.Failed++
		v.addDetail("failed: %+v", r)
	}
}

// ExpectedText returns the complete response to the prompt by an engine with the weights.
func ExpectedText(whole filbertstile.Digest, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(imitator.Token(whole, prompt, i))
	}
	return b.String()
}

// checkCompletion checks that a completion is the response of the release that it names, and
// that one reported as not run did not run. An incomplete response must be a prefix of the
// expected text.
func checkCompletion(v *Verdict, r caller.Result, releases []Release, runsByRequest map[string]int) {
	if r.Run == filbertstile.NotRun && r.Request != "" && runsByRequest[r.Request] > 0 {
		v.FalseNotRun++
		v.addDetail("request %s was reported as NotRun but ran: %s", r.Request, r.Code)
	}
	if r.Text == "" {
		return
	}
	matchesNamed, matching := false, 0
	for _, rel := range releases {
		want := ExpectedText(rel.Whole, r.Prompt, r.Tokens)
		if r.OK() && r.Text == want || !r.OK() && strings.HasPrefix(want, r.Text) {
			matching++
			matchesNamed = matchesNamed || rel.Name == r.Release
		}
	}
	switch {
	case matching == 0:
		v.MixedWeights++
		v.addDetail("request %s of release %q got a response that matches no release: %q", r.Request, r.Release, r.Text)
	case !matchesNamed:
		v.WrongAnswers++
		v.addDetail("request %s got a response of a release other than %q", r.Request, r.Release)
	}
}

// checkOrder checks that an order with a successful response ran, that the response is the
// one to its body, and that an order reported as not run did not run.
func checkOrder(v *Verdict, r caller.Result, runs []imitator.Execution) {
	switch {
	case r.OK() && len(runs) == 0:
		v.Lost++
		v.addDetail("order %s got a successful response but did not run", r.Key)
	case r.OK() && r.Text != string(filbertstile.DigestOf([]byte(r.Body))):
		v.WrongAnswers++
		v.addDetail("order %s got a response to a different body", r.Key)
	case r.Run == filbertstile.NotRun && r.Request != "":
		for _, x := range runs {
			if x.RequestID == r.Request {
				v.FalseNotRun++
				v.addDetail("order %s was reported as NotRun but ran at %s", r.Key, x.Host)
			}
		}
	}
}

// checkQuery checks that the response is the one to an empty body.
func checkQuery(v *Verdict, r caller.Result) {
	if r.OK() && r.Text != string(filbertstile.DigestOf(nil)) {
		v.WrongAnswers++
		v.addDetail("query got a response to a different body")
	}
}

// checkDomains checks that no execution starts in a failure domain that has been out of
// service for longer than the grace period.
func checkDomains(v *Verdict, e Evidence) {
	domainOf := make(map[string]string, len(e.Hosts))
	for _, m := range e.Hosts {
		domainOf[m.Name] = m.Domain
	}
	for _, o := range e.Outages {
		for _, x := range e.Executions {
			if domainOf[x.Host] != o.Domain || !x.AcceptedAt.After(o.From) || !x.AcceptedAt.Before(o.To) {
				continue
			}
			delay := x.AcceptedAt.Sub(o.From)
			v.LastWorkAfter = max(v.LastWorkAfter, delay)
			if delay > e.OutageGrace {
				v.WorkInOutDomain++
				v.addDetail("%s got new work %v after %s was taken out of service", x.Host, delay, o.Domain)
			}
		}
	}
}
