package filbertstile

import "time"

// CallKind tells how often a request may run.
type CallKind string

// Kinds of call.
const (
	CallIdempotent    CallKind = "Idempotent"
	CallNonIdempotent CallKind = "NonIdempotent"
	CallStream        CallKind = "Stream"
)

// Target is a service that a route leads to, with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route leads the requests of a host name and path prefix to a service.
type Route struct {
	Name       string
	HostName   string
	PathPrefix string
	Kind       CallKind
	Targets    []Target
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event, that
	// callers expect.
	Objective time.Duration
	// Priority ranks requests; 0 goes first.
	Priority int
	// MaxAttempts bounds the replicas that one request may run on.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another replica.
	Resumable bool
	// Regions lists where requests may be served; empty means anywhere.
	Regions []string
}

// Key returns the route's name.
func (r Route) Key() string { return r.Name }

// Repeatable tells whether a request may run again after it broke.
func (r Route) Repeatable() bool {
	return r.Kind == CallIdempotent || r.Kind == CallStream && r.Resumable
}

// Tenancy is what the keys of a client account stand for.
type Tenancy struct {
	Account  string
	Keys     []string
	Priority *int
	Regions  []string
}

// Key returns the account's name.
func (t Tenancy) Key() string { return t.Account }

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Model  string
	Layers int
	// Chunks is the number of pieces of a version of the weights.
	Chunks int
	// ChunkSize is in bytes.
	ChunkSize int
	// ReadPerSecond is the rate at which prompt tokens are read.
	ReadPerSecond float64
	// Step is the time of one step of a batch, PerRequest what each request in
	// the batch adds.
	Step       time.Duration
	PerRequest time.Duration
	// Stride is the number of steps between two events of a stream.
	Stride int
}

// Pass returns the time between two events of a stream while the engine writes
// for so many requests.
func (e EngineSpec) Pass(requests int) time.Duration {
	return time.Duration(max(1, e.Stride)) * (e.Step + time.Duration(requests)*e.PerRequest)
}

// Reading returns the time that prompt tokens take.
func (e EngineSpec) Reading(tokens int) time.Duration {
	if e.ReadPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.ReadPerSecond * float64(time.Second))
}

// PoolSpec describes the replicas of a service.
type PoolSpec struct {
	Service string
	// ColdRate bounds the requests a second to a cold replica, of all callers;
	// 0 is no bound.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *EngineSpec
	// Origin is the address of the origin of weights, where the service is one.
	Origin       string
	OriginDomain string
}

// Key returns the service's name.
func (p PoolSpec) Key() string { return p.Service }

// Routing is the operators' configuration of routes and services at one
// version.
type Routing struct {
	Version  int64
	Routes   Table[Route]
	Pools    Table[PoolSpec]
	Accounts Table[Tenancy]
	// MaxBody is in bytes.
	MaxBody int
}

// Key is the same for all versions: there is one in force.
func (r Routing) Key() string { return "Routing" }

// Keyed tells whether requests carry keys of client accounts.
func (r Routing) Keyed() bool { return r.Accounts.Len() > 0 }

// Replica is a backend server as the platform lists it.
type Replica struct {
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	Leaving bool
	// Born is the moment at which the replica started; zero if it is not known.
	Born time.Time
	// ColdFor is how long the replica stays cold after the entry was written.
	ColdFor time.Duration
	// Version is that of the weights that the replica runs whole; 0 for none.
	Version int64
}

// Key returns the replica's id.
func (r Replica) Key() string { return r.ID }

// NamedWeights is the version of a model's weights that operators have named.
type NamedWeights struct {
	Model   string
	Version int64
}

// Key returns the model's name.
func (w NamedWeights) Key() string { return w.Model }

// EngineReport is what a model engine says of itself now.
type EngineReport struct {
	Born time.Time
	// Running and Waiting count requests.
	Running int
	Waiting int
	// Version is that of the weights that the engine runs whole; 0 for none.
	Version int64
	// Loading tells that an order is under way.
	Loading bool
	// Orders counts the orders that the engine has begun.
	Orders int64
}
