package configurer

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
)

// Identity is the name and location of a process.
type Identity struct {
	Name    string `doc:"Name of the process, unique in the system."`
	Region  string `doc:"Region of the host."`
	Domain  string `doc:"Failure domain of the host."`
	Address string `doc:"IP and port on which the other processes of the system reach this one."`
}

// Platform lists the addresses of the platform's services.
type Platform struct {
	ObjectAPI string `doc:"IP and port of the object API."`
	HostList  string `doc:"IP and port of the host list."`
}

// Log selects the events that are logged.
type Log struct {
	Level      string   `doc:"Lowest level that is logged: debug, info, warning or error."`
	Subsystems []string `doc:"Subsystems whose events are logged; an empty list means all. See LOGS.md."`
}

// Operator is a person or tool that may use the administration API.
type Operator struct {
	Name        string `doc:"Name of the operator, as shown in the history."`
	TokenDigest string `doc:"SHA-256 of the operator's token, in hexadecimal."`
}

// Entry holds the settings of filbertstile-entry.
type Entry struct {
	Identity     Identity
	Platform     Platform
	Log          Log
	HTTPAddress  string     `doc:"IP and port on which callers are served."`
	AdminAddress string     `doc:"IP and port of the administration API, metrics and state dumps."`
	Operators    []Operator `doc:"Operators that may use the administration API."`
	EntriesValid Duration   `doc:"How long callers may cache the response of /v1/entries; a stopping entry keeps serving that long."`
	CallTimeout  Duration   `doc:"Timeout of a request whose caller sets none."`
	MaxBodyBytes int        `doc:"Maximum size of a request body, in bytes."`
	MaxQueue     int        `doc:"Maximum number of requests queued for one service at this entry."`
	MaxWait      Duration   `doc:"Maximum time that a request waits for a replica."`
	MaxHosts     int        `doc:"Maximum number of hosts that the entry keeps connections to."`
	RecordsKept  Duration   `doc:"How long the outcome of a non-idempotent call is stored; not shorter than CallTimeout."`
	MemoryMB     int        `doc:"Memory of the process, in MiB; 0 means no limit but that of 64 MiB on the bodies of requests in all."`
	MaxConns     int        `doc:"Maximum number of connections of callers; 0 means 16 per MiB of MemoryMB, and at least 1024."`
}

// MemoryBytes returns the part 1/divisor of the memory; 0 if it is not limited.
func (e *Entry) MemoryBytes(divisor int64) int64 { return int64(e.MemoryMB) << 20 / divisor }

// DefaultEntry returns the default settings of filbertstile-entry.
func DefaultEntry() *Entry {
	return &Entry{
		Log:          Log{Level: "info"},
		EntriesValid: Duration(10 * time.Second),
		CallTimeout:  Duration(60 * time.Second),
		MaxBodyBytes: 1 << 20,
		MaxQueue:     256,
		MaxWait:      Duration(2 * time.Second),
		MaxHosts:     32,
		RecordsKept:  Duration(10 * time.Minute),
	}
}

// Check returns all problems with the settings, each as a filbertstile.ErrField.
func (e *Entry) Check() error {
	var c fieldChecker
	c.common(e.Identity, e.Platform, e.Log)
	c.address("HTTPAddress", e.HTTPAddress)
	c.address("AdminAddress", e.AdminAddress)
	for i, o := range e.Operators {
		if o.Name == "" || len(o.TokenDigest) != 64 {
			c.addProblem(fmt.Sprintf("Operators[%d]", i), "needs a Name and a TokenDigest of 64 hexadecimal digits")
		}
	}
	c.positive("EntriesValid", int64(e.EntriesValid))
	c.positive("CallTimeout", int64(e.CallTimeout))
	c.positive("MaxBodyBytes", int64(e.MaxBodyBytes))
	c.positive("MaxQueue", int64(e.MaxQueue))
	c.positive("MaxWait", int64(e.MaxWait))
	c.positive("MaxHosts", int64(e.MaxHosts))
	if e.MemoryMB < 0 {
		c.addProblem("MemoryMB", "must not be below 0")
	}
	if e.MaxConns < 0 {
		c.addProblem("MaxConns", "must not be below 0")
	}
	if e.RecordsKept < e.CallTimeout {
		c.addProblem("RecordsKept", "must not be shorter than CallTimeout: an outcome must be stored until its call has ended")
	}
	return c.problems.Err()
}

// Host holds the settings of filbertstile-host.
type Host struct {
	Identity             Identity
	Platform             Platform
	Log                  Log
	AdminAddress         string   `doc:"IP and port of metrics and state dumps."`
	Service              string   `doc:"Service of the backend server behind this process."`
	Kind                 string   `doc:"Kind of the service: Model or Plain."`
	Backend              string   `doc:"IP and port of the backend server."`
	MaxRunning           int      `doc:"Maximum number of requests that run at once on the backend server when it is warm."`
	MaxWaiting           int      `doc:"Maximum number of requests queued at this process."`
	WeightSources        []string `doc:"IP and port of the weight store, followed by that of the origin."`
	SourceRegion         string   `doc:"Region of the weight store."`
	RegionBytesPerSecond float64  `doc:"Bandwidth of the link into this region, in bytes per second; 0 means no limit."`
	WeightMemoryBytes    int64    `doc:"Memory for weights, in bytes."`
	ResultsKept          Duration `doc:"How long this process keeps the outcome of a non-idempotent call."`
}

// DefaultHost returns the default settings of filbertstile-host.
func DefaultHost() *Host {
	return &Host{
		Log:               Log{Level: "info"},
		Kind:              string(filbertstile.ServiceModel),
		MaxRunning:        8,
		MaxWaiting:        8,
		WeightMemoryBytes: 1 << 30,
		ResultsKept:       Duration(10 * time.Minute),
	}
}

// Check returns all problems with the settings, each as a filbertstile.ErrField.
func (h *Host) Check() error {
	var c fieldChecker
	c.common(h.Identity, h.Platform, h.Log)
	c.address("AdminAddress", h.AdminAddress)
	c.address("Backend", h.Backend)
	c.required("Service", h.Service)
	c.positive("MaxRunning", int64(h.MaxRunning))
	if h.MaxWaiting < 0 {
		c.addProblem("MaxWaiting", "must not be below 0")
	}
	switch filbertstile.ServiceKind(h.Kind) {
	case filbertstile.ServiceModel:
		if len(h.WeightSources) == 0 {
			c.addProblem("WeightSources", "must list at least one address for a model")
		}
		c.required("SourceRegion", h.SourceRegion)
		c.positive("WeightMemoryBytes", h.WeightMemoryBytes)
	case filbertstile.ServicePlain:
		if len(h.WeightSources) > 0 {
			c.addProblem("WeightSources", "contradicts Kind Plain: a plain service has no weights")
		}
	default:
		c.addProblem("Kind", "must be Model or Plain, is %q", h.Kind)
	}
	for i, a := range h.WeightSources {
		c.address(fmt.Sprintf("WeightSources[%d]", i), a)
	}
	if h.RegionBytesPerSecond < 0 {
		c.addProblem("RegionBytesPerSecond", "must not be below 0")
	}
	c.positive("ResultsKept", int64(h.ResultsKept))
	return c.problems.Err()
}

// fieldChecker checks the values of settings and collects the problems.
type fieldChecker struct {
	problems errs.Group
}

func (c *fieldChecker) addProblem(field, format string, args ...any) {
	c.problems.Add(filbertstile.ErrField{Step: "check settings", Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (c *fieldChecker) required(field, value string) {
	if value == "" {
		c.addProblem(field, "is missing")
	}
}

func (c *fieldChecker) positive(field string, value int64) {
	if value <= 0 {
		c.addProblem(field, "must be above 0")
	}
}

func (c *fieldChecker) address(field, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		c.addProblem(field, "must be an IP and a port like 10.0.0.1:7000, is %q", value)
		return
	}
	if net.ParseIP(host) == nil {
		c.addProblem(field, "must name an IP, not the host name %q", host)
	}
}

func (c *fieldChecker) common(id Identity, p Platform, l Log) {
	c.required("Identity.Name", id.Name)
	c.required("Identity.Region", id.Region)
	c.required("Identity.Domain", id.Domain)
	c.address("Identity.Address", id.Address)
	c.address("Platform.ObjectAPI", p.ObjectAPI)
	c.address("Platform.HostList", p.HostList)
	if _, err := logrus.ParseLevel(l.Level); err != nil {
		c.addProblem("Log.Level", "must be debug, info, warning or error, is %q", l.Level)
	}
	for _, s := range l.Subsystems {
		if !slices.Contains(reporter.Subsystems(), s) {
			c.addProblem("Log.Subsystems", "%q is none of %s", s, strings.Join(reporter.Subsystems(), ", "))
		}
	}
}
