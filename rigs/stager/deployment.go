// Package stager puts a whole deployment into one process, with stand-ins for
// everything outside, over real sockets or in memory. The demo, the
// measurements and the tests run on it.
package stager

import (
	"fmt"

	"github.com/zeebo/errs"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/configurer"
)

// Deployment describes an installation of a user.
type Deployment struct {
	Name         string   `doc:"The deployment's name."`
	SourceRegion string   `doc:"The region of the weight store and the platform."`
	Domains      []Domain `doc:"The failure domains."`
	Services     []Served `doc:"The services and their backend servers."`
	Entries      int      `doc:"The number of entries, spread over the domains."`
	Links        Links
	Weights      Weights
	Accounts     []Caller `doc:"The client accounts, with the tokens that the demo's callers use."`
	Tiers        []filbertstile.Tier
}

// Domain is a failure domain.
type Domain struct {
	Name   string `doc:"The failure domain's name."`
	Region string `doc:"The region that it is in."`
}

// Served is a service and its backend servers.
type Served struct {
	Service    filbertstile.Service
	Replicas   int                 `doc:"The number of backend servers, spread over the domains."`
	MaxRunning int                 `doc:"Requests that a warm backend server bears at once."`
	TokenDelay configurer.Duration `doc:"Time between two tokens of the stand-in engine."`
	Delay      configurer.Duration `doc:"Time that a call of a plain service takes."`
}

// Links are the delays and rates between sites.
type Links struct {
	DomainDelay          configurer.Duration `doc:"One way between failure domains, and to clients."`
	RegionDelay          configurer.Duration `doc:"One way between regions."`
	RegionBytesPerSecond float64             `doc:"Rate of each direction between two regions."`
	HostBytesPerSecond   float64             `doc:"Rate of each backend server host's own link."`
	OriginBytesPerSecond float64             `doc:"Rate of the weight store's link."`
}

// Weights describe the releases that the demo makes up.
type Weights struct {
	ChunkBytes int `doc:"Size of a chunk."`
	Chunks     int `doc:"Number of chunks of a release."`
	Changed    int `doc:"Number of chunks in which the second release differs."`
}

// Caller is a client account of the deployment and its token.
type Caller struct {
	Account filbertstile.Account
	Token   string `doc:"The bearer token; the account's TokenDigest is made from it."`
}

// Check returns every problem with the deployment.
func (d *Deployment) Check() error {
	var problems errs.Group
	fail := func(field, format string, args ...any) {
		problems.Add(filbertstile.ErrField{Step: "check deployment", Field: field, Problem: fmt.Sprintf(format, args...)})
	}
	if len(d.Domains) == 0 {
		fail("Domains", "must list at least one failure domain")
	}
	source := false
	for _, x := range d.Domains {
		source = source || x.Region == d.SourceRegion
	}
	if !source {
		fail("SourceRegion", "%q is the region of none of the domains", d.SourceRegion)
	}
	if d.Entries < 1 {
		fail("Entries", "must be at least 1")
	}
	for i, s := range d.Services {
		if s.Replicas < 1 || s.MaxRunning < 1 {
			fail(fmt.Sprintf("Services[%d]", i), "needs Replicas and MaxRunning of at least 1")
		}
	}
	if d.Weights.Chunks < 1 || d.Weights.ChunkBytes < 1 {
		fail("Weights", "needs Chunks and ChunkBytes of at least 1")
	}
	return problems.Err()
}

// Load reads a deployment file.
func Load(path string) (*Deployment, error) {
	d := new(Deployment)
	if err := configurer.Load(path, d); err != nil {
		return nil, err
	}
	return d, nil
}

// Entities returns the release notes that install the deployment's tiers,
// accounts and services, without releases.
func (d *Deployment) Entities() filbertstile.Entities {
	out := filbertstile.Entities{Tiers: d.Tiers}
	for _, c := range d.Accounts {
		a := c.Account
		a.TokenDigest = string(filbertstile.DigestOf([]byte(c.Token)))
		out.Accounts = append(out.Accounts, a)
	}
	for _, s := range d.Services {
		out.Services = append(out.Services, s.Service)
	}
	return out
}
