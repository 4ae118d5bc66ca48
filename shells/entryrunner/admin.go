package entryrunner

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/configurer"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/roller"
	"filbertstile.example/filbertstile/shells/relayer"
	"filbertstile.example/filbertstile/transport/responder"
)

const (
	adminPrefix = "/admin/v1/"
	// adminTimeout is the timeout of an administration request.
	adminTimeout = 10 * time.Second
	dumpTimeout  = 5 * time.Second
)

// Status is the state of the system as seen by one entry.
type Status struct {
	// Revision is the revision of the entry's configuration, and Trust the trust in its
	// view.
	Revision uint64
	Trust    string
	// Spread says in which processes the configuration is in force.
	Spread   relayer.Propagation
	Services []ServiceStatus
	Entries  []EntryStatus
}

// ServiceStatus is the status of one service.
type ServiceStatus struct {
	Service string
	// Release is the release that the replicas should run.
	Release  string
	Replicas []ReplicaStatus
	// OnTarget is the number of serving replicas that run the release.
	OnTarget int
	// Serving is the number of replicas that accept requests.
	Serving int
	// Floor is the minimum number of replicas that must keep serving during a rollout.
	Floor int
}

// ReplicaStatus is the status of one replica. The fields that are not explained here
// are those of router.Load.
type ReplicaStatus struct {
	Host    string
	Domain  string
	Release string
	Ready   string
	// Serving is true if the host accepts requests and its load reports arrive.
	Serving bool
	Cold    bool
	Running int
	Limit   int
	// Connected is true while the host's load reports arrive at the entry.
	Connected bool
	// Out is true if the host or its failure domain is marked out of service.
	Out     bool
	Leaving bool
}

// EntryStatus is the status of one entry.
type EntryStatus struct {
	Name    string
	Domain  string
	Leaving bool
	// Out is true if the entry or its failure domain is marked out of service.
	Out bool
}

// operator returns the name of the operator whose token the request has.
func (e *Entry) operator(rc *fasthttp.RequestCtx) (string, bool) {
	digest := string(filbertstile.DigestOf([]byte(bearerToken(rc))))
	for _, o := range e.config.Settings.Operators {
		if o.TokenDigest == digest {
			return o.Name, true
		}
	}
	return "", false
}

func (e *Entry) handleAdmin(rc *fasthttp.RequestCtx) {
	if string(rc.Path()) == "/metrics" && e.node.HandleHTTP(rc) {
		return
	}
	name, ok := e.operator(rc)
	if !ok {
		responder.WriteProblem(rc, fasthttp.StatusUnauthorized, responder.ProblemDetail{Code: "NotOperator", Field: "Authorization", Message: "no operator has this bearer token"})
		return
	}
	if e.node.HandleHTTP(rc) {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, adminTimeout)
	defer cancel()
	path := strings.TrimPrefix(string(rc.Path()), adminPrefix)
	switch {
	case path == "changes" && rc.IsPost():
		e.postChange(ctx, rc, name)
	case path == "changes":
		e.getChanges(ctx, rc)
	case path == "explain" && rc.IsPost():
		e.handleExplain(rc)
	case path == "config":
		responder.WriteJSON(rc, fasthttp.StatusOK, e.node.Holder.View().Config)
	case path == "status":
		responder.WriteJSON(rc, fasthttp.StatusOK, e.status(ctx))
	case strings.HasPrefix(path, "dump/"):
		e.getDump(ctx, rc, strings.TrimPrefix(path, "dump/"))
	default:
		responder.WriteProblem(rc, fasthttp.StatusNotFound, responder.ProblemDetail{Code: "NotFound", Field: "path", Message: "no such path"})
	}
}

func (e *Entry) postChange(ctx context.Context, rc *fasthttp.RequestCtx, author string) {
	var p relayer.Proposal
	if err := configurer.Decode(rc.PostBody(), &p); err != nil {
		responder.WriteProblem(rc, fasthttp.StatusBadRequest, responder.ProblemDetail{Code: "BadChange", Message: err.Error(), Field: fieldOf(err), Run: string(filbertstile.NotRun)})
		return
	}
	p.Author = author
	out, err := e.node.Relay.Propose(ctx, p)
	if err != nil {
		e.writeChangeError(rc, author, err)
		return
	}
	responder.WriteJSON(rc, fasthttp.StatusOK, out)
}

// fieldOf returns the invalid field that the error reports; empty if there is none.
func fieldOf(err error) string {
	var f filbertstile.ErrField
	if errors.As(err, &f) {
		return f.Field
	}
	return ""
}

// writeChangeError logs and returns an error of the configuration log: a change that
// was not accepted, or a history that could not be read.
func (e *Entry) writeChangeError(rc *fasthttp.RequestCtx, author string, err error) {
	e.node.Log.Event(reporter.ChangeRefused, reporter.Fields{"Author": author, "Error": err})
	p := responder.ProblemDetail{Code: "StoreOutOfReach", Message: err.Error(), Run: string(filbertstile.NotRun), Field: fieldOf(err)}
	status := fasthttp.StatusServiceUnavailable
	var race relayer.ErrConflictingChange
	var tooFew relayer.ErrTooFewRelays
	var uncertain filbertstile.ErrUncertain
	switch {
	case errors.As(err, &race):
		status, p.Code = fasthttp.StatusConflict, "Conflict"
	case errors.As(err, &tooFew):
		p.Code = "TooFewRelays"
	case errors.As(err, &uncertain):
		p.Code, p.Run = "Uncertain", string(filbertstile.Unknown)
	case p.Field != "":
		status, p.Code = fasthttp.StatusUnprocessableEntity, "BadChange"
	}
	responder.WriteProblem(rc, status, p)
}

func (e *Entry) getChanges(ctx context.Context, rc *fasthttp.RequestCtx) {
	after := uint64(0)
	if raw := string(rc.QueryArgs().Peek("after")); raw != "" {
		n, err := strconv.ParseUint(raw, 10, 64)
		if err != nil {
			responder.WriteProblem(rc, fasthttp.StatusBadRequest, responder.ProblemDetail{Code: "BadRequest", Field: "after", Message: "must be a revision"})
			return
		}
		after = n
	}
	changes, err := e.node.Relay.History(ctx, after)
	if err != nil {
		e.writeChangeError(rc, "history", err)
		return
	}
	responder.WriteJSON(rc, fasthttp.StatusOK, changes)
}

func (e *Entry) status(ctx context.Context) Status {
	v := e.node.Holder.View()
	st := Status{Revision: v.Config.Revision, Trust: string(e.node.Relay.Trust()), Spread: e.node.Relay.Propagation(ctx)}
	replicas := e.Replicas()
	for _, s := range v.Config.Services.All() {
		service := ServiceStatus{Service: s.Name, Release: s.Release}
		for _, r := range replicas {
			if r.Host.Service != s.Name {
				continue
			}
			replica := ReplicaStatus{
				Host: r.Host.Name, Domain: r.Host.Domain, Release: r.Load.Release, Ready: r.Load.Ready, Serving: r.Load.Serving && r.Connected,
				Cold: r.Load.Cold, Running: r.Load.Running, Limit: r.Load.Limit, Connected: r.Connected, Leaving: r.Host.Leaving || r.Load.Leaving,
				Out: v.Config.DomainOutOfService(r.Host.Domain) || v.Config.HostOutOfService(r.Host.Name),
			}
			service.Replicas = append(service.Replicas, replica)
			if replica.Serving {
				service.Serving++
			}
			if replica.Serving && replica.Release == s.Release {
				service.OnTarget++
			}
		}
		service.Floor = max(0, roller.CapacityFloor(len(service.Replicas), s.CapacityFloorPercent))
		st.Services = append(st.Services, service)
	}
	for _, m := range v.Members.All() {
		if m.Role == filbertstile.RoleEntry {
			st.Entries = append(st.Entries, EntryStatus{
				Name: m.Name, Domain: m.Domain, Leaving: m.Leaving, Out: v.Config.DomainOutOfService(m.Domain) || v.Config.HostOutOfService(m.Name),
			})
		}
	}
	return st
}

// getDump returns the dump of any process.
func (e *Entry) getDump(ctx context.Context, rc *fasthttp.RequestCtx, name string) {
	if name == e.node.Self().Name {
		responder.WriteJSON(rc, fasthttp.StatusOK, e.node.Dump())
		return
	}
	m, ok := e.node.Holder.View().Members.Get(name)
	if !ok {
		responder.WriteProblem(rc, fasthttp.StatusNotFound, responder.ProblemDetail{Code: "NotFound", Field: "process", Message: "no process is named " + name})
		return
	}
	data, err := e.fetchDump(ctx, m)
	if err != nil {
		responder.WriteProblem(rc, fasthttp.StatusBadGateway, responder.ProblemDetail{Code: "Unreachable", Field: "process", Message: err.Error()})
		return
	}
	rc.SetContentType("application/json")
	rc.SetBody(data)
}

func (e *Entry) fetchDump(ctx context.Context, m filbertstile.Member) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	s, err := e.node.Client.Open(ctx, m.Address, &wire.Request{Id: e.node.Client.NextID(), Kind: &wire.Request_Dump{Dump: &wire.Dump{}}})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	return s.ReceiveContent()
}
