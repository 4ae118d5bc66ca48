package filbertstile

import (
	"math"
	"strconv"
	"time"
)

// CallKind says whether a request may run more than once and whether its
// response is streamed.
type CallKind string

// Kinds of call.
const (
	CallIdempotent    CallKind = "Idempotent"
	CallNonIdempotent CallKind = "NonIdempotent"
	CallStream        CallKind = "Stream"
)

// Target is a service that a route sends requests to.
type Target struct {
	Service string
	// Weight is the service's share of the route's requests, relative to the other
	// targets.
	Weight int
}

// Route maps the requests with a host name and path prefix to services.
type Route struct {
	Name       string
	HostName   string
	PathPrefix string
	Kind       CallKind
	Targets    []Target
	// Timeout is the maximum duration of a request; callers may set a shorter one.
	Timeout time.Duration
	// TargetLatency is the time to the response, or to the first event of a stream,
	// that callers expect.
	TargetLatency time.Duration
	// Priority orders requests; 0 is the highest priority.
	Priority int
	// MaxAttempts is the maximum number of replicas that one request may run on.
	MaxAttempts int
	// Public is true if requests need no API key.
	Public bool
	// Resumable is true if a broken stream may be resumed at another replica.
	Resumable bool
	// Regions lists the regions that may serve requests; empty means all.
	Regions []string
}

// Key returns the route's name.
func (r Route) Key() string { return r.Name }

// Retryable reports whether a request may run again after an attempt failed
// partway.
func (r Route) Retryable() bool {
	return r.Kind == CallIdempotent || r.Kind == CallStream && r.Resumable
}

// AccountAccess is what the API keys of a client account grant.
type AccountAccess struct {
	Account string
	Keys    []string
	// Priority is the priority of the account's requests; nil if the account sets
	// none.
	Priority *int
	// Regions lists the regions that may serve the account; empty means all.
	Regions []string
}

// Key returns the account's name.
func (a AccountAccess) Key() string { return a.Account }

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Model  string
	Layers int
	// Chunks is the number of chunks of each version of the weights; 0 if it is not known.
	Chunks int
	// ChunkBytes is the size of a chunk in bytes; 0 if it is not known.
	ChunkBytes int
	// PrefillTokensPerSecond is the rate at which the engine reads prompt tokens.
	PrefillTokensPerSecond float64
	// StepTime is the base duration of one step of a batch.
	StepTime time.Duration
	// StepTimePerRequest is added to StepTime for each request in the batch.
	StepTimePerRequest time.Duration
	// StepsPerEvent is the number of steps between two events of a stream.
	StepsPerEvent int
	// MemoryTokens is the number of tokens of prompts and outputs that fit into an engine's memory;
	// 0 if it is not known.
	MemoryTokens int
}

// EventInterval returns the time between two events of a stream while the engine
// generates output for the given number of requests.
func (e EngineSpec) EventInterval(requests int) time.Duration {
	step := float64(e.StepTime) + float64(requests)*float64(e.StepTimePerRequest)
	return DurationOf(float64(max(1, e.StepsPerEvent))*step, 1)
}

// PrefillTime returns the time that the engine takes to read the prompt tokens;
// 0 if its rate is unknown.
func (e EngineSpec) PrefillTime(tokens int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return DurationOf(float64(tokens)/e.PrefillTokensPerSecond, time.Second)
}

// CopyTime returns the time that a link with the rate needs for a version of the weights; 0 if the rate
// is not known.
func (e EngineSpec) CopyTime(bytesPerSecond float64) time.Duration {
	if bytesPerSecond <= 0 {
		return 0
	}
	return DurationOf(float64(e.Chunks)*float64(e.ChunkBytes)/bytesPerSecond, time.Second)
}

// CheckManifest returns ErrManifest if the manifest cannot be one of the engine's weights. It names
// neither a step nor a peer.
func (e EngineSpec) CheckManifest(m Manifest) error {
	if n := len(m.Chunks); n == 0 || e.Chunks > 0 && n != e.Chunks {
		return ErrManifest{Field: "number of chunks", Got: strconv.Itoa(n), Want: strconv.Itoa(max(1, e.Chunks))}
	}
	for _, c := range m.Chunks {
		if e.ChunkBytes > 0 && c.Size != e.ChunkBytes {
			return ErrManifest{Field: "chunk size", Got: strconv.Itoa(c.Size), Want: strconv.Itoa(e.ChunkBytes)}
		}
	}
	return nil
}

// PoolSpec describes the replicas of a service.
type PoolSpec struct {
	Service string
	// ColdRequestsPerSecond is the maximum rate of requests to a cold replica, over
	// all callers; 0 is no limit.
	ColdRequestsPerSecond float64
	// Engine describes the service's model engines; nil for plain services.
	Engine *EngineSpec
	// Origin is the address of the origin of the weights, if the service is an
	// origin, and OriginDomain its failure domain.
	Origin       string
	OriginDomain string
	// OriginBytesPerSecond is the rate of the origin's link; 0 if it is not known.
	OriginBytesPerSecond float64
}

// Key returns the service's name.
func (p PoolSpec) Key() string { return p.Service }

// Routing is the operators' configuration of routes and services at one
// version.
type Routing struct {
	Version  int64
	Routes   Table[Route]
	Pools    Table[PoolSpec]
	Accounts Table[AccountAccess]
	// AccountsListed is true if the configuration has a list of client accounts, which may be
	// empty. Without a list requests need no keys.
	AccountsListed bool
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int
}

// Key returns the same key for all versions, as only one version is in force.
func (r Routing) Key() string { return "Routing" }

// RequiresKeys reports whether requests must carry the API key of a client
// account. An empty list of accounts grants nothing to anybody.
func (r Routing) RequiresKeys() bool { return r.AccountsListed || r.Accounts.Len() > 0 }

// Replica is a backend server as the platform lists it.
type Replica struct {
	ID      string
	Service string
	Address string
	Domain  string
	// Slots is the number of requests that the replica can run at once.
	Slots int
	// Leaving is true while the replica drains.
	Leaving bool
	// Born is the time at which the replica started; zero if it is unknown.
	Born time.Time
	// ColdFor is how long the replica stays cold, counted from the write of its
	// entry in the platform's list.
	ColdFor time.Duration
	// Version is the version of the weights that the replica runs in all layers; 0
	// if there is none.
	Version int64
}

// Key returns the replica's ID.
func (r Replica) Key() string { return r.ID }

// WeightsVersion is a version of a model's weights, such as the one that operators
// have chosen to run.
type WeightsVersion struct {
	Model   string
	Version int64
}

// Key returns the model's name.
func (w WeightsVersion) Key() string { return w.Model }

// EngineReport is the current state of a model engine, as the engine reports it.
type EngineReport struct {
	// Born is the time at which the engine started.
	Born time.Time
	// Running and Waiting are the numbers of running and queued requests.
	Running int
	Waiting int
	// Version is the version of the weights that the engine runs in all layers; 0
	// if there is none.
	Version int64
	// Loading is true while a load order is in progress.
	Loading bool
	// Orders is the number of load orders that the engine has started.
	Orders int64
	// Pace is how much slower than its specification the engine works, from 1 to MaxPace; 0
	// if it does not say.
	Pace float64
}

// MaxPace is the largest pace that counts. An engine that is so slow is of no use to callers.
const MaxPace = 20

// ValidPace returns the pace that an engine reports within its limits; 0 if the engine reports
// none that it may have.
func ValidPace(pace float64) float64 {
	if math.IsNaN(pace) || pace <= 0 {
		return 0
	}
	return min(max(pace, 1), MaxPace)
}
