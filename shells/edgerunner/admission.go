package edgerunner

import (
	"context"
	"errors"
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/matcher"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// Error codes of requests that the entry rejects before it forwards them.
const (
	CodeNotReady       = "NotReady"
	CodeNoRoute        = "NoRoute"
	CodeUnknownKey     = "UnknownKey"
	CodeStale          = "ViewStale"
	CodeNoCommonRegion = "NoCommonRegion"
	CodeLeaving        = "Leaving"
	CodeTooLong        = "TooLong"
)

const (
	// notReadyRetryAfter is the retry delay while the entry has no configuration, and for
	// requests for which no region is allowed.
	notReadyRetryAfter = 500 * time.Millisecond
	// staleRetryAfter is the retry delay while the entry's view is stale. It leaves callers
	// time to look up the addresses of other entries.
	staleRetryAfter = 300 * time.Millisecond
	// leavingRetryAfter is the retry delay while the entry stops. It is short, as other
	// entries can serve the request.
	leavingRetryAfter = 50 * time.Millisecond
)

// Request holds the parts of a caller's request that determine whether and how it is
// forwarded.
type Request struct {
	ID       string
	HostName string
	Path     string
	// Key is the caller's API key; empty if it sent none.
	Key string
	// Timeout is the time for which the caller waits; 0 if it sent none.
	Timeout time.Duration
	// LastEventID is the ID of the last stream event that the caller has, if any.
	LastEventID forwarder.EventID
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// OutputTokens is the maximum length of the output in tokens, and OutputHint the length that
	// the caller expects; 0 if it is not given.
	OutputTokens int
	OutputHint   int
	// PromptParts identifies the parts of the prompt that other requests may share.
	PromptParts []uint64
	// Arrived is the time at which the request arrived.
	Arrived time.Time
}

// Admit returns the call to forward for a request, or filbertstile.ErrRequest if the
// request is rejected.
func (e *Edge) Admit(req Request) (*forwarder.Call, error) {
	m, age := e.currentMatcher()
	call, err := e.admit(req, m, age)
	var rejected filbertstile.ErrRequest
	if !errors.As(err, &rejected) {
		return call, err
	}
	configVersion := int64(0)
	if m != nil {
		configVersion = m.Routing().Version
	}
	e.config.Log.Event(reporter.RequestRefused, reporter.Fields{
		"Request": req.ID, "Code": rejected.Code, "Detail": rejected.Detail, "HostName": req.HostName, "Path": req.Path,
		"Config": configVersion, "ConfigAge": age.String(), "RetryAfter": rejected.RetryAfter.String(), "Short": shortOf(rejected.Code),
	})
	e.CountRefused(shortOf(rejected.Code))
	e.recordRequestEnd(&forwarder.Call{}, rejected.Code, time.Since(req.Arrived))
	return nil, err
}

// admit is like Admit, for the matcher of a view that the store confirmed that long ago. It records
// nothing.
func (e *Edge) admit(req Request, m *matcher.Matcher, age time.Duration) (*forwarder.Call, error) {
	reject := func(code, detail string, retryAfter time.Duration) (*forwarder.Call, error) {
		return nil, filbertstile.ErrRequest{Code: code, Run: filbertstile.NotRun, Step: "admit request", RetryAfter: retryAfter, Detail: detail}
	}
	if m == nil {
		return reject(CodeNotReady, "no configuration is known yet", notReadyRetryAfter)
	}
	stale := age >= maxViewAge
	route, ok := m.Route(req.HostName, req.Path)
	if !ok && stale {
		return reject(CodeStale, "no matching route, but the view may be stale", staleRetryAfter)
	}
	if !ok {
		return reject(CodeNoRoute, "no matching route", 0)
	}
	call := &forwarder.Call{
		ID: req.ID, Route: route, Priority: route.Priority, Regions: route.Regions, Arrived: req.Arrived,
		LastEventID: req.LastEventID, PromptTokens: req.PromptTokens, OutputTokens: req.OutputTokens, OutputHint: req.OutputHint,
		PromptParts: req.PromptParts, ConfigVersion: m.Routing().Version, ConfigAge: age,
	}
	if m.Routing().RequiresKeys() && !route.Public {
		if age >= e.config.Bounds.RevokeTimeout-revokeMargin {
			return reject(CodeStale, "keys may have been withdrawn since the store confirmed the view", staleRetryAfter)
		}
		account, ok := m.Account(req.Key)
		if !ok && stale {
			return reject(CodeStale, "unknown key, but the view may be stale", staleRetryAfter)
		}
		if !ok {
			return reject(CodeUnknownKey, "no client account has the key", 0)
		}
		call.Account = account.Account
		if account.Priority != nil {
			call.Priority = *account.Priority
		}
		if call.Regions, ok = matcher.CommonRegions(route.Regions, account.Regions); !ok {
			return reject(CodeNoCommonRegion, "route and client account have no region in common", notReadyRetryAfter)
		}
	}
	call.Service = matcher.ChooseService(route, req.ID)
	e.setLimits(call, req)
	if !e.forwarder.EndsInTime(call) {
		return reject(CodeLeaving, "the entry is stopping, and may exit before the response is complete", leavingRetryAfter)
	}
	return call, nil
}

// MaxBodyBytes returns the maximum size of the body of a caller's request.
func (e *Edge) MaxBodyBytes() int64 {
	if m := e.matcher.Load(); m != nil && m.Routing().MaxBodyBytes > 0 {
		return int64(m.Routing().MaxBodyBytes)
	}
	return defaultMaxBodyBytes
}

// defaultMaxBodyBytes is the maximum size until a configuration is known, and if the
// configuration sets none.
const defaultMaxBodyBytes = 4 << 20

// Serve forwards a call that Admit returned.
func (e *Edge) Serve(ctx context.Context, c *forwarder.Call, w forwarder.ResponseWriter) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.forwarder.Serve(ctx, c, w)
}

// Addresses returns the addresses of at most limit entries that a caller in the region
// should use for the host name: those in its region or, if there are none, those in the
// regions that may serve the host name or, if there are none either, those of any entry.
func (e *Edge) Addresses(hostName, region string, limit int) []string {
	live := e.liveEntries()
	var allowed []string
	if m := e.matcher.Load(); m != nil {
		allowed = m.Regions(hostName)
	}
	for _, matches := range []func(filbertstile.Member) bool{
		func(m filbertstile.Member) bool { return m.Region == region },
		func(m filbertstile.Member) bool { return slices.Contains(allowed, m.Region) },
		func(filbertstile.Member) bool { return true },
	} {
		var out []string
		for _, m := range live {
			if matches(m) && len(out) < limit {
				out = append(out, m.HTTPAddress)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// liveEntries returns the live entries that are not stopping and whose view is current or,
// if there are none, those whose view is stale.
func (e *Edge) liveEntries() []filbertstile.Member {
	peers := e.pulser.Peers()
	var withCurrentView, withStaleView []filbertstile.Member
	add := func(m filbertstile.Member, current bool) {
		if current {
			withCurrentView = append(withCurrentView, m)
		} else {
			withStaleView = append(withStaleView, m)
		}
	}
	for _, m := range e.sources.Members.View().Rows.All() {
		p, ok := peers[m.Name]
		if m.Role == filbertstile.RoleEntry && m.Name != e.config.Self.Name && ok && !p.Pulse.GetLeaving() {
			add(m, p.Pulse.GetCurrent())
		}
	}
	if !e.leaving.Load() {
		add(e.config.Self, e.current())
	}
	if len(withCurrentView) > 0 {
		return withCurrentView
	}
	return withStaleView
}
