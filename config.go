package filbertstile

import "time"

// Tier is a service level that client accounts pay for.
type Tier struct {
	Name string
	// Rank orders tiers: overload is shed from the lowest rank first.
	Rank int
	// Weight is the tier's share of capacity while every tier has work.
	Weight int
	// FloorPercent is the share of capacity that is always reserved for the tier.
	FloorPercent int
}

// Key returns the tier's name.
func (t Tier) Key() string { return t.Name }

// Account is a client account.
type Account struct {
	Name string
	// TokenDigest is the SHA-256 of the bearer token, in hexadecimal.
	TokenDigest string
	// Tier is the name of the account's tier.
	Tier string
	// RatePerSecond is the number of requests per second that the account pays for.
	RatePerSecond float64
	// Burst is the maximum number of requests that may arrive at once.
	Burst float64
	// Services lists the services that the account may call; empty means all.
	Services []string `json:",omitempty"`
}

// Key returns the account's name.
func (a Account) Key() string { return a.Name }

// MayCall reports whether the account may call the service.
func (a Account) MayCall(service string) bool {
	for _, s := range a.Services {
		if s == service {
			return true
		}
	}
	return len(a.Services) == 0
}

// ReleaseKind is the kind of content of a release.
type ReleaseKind string

// Kinds of release.
const (
	ReleaseModel   ReleaseKind = "Model"
	ReleaseAdapter ReleaseKind = "Adapter"
)

// Release is a version of a model or an adapter, identified by its manifest.
type Release struct {
	Name    string
	Service string
	Kind    ReleaseKind
	// Manifest is the SHA-256 of the manifest document, in hexadecimal.
	Manifest string
}

// Key returns the release's name.
func (r Release) Key() string { return r.Name }

// ServiceKind is the kind of a service's backend servers.
type ServiceKind string

// Kinds of service.
const (
	ServiceModel ServiceKind = "Model"
	ServicePlain ServiceKind = "Plain"
)

// Service is a set of backend servers (replicas) that handle the same calls.
type Service struct {
	Name string
	Kind ServiceKind
	// Release is the target release of the replicas of a model service.
	Release string `json:",omitempty"`
	// CapacityFloorPercent is the minimum share of replicas that keep serving
	// during a rollout.
	CapacityFloorPercent int `json:",omitempty"`
	// NonIdempotentMethods lists the HTTP methods whose calls may run at most once.
	NonIdempotentMethods []string `json:",omitempty"`
	// ChecksFencing is true if the backend servers reject stale fencing tokens.
	ChecksFencing bool `json:",omitempty"`
	// Role is the engine role that load orders assign to replicas.
	Role string `json:",omitempty"`
}

// Key returns the service's name.
func (s Service) Key() string { return s.Name }

// NonIdempotent reports whether calls with the method may run at most once.
func (s Service) NonIdempotent(method string) bool {
	for _, m := range s.NonIdempotentMethods {
		if m == method {
			return true
		}
	}
	return false
}

// MarkKind is the kind of object that a mark refers to.
type MarkKind string

// Kinds of mark.
const (
	MarkDomain MarkKind = "Domain"
	MarkHost   MarkKind = "Host"
)

// Mark takes a failure domain or a host out of service, or puts it back in
// service.
type Mark struct {
	Kind MarkKind
	Name string
	// Out is true if the failure domain or host is out of service.
	Out bool
}

// Key returns the kind and the name, separated by a slash.
func (m Mark) Key() string { return string(m.Kind) + "/" + m.Name }

// Config is the operators' configuration at one revision.
type Config struct {
	Revision uint64
	Tiers    Table[Tier]
	Accounts Table[Account]
	Releases Table[Release]
	Services Table[Service]
	Marks    Table[Mark]
}

// DomainOutOfService reports whether the failure domain is out of service.
func (c Config) DomainOutOfService(name string) bool {
	m, ok := c.Marks.Get(Mark{Kind: MarkDomain, Name: name}.Key())
	return ok && m.Out
}

// HostOutOfService reports whether the host itself is out of service,
// regardless of its failure domain.
func (c Config) HostOutOfService(name string) bool {
	m, ok := c.Marks.Get(Mark{Kind: MarkHost, Name: name}.Key())
	return ok && m.Out
}

// TargetRelease returns the release that replicas of the service should run,
// and whether there is one.
func (c Config) TargetRelease(service string) (Release, bool) {
	s, ok := c.Services.Get(service)
	if !ok || s.Release == "" {
		return Release{}, false
	}
	return c.Releases.Get(s.Release)
}

// WithChange returns the configuration with the change applied. It does not
// validate the change: validator.Check does so before the change is accepted.
func (c Config) WithChange(ch Change) Config {
	c.Revision = ch.Revision
	for _, set := range []Entities{ch.Notes.Added, ch.Notes.Changed} {
		c = c.withEntities(set)
	}
	for _, n := range ch.Notes.Withdrawn.Accounts {
		c.Accounts = c.Accounts.Without(n)
	}
	for _, n := range ch.Notes.Withdrawn.Tiers {
		c.Tiers = c.Tiers.Without(n)
	}
	for _, n := range ch.Notes.Withdrawn.Releases {
		c.Releases = c.Releases.Without(n)
	}
	for _, n := range ch.Notes.Withdrawn.Services {
		c.Services = c.Services.Without(n)
	}
	for _, m := range ch.Marks {
		c.Marks = c.Marks.With(m)
	}
	return c
}

func (c Config) withEntities(set Entities) Config {
	for _, r := range set.Accounts {
		c.Accounts = c.Accounts.With(r)
	}
	for _, r := range set.Tiers {
		c.Tiers = c.Tiers.With(r)
	}
	for _, r := range set.Releases {
		c.Releases = c.Releases.With(r)
	}
	for _, r := range set.Services {
		c.Services = c.Services.With(r)
	}
	return c
}

// Entities lists the complete entities of a release-notes file.
type Entities struct {
	Accounts []Account `json:",omitempty"`
	Tiers    []Tier    `json:",omitempty"`
	Releases []Release `json:",omitempty"`
	Services []Service `json:",omitempty"`
}

// EntityNames lists the names of entities.
type EntityNames struct {
	Accounts []string `json:",omitempty"`
	Tiers    []string `json:",omitempty"`
	Releases []string `json:",omitempty"`
	Services []string `json:",omitempty"`
}

// ReleaseNotes lists the entities that operators add, change and withdraw in one
// change.
type ReleaseNotes struct {
	Added     Entities    `json:",omitzero"`
	Changed   Entities    `json:",omitzero"`
	Withdrawn EntityNames `json:",omitzero"`
}

// Change is an accepted change of the configuration. It produces one revision.
type Change struct {
	Revision uint64
	// Nonce distinguishes two writers of the same revision.
	Nonce  string
	Author string
	At     time.Time
	Notes  ReleaseNotes `json:",omitzero"`
	Marks  []Mark       `json:",omitempty"`
}
