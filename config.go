package filbertstile

import "time"

// Tier is a level of service that client accounts pay for.
type Tier struct {
	Name string
	// Rank orders tiers: overload is shed from the lowest rank first.
	Rank int
	// Weight is the tier's share of capacity while every tier has work.
	Weight int
	// FloorPercent is the share of capacity kept for the tier in any case.
	FloorPercent int
}

// Key returns the tier's name.
func (t Tier) Key() string { return t.Name }

// Account is a client account.
type Account struct {
	Name string
	// TokenDigest is the SHA-256 of the bearer token, in hexadecimal.
	TokenDigest string
	Tier        string
	// RatePerSecond is the paid number of requests a second.
	RatePerSecond float64
	// Burst is the number of requests that may arrive at once.
	Burst float64
	// Services lists the services that the account may call; empty means all.
	Services []string `json:",omitempty"`
}

// Key returns the account's name.
func (a Account) Key() string { return a.Name }

// MayCall tells whether the account may call the service.
func (a Account) MayCall(service string) bool {
	for _, s := range a.Services {
		if s == service {
			return true
		}
	}
	return len(a.Services) == 0
}

// ReleaseKind tells what a release holds.
type ReleaseKind string

// Kinds of release.
const (
	ReleaseModel   ReleaseKind = "Model"
	ReleaseAdapter ReleaseKind = "Adapter"
)

// Release is a version of a model or an adapter, named by its manifest.
type Release struct {
	Name    string
	Service string
	Kind    ReleaseKind
	// Manifest is the SHA-256 of the manifest document, in hexadecimal.
	Manifest string
}

// Key returns the release's name.
func (r Release) Key() string { return r.Name }

// ServiceKind tells what stands behind a service.
type ServiceKind string

// Kinds of service.
const (
	ServiceModel ServiceKind = "Model"
	ServicePlain ServiceKind = "Plain"
)

// Service is a set of backend servers that answer the same calls.
type Service struct {
	Name string
	Kind ServiceKind
	// Release is the release that every replica of a model service should run.
	Release string `json:",omitempty"`
	// CapacityFloorPercent is the share of replicas that a rollout keeps serving.
	CapacityFloorPercent int `json:",omitempty"`
	// NonIdempotentMethods lists the HTTP methods that may run at most once.
	NonIdempotentMethods []string `json:",omitempty"`
	// ChecksFencing tells whether the backend server refuses old fencing numbers.
	ChecksFencing bool `json:",omitempty"`
	// Role is the engine role that replicas are ordered to take.
	Role string `json:",omitempty"`
}

// Key returns the service's name.
func (s Service) Key() string { return s.Name }

// NonIdempotent tells whether calls with the method may run at most once.
func (s Service) NonIdempotent(method string) bool {
	for _, m := range s.NonIdempotentMethods {
		if m == method {
			return true
		}
	}
	return false
}

// MarkKind tells what a mark is about.
type MarkKind string

// Kinds of mark.
const (
	MarkDomain MarkKind = "Domain"
	MarkHost   MarkKind = "Host"
)

// Mark takes a failure domain or a host out of service, or back in.
type Mark struct {
	Kind MarkKind
	Name string
	Out  bool
}

// Key returns the kind and the name.
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

// DomainOut tells whether the failure domain is out of service.
func (c Config) DomainOut(name string) bool {
	m, ok := c.Marks.Get(Mark{Kind: MarkDomain, Name: name}.Key())
	return ok && m.Out
}

// HostOut tells whether the host itself is out of service.
func (c Config) HostOut(name string) bool {
	m, ok := c.Marks.Get(Mark{Kind: MarkHost, Name: name}.Key())
	return ok && m.Out
}

// TargetRelease returns the release that replicas of the service should run.
func (c Config) TargetRelease(service string) (Release, bool) {
	s, ok := c.Services.Get(service)
	if !ok || s.Release == "" {
		return Release{}, false
	}
	return c.Releases.Get(s.Release)
}

// WithChange returns the configuration after the change. It does not check the
// change: the applier does so before the change is accepted.
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

// Entities lists whole entities of a release-notes file.
type Entities struct {
	Accounts []Account `json:",omitempty"`
	Tiers    []Tier    `json:",omitempty"`
	Releases []Release `json:",omitempty"`
	Services []Service `json:",omitempty"`
}

// Names lists entities by name.
type Names struct {
	Accounts []string `json:",omitempty"`
	Tiers    []string `json:",omitempty"`
	Releases []string `json:",omitempty"`
	Services []string `json:",omitempty"`
}

// ReleaseNotes lists what operators add, change and withdraw in one step.
type ReleaseNotes struct {
	Added     Entities `json:",omitzero"`
	Changed   Entities `json:",omitzero"`
	Withdrawn Names    `json:",omitzero"`
}

// Change is one accepted step of the configuration.
type Change struct {
	Revision uint64
	// Nonce tells two writers of the same revision apart.
	Nonce  string
	Author string
	At     time.Time
	Notes  ReleaseNotes `json:",omitzero"`
	Marks  []Mark       `json:",omitempty"`
}
