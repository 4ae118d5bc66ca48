package edgerunner

import (
	"errors"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// ExplainRequest describes a request whose placement is to be explained.
type ExplainRequest struct {
	HostName string
	Path     string
	// Key is the caller's API key; empty if it sends none.
	Key string
	// PromptTokens is the length of the prompt, OutputTokens the maximum length of the output, and
	// OutputHint the length that the caller expects, all in tokens.
	PromptTokens int
	OutputTokens int
	OutputHint   int
	// Timeout is the time for which the caller waits; 0 if it states none.
	Timeout time.Duration
	// LastEventID is the ID of the last stream event that the caller has; nil if it has none.
	LastEventID *int64
}

// RequestExplanation says where a request would go now, and why.
type RequestExplanation struct {
	Entry string
	// Ready is true if the entry accepts requests, and Leaving true while it stops.
	Ready   bool
	Leaving bool
	// Rejected is the error code with which the entry would reject the request before it is placed, and
	// Detail the reason; both are empty if it would not.
	Rejected string
	Detail   string
	// Short is what a request that would be rejected does not get.
	Short filbertstile.Resource
	// Route, Service, Account and Priority are those of the request.
	Route    string
	Service  string
	Account  string
	Priority int
	// Placement is empty if the request would be rejected before.
	Placement placer.Explanation
}

// Explain returns where the request would go now. It sends and records nothing, and also works while
// the entry rejects requests. If a route has several services, one of them is chosen as for a request
// without an ID.
func (e *Edge) Explain(r ExplainRequest) RequestExplanation {
	out := RequestExplanation{Entry: e.config.Self.Name, Ready: e.Ready(), Leaving: e.Leaving()}
	req := Request{
		HostName: r.HostName, Path: r.Path, Key: r.Key, Timeout: r.Timeout, PromptTokens: max(0, r.PromptTokens),
		OutputTokens: max(0, r.OutputTokens), OutputHint: max(0, r.OutputHint), Arrived: time.Now(),
	}
	if r.LastEventID != nil {
		req.LastEventID = forwarder.NewEventID(*r.LastEventID)
	}
	m, age := e.currentMatcher()
	call, err := e.admit(req, m, age)
	var rejected filbertstile.ErrRequest
	if errors.As(err, &rejected) {
		out.Rejected, out.Detail, out.Short = rejected.Code, rejected.Detail, shortOf(rejected.Code)
		return out
	}
	out.Route, out.Service, out.Account, out.Priority = call.Route.Name, call.Service, call.Account, call.Priority
	out.Placement = e.placer.Explain(time.Now(), e.forwarder.PlacerRequest(call))
	out.Short = out.Placement.Short
	return out
}
