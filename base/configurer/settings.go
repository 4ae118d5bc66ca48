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

// Identity is who and where a process is.
type Identity struct {
	Name    string `doc:"The process's name, unique in the system."`
	Region  string `doc:"The region in which the host stands."`
	Domain  string `doc:"The failure domain in which the host stands."`
	Address string `doc:"IP and port for the other processes of the system."`
}

// Platform says where the platform's services are.
type Platform struct {
	ObjectAPI string `doc:"IP and port of the object API."`
	HostList  string `doc:"IP and port of the host list."`
}

// Log chooses what is logged.
type Log struct {
	Level      string   `doc:"Least level that is logged: debug, info, warning or error."`
	Subsystems []string `doc:"Subsystems that are logged; an empty list means all. See LOGS.md."`
}

// Operator is a person or tool that may use the administration API.
type Operator struct {
	Name        string `doc:"The operator's name, as the history shows it."`
	TokenDigest string `doc:"SHA-256 of the operator's token, in hexadecimal."`
}

// Entry holds the settings of filbertstile-entry.
type Entry struct {
	Identity     Identity
	Platform     Platform
	Log          Log
	HTTPAddress  string     `doc:"IP and port for callers."`
	AdminAddress string     `doc:"IP and port of the administration API, metrics and dumps."`
	Operators    []Operator `doc:"Who may use the administration API."`
	EntriesValid Duration   `doc:"How long callers may keep the answer of /v1/entries; a leaving entry stays that long."`
	CallTimeout  Duration   `doc:"Time that a request has if its caller names none."`
	MaxBodyBytes int        `doc:"Largest request body, in bytes."`
	MaxQueue     int        `doc:"Requests that may wait for one service at this entry."`
	MaxWait      Duration   `doc:"Longest time that a request waits for a replica."`
	MaxHosts     int        `doc:"Hosts that the entry keeps connections to."`
	RecordsKept  Duration   `doc:"How long the outcome of a non-idempotent call is kept."`
}

// DefaultEntry returns the defaults.
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

// Check returns every problem with the settings.
func (e *Entry) Check() error {
	var c checks
	c.common(e.Identity, e.Platform, e.Log)
	c.address("HTTPAddress", e.HTTPAddress)
	c.address("AdminAddress", e.AdminAddress)
	for i, o := range e.Operators {
		if o.Name == "" || len(o.TokenDigest) != 64 {
			c.fail(fmt.Sprintf("Operators[%d]", i), "needs a Name and a TokenDigest of 64 hexadecimal digits")
		}
	}
	c.positive("EntriesValid", int64(e.EntriesValid))
	c.positive("CallTimeout", int64(e.CallTimeout))
	c.positive("MaxBodyBytes", int64(e.MaxBodyBytes))
	c.positive("MaxQueue", int64(e.MaxQueue))
	c.positive("MaxWait", int64(e.MaxWait))
	c.positive("MaxHosts", int64(e.MaxHosts))
	if e.RecordsKept < e.CallTimeout {
		c.fail("RecordsKept", "must not be shorter than CallTimeout: an outcome must outlive its call")
	}
	return c.problems.Err()
}

// Host holds the settings of filbertstile-host.
type Host struct {
	Identity             Identity
	Platform             Platform
	Log                  Log
	AdminAddress         string   `doc:"IP and port of metrics and dumps."`
	Service              string   `doc:"The service whose backend server this process guards."`
	Kind                 string   `doc:"Model or Plain."`
	Backend              string   `doc:"IP and port of the backend server."`
	MaxRunning           int      `doc:"Requests that the warm backend server bears at once."`
	MaxWaiting           int      `doc:"Requests that may wait at the gate."`
	WeightSources        []string `doc:"IP and port of the weight store, then of the origin."`
	SourceRegion         string   `doc:"The region of the weight store."`
	RegionBytesPerSecond float64  `doc:"Rate of the link into this region; 0 is no limit."`
	WeightMemoryBytes    int64    `doc:"Memory for weights."`
	ResultsKept          Duration `doc:"How long the outcome of a non-idempotent call is kept here."`
}

// DefaultHost returns the defaults.
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

// Check returns every problem with the settings.
func (h *Host) Check() error {
	var c checks
	c.common(h.Identity, h.Platform, h.Log)
	c.address("AdminAddress", h.AdminAddress)
	c.address("Backend", h.Backend)
	c.present("Service", h.Service)
	c.positive("MaxRunning", int64(h.MaxRunning))
	if h.MaxWaiting < 0 {
		c.fail("MaxWaiting", "must not be below 0")
	}
	switch filbertstile.ServiceKind(h.Kind) {
	case filbertstile.ServiceModel:
		if len(h.WeightSources) == 0 {
			c.fail("WeightSources", "must list at least one address for a model")
		}
		c.present("SourceRegion", h.SourceRegion)
		c.positive("WeightMemoryBytes", h.WeightMemoryBytes)
	case filbertstile.ServicePlain:
		if len(h.WeightSources) > 0 {
			c.fail("WeightSources", "contradicts Kind Plain: a plain service has no weights")
		}
	default:
		c.fail("Kind", "must be Model or Plain, is %q", h.Kind)
	}
	for i, a := range h.WeightSources {
		c.address(fmt.Sprintf("WeightSources[%d]", i), a)
	}
	if h.RegionBytesPerSecond < 0 {
		c.fail("RegionBytesPerSecond", "must not be below 0")
	}
	c.positive("ResultsKept", int64(h.ResultsKept))
	return c.problems.Err()
}

type checks struct {
	problems errs.Group
}

func (c *checks) fail(field, format string, args ...any) {
	c.problems.Add(filbertstile.ErrField{Step: "check settings", Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (c *checks) present(field, value string) {
	if value == "" {
		c.fail(field, "is missing")
	}
}

func (c *checks) positive(field string, value int64) {
	if value <= 0 {
		c.fail(field, "must be above 0")
	}
}

func (c *checks) address(field, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		c.fail(field, "must be an IP and a port like 10.0.0.1:7000, is %q", value)
		return
	}
	if net.ParseIP(host) == nil {
		c.fail(field, "must name an IP, not the host name %q", host)
	}
}

func (c *checks) common(id Identity, p Platform, l Log) {
	c.present("Identity.Name", id.Name)
	c.present("Identity.Region", id.Region)
	c.present("Identity.Domain", id.Domain)
	c.address("Identity.Address", id.Address)
	c.address("Platform.ObjectAPI", p.ObjectAPI)
	c.address("Platform.HostList", p.HostList)
	if _, err := logrus.ParseLevel(l.Level); err != nil {
		c.fail("Log.Level", "must be debug, info, warning or error, is %q", l.Level)
	}
	for _, s := range l.Subsystems {
		if !slices.Contains(reporter.Subsystems(), s) {
			c.fail("Log.Subsystems", "%q is none of %s", s, strings.Join(reporter.Subsystems(), ", "))
		}
	}
}
