// Package stager runs a complete deployment in one process, with stand-ins for all outside
// systems, over TCP or in memory. The demo, the measurements and the tests use it.
package stager

import (
	"fmt"

	"github.com/zeebo/errs"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/configurer"
)

// Deployment describes the entries, services and client accounts of an installation, and the
// links between its hosts.
type Deployment struct {
	Name         string        `doc:"Name of the deployment."`
	SourceRegion string        `doc:"Region of the weight store and the platform."`
	Domains      []Domain      `doc:"Failure domains."`
	Services     []ServiceSpec `doc:"Services and their backend servers."`
	Entries      int           `doc:"Number of entries, distributed over the failure domains."`
	Links        Links
	Weights      Weights
	Accounts     []AccountSpec `doc:"Client accounts, with the tokens that the demo's callers use."`
	Tiers        []filbertstile.Tier
}

// Domain is a failure domain.
type Domain struct {
	Name   string `doc:"Name of the failure domain."`
	Region string `doc:"Region of the failure domain."`
}

// ServiceSpec is a service and its backend servers.
type ServiceSpec struct {
	Service    filbertstile.Service
	Replicas   int                 `doc:"Number of backend servers, distributed over the failure domains."`
	MaxRunning int                 `doc:"Maximum number of requests that run at once on a warm backend server."`
	TokenDelay configurer.Duration `doc:"Time between two tokens of the stand-in engine."`
	Delay      configurer.Duration `doc:"Duration of a call to a plain service."`
}

// Links are the delays and bandwidths between sites.
type Links struct {
	DomainDelay          configurer.Duration `doc:"One-way delay between failure domains, and to callers."`
	RegionDelay          configurer.Duration `doc:"One-way delay between regions."`
	RegionBytesPerSecond float64             `doc:"Bandwidth of each direction between two regions, in bytes per second."`
	HostBytesPerSecond   float64             `doc:"Bandwidth of the link of each backend server's host, in bytes per second."`
	OriginBytesPerSecond float64             `doc:"Bandwidth of the link of the weight store, in bytes per second."`
}

// Weights describes the releases that the demo generates.
type Weights struct {
	ChunkBytes int `doc:"Size of a chunk, in bytes."`
	Chunks     int `doc:"Number of chunks of a release."`
	Changed    int `doc:"Number of chunks in which the second release differs from the first."`
}

// AccountSpec is a client account of the deployment and its token.
type AccountSpec struct {
	Account filbertstile.Account
	Token   string `doc:"Bearer token; the account's TokenDigest is derived from it."`
}

// Check returns an error that lists all invalid fields of the deployment, or nil.
func (d *Deployment) Check() error {
	var problems errs.Group
	addProblem := func(field, format string, args ...any) {
		problems.Add(filbertstile.ErrField{Step: "check deployment", Field: field, Problem: fmt.Sprintf(format, args...)})
	}
	if len(d.Domains) == 0 {
		addProblem("Domains", "must list at least one failure domain")
	}
	hasSource := false
	for _, dom := range d.Domains {
		hasSource = hasSource || dom.Region == d.SourceRegion
	}
	if !hasSource {
		addProblem("SourceRegion", "%q is not the region of any failure domain", d.SourceRegion)
	}
	if d.Entries < 1 {
		addProblem("Entries", "must be at least 1")
	}
	for i, s := range d.Services {
		if s.Replicas < 1 || s.MaxRunning < 1 {
			addProblem(fmt.Sprintf("Services[%d]", i), "Replicas and MaxRunning must be at least 1")
		}
	}
	if d.Weights.Chunks < 1 || d.Weights.ChunkBytes < 1 {
		addProblem("Weights", "Chunks and ChunkBytes must be at least 1")
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

// Entities returns the tiers, accounts and services of the deployment, without releases.
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
