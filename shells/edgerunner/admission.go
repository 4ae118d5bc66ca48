package edgerunner

import (
	"context"
	"slices"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/matcher"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// Codes of refusals of an entry's own.
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
	// startRetry is the hint of an entry that knows no configuration yet.
	startRetry = 500 * time.Millisecond
	// staleRetry is the hint of an entry out of touch: callers ask for other
	// addresses meanwhile.
	staleRetry = 300 * time.Millisecond
	// leavingRetry is the hint of an entry that stops: others take the request.
	leavingRetry = 50 * time.Millisecond
	// streamsFor is how long after the signal to stop streams are still taken, at
	// most streamsShare of the time that there is: those that come later might not
	// end before the process does.
	streamsFor   = 3 * time.Second
	streamsShare = 3.0 / 8
	// callsMargin is kept for calls, which take a second or two at most.
	callsMargin = 2500 * time.Millisecond
	// defaultTimeout bounds a request whose route and caller name no time.
	defaultTimeout = 30 * time.Second
	// timeoutMargin is kept from the route's time-out for the answer's way.
	timeoutMargin = 30 * time.Millisecond
)

// Ask is what a caller sends, as far as it decides.
type Ask struct {
	ID       string
	HostName string
	Path     string
	Key      string
	// Within is the time that the caller waits; 0 if it does not say.
	Within    time.Duration
	LastEvent int64
	// Prompt is the length of the prompt in tokens.
	Prompt  int
	Arrived time.Time
}

// Judge returns the call that the caller may make.
func (e *Edge) Judge(a Ask) (*forwarder.Call, error) {
	m := e.matcher.Load()
	age, known := e.sources.Routing.Age()
	refuse := func(code, detail string, retry time.Duration) (*forwarder.Call, error) {
		config := int64(0)
		if m != nil {
			config = m.Routing().Version
		}
		e.config.Log.Event(reporter.RequestRefused, reporter.Fields{
			"Request": a.ID, "Code": code, "Detail": detail, "HostName": a.HostName, "Path": a.Path,
			"Config": config, "ConfigAge": age.String(), "RetryAfter": retry.String(),
		})
		e.observe(&forwarder.Call{}, code, time.Since(a.Arrived))
		return nil, filbertstile.ErrRequest{Code: code, Run: filbertstile.NotRun, Step: "judge request", RetryAfter: retry, Detail: detail}
	}
	if m == nil || !known {
		return refuse(CodeNotReady, "no configuration is known yet", startRetry)
	}
	unsure := age >= currentFor
	route, ok := m.Route(a.HostName, a.Path)
	if !ok && unsure {
		return refuse(CodeStale, "no route in a view that may be old", staleRetry)
	}
	if !ok {
		return refuse(CodeNoRoute, "no route leads there", 0)
	}
	if e.tooLate(route.Kind) {
		return refuse(CodeLeaving, "this entry stops before the answer could end", leavingRetry)
	}
	call := &forwarder.Call{
		ID: a.ID, Route: route, Priority: route.Priority, Regions: route.Regions, Arrived: a.Arrived,
		LastEvent: a.LastEvent, Prompt: a.Prompt, Config: m.Routing().Version, ConfigAge: age,
	}
	if m.Routing().RequiresKeys() && !route.Public {
		if age >= e.config.Bounds.Revoke-revokeMargin {
			return refuse(CodeStale, "keys may have been withdrawn since the store confirmed the view", staleRetry)
		}
		t, ok := m.Account(a.Key)
		if !ok && unsure {
			return refuse(CodeStale, "an unknown key in a view that may be old", staleRetry)
		}
		if !ok {
			return refuse(CodeUnknownKey, "no client account holds the key", 0)
		}
		call.Account = t.Account
		if t.Priority != nil {
			call.Priority = *t.Priority
		}
		if call.Regions, ok = matcher.CommonRegions(route.Regions, t.Regions); !ok {
			return refuse(CodeNoCommonRegion, "route and client account have no region in common", startRetry)
		}
	}
	call.Service = matcher.ChooseService(route, a.ID)
	call.Deadline = deadline(a, route)
	return call, nil
}

// tooLate tells whether the entry stops before a request that comes now might
// be answered.
func (e *Edge) tooLate(kind filbertstile.CallKind) bool {
	if !e.leaving.Load() {
		return false
	}
	since := time.Duration(time.Now().UnixNano() - e.leftAt.Load())
	if kind == filbertstile.CallStream {
		return since > min(streamsFor, time.Duration(float64(e.config.Bounds.Stop)*streamsShare))
	}
	return since > e.config.Bounds.Stop-callsMargin
}

func deadline(a Ask, r filbertstile.Route) time.Time {
	within := defaultTimeout
	if r.Timeout > 0 {
		within = r.Timeout - min(timeoutMargin, r.Timeout/10)
	}
	if a.Within > 0 {
		within = min(within, a.Within)
	}
	return a.Arrived.Add(within)
}

// MaxBody returns the longest body that callers may send, in bytes.
func (e *Edge) MaxBody() int64 {
	if m := e.matcher.Load(); m != nil && m.Routing().MaxBodyBytes > 0 {
		return int64(m.Routing().MaxBodyBytes)
	}
	return defaultMaxBody
}

// defaultMaxBody holds until a configuration is known, in bytes.
const defaultMaxBody = 4 << 20

// Serve takes a call through.
func (e *Edge) Serve(ctx context.Context, c *forwarder.Call, reply forwarder.Reply) {
	e.inHand.Add(1)
	defer e.inHand.Add(-1)
	e.forwarder.Serve(ctx, c, reply)
}

// Addresses returns the entries that a caller in the region should use for the
// host name: those of its region, failing that those where the name may be
// served, failing that any.
func (e *Edge) Addresses(hostName, region string, most int) []string {
	live := e.liveEntries()
	var allowed []string
	if m := e.matcher.Load(); m != nil {
		allowed = m.Regions(hostName)
	}
	for _, fits := range []func(filbertstile.Member) bool{
		func(m filbertstile.Member) bool { return m.Region == region },
		func(m filbertstile.Member) bool { return slices.Contains(allowed, m.Region) },
		func(filbertstile.Member) bool { return true },
	} {
		var out []string
		for _, m := range live {
			if fits(m) && len(out) < most {
				out = append(out, m.HTTPAddress)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// liveEntries returns the entries that take requests with a view that the store
// has confirmed, failing that all that are heard.
func (e *Edge) liveEntries() []filbertstile.Member {
	heard := e.pulser.Peers()
	var sound, rest []filbertstile.Member
	add := func(m filbertstile.Member, current bool) {
		if current {
			sound = append(sound, m)
		} else {
			rest = append(rest, m)
		}
	}
	for _, m := range e.sources.Members.View().Rows.All() {
		p, ok := heard[m.Name]
		if m.Role == filbertstile.RoleEntry && m.Name != e.config.Self.Name && ok && !p.Pulse.GetLeaving() {
			add(m, p.Pulse.GetCurrent())
		}
	}
	if !e.leaving.Load() {
		add(e.config.Self, e.current())
	}
	if len(sound) > 0 {
		return sound
	}
	return rest
}
