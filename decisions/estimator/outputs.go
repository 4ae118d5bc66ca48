package estimator

import (
	"math"
	"time"
)

const (
	// maxRoutes and maxHinters bound the number of routes, and of pairs of routes and accounts,
	// of which something is known. The one that has been used least recently makes room.
	maxRoutes  = 256
	maxHinters = 1024
	// outputWeight is the weight of the latest output in the averages of a route.
	outputWeight = 1.0 / 32
	// hintWeight is the weight of the latest hint in the average error of an account's hints.
	hintWeight = 1.0 / 16
	// initialHintError is the error that hints of an account are assumed to have at first: they
	// count for half.
	initialHintError = 0.5
	// uselessHintError is the error from which hints do not count: the natural logarithm of
	// the ratio of the output to the hint.
	uselessHintError = 1.0
	// defaultOutput is the output that is expected of a route of which nothing is known.
	defaultOutput = 100
	// maxOutput is the largest number of tokens that counts.
	maxOutput = 1 << 20
)

// OutputRequest is what is known of the output of a request in advance.
type OutputRequest struct {
	Route   string
	Account string
	// Hint is the expected number of tokens by the caller, and Max the maximum; 0 if there is
	// none.
	Hint int
	Max  int
}

// routeOutput is what is known of the outputs of a route.
type routeOutput struct {
	// mean is the decaying average of the outputs.
	mean   float64
	usedAt time.Time
}

// hinter identifies those whose hints are alike.
type hinter struct{ route, account string }

// hintError is the average error of hints.
type hintError struct {
	mean   float64
	usedAt time.Time
}

// Outputs estimates the lengths of outputs, in tokens, from earlier ones and from callers' hints.
type Outputs struct {
	routes map[string]*routeOutput
	hints  map[hinter]*hintError
}

// NewOutputs returns an estimator that knows of no outputs.
func NewOutputs() *Outputs {
	return &Outputs{routes: make(map[string]*routeOutput), hints: make(map[hinter]*hintError)}
}

// Mean returns the average output of the route.
func (o *Outputs) Mean(route string) float64 {
	if r := o.routes[route]; r != nil {
		return r.mean
	}
	return defaultOutput
}

// Expected returns the expected output of the request. A hint counts as far as earlier ones of
// the route and account were right.
func (o *Outputs) Expected(req OutputRequest) float64 {
	out := o.Mean(req.Route)
	if hint := validTokens(req.Hint); hint > 0 {
		trust := 1 - min(1, o.hintError(req)/uselessHintError)
		out = math.Exp(trust*math.Log(hint) + (1-trust)*math.Log(out))
	}
	if limit := validTokens(req.Max); limit > 0 {
		out = min(out, limit)
	}
	return max(1, out)
}

func (o *Outputs) hintError(req OutputRequest) float64 {
	if h := o.hints[hinter{req.Route, req.Account}]; h != nil {
		return h.mean
	}
	return initialHintError
}

// Learn records the output of a request that has ended with its complete response.
func (o *Outputs) Learn(now time.Time, req OutputRequest, tokens int) {
	actual := max(1, validTokens(tokens))
	r := o.routes[req.Route]
	if r == nil {
		makeRoom(o.routes, maxRoutes, func(r *routeOutput) time.Time { return r.usedAt })
		r = &routeOutput{mean: actual}
		o.routes[req.Route] = r
	}
	r.mean += (actual - r.mean) * outputWeight
	r.usedAt = now
	hint := validTokens(req.Hint)
	if hint == 0 {
		return
	}
	key := hinter{req.Route, req.Account}
	h := o.hints[key]
	if h == nil {
		makeRoom(o.hints, maxHinters, func(h *hintError) time.Time { return h.usedAt })
		h = &hintError{mean: initialHintError}
		o.hints[key] = h
	}
	h.mean += (math.Abs(math.Log(actual/hint)) - h.mean) * hintWeight
	h.usedAt = now
}

// makeRoom removes the value that was used least recently if there are limit or more.
func makeRoom[K comparable, V any](m map[K]V, limit int, usedAt func(V) time.Time) {
	if len(m) < limit {
		return
	}
	var oldest K
	first := true
	for k, v := range m {
		if first || usedAt(v).Before(usedAt(m[oldest])) {
			oldest, first = k, false
		}
	}
	delete(m, oldest)
}

// validTokens returns the number of tokens within its limits; 0 if there is none.
func validTokens(n int) float64 { return float64(min(max(0, n), maxOutput)) }
