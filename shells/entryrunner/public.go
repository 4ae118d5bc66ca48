package entryrunner

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/transport/responder"
)

// Header fields of callers' requests and of the responses to them.
const (
	HeaderRelease        = "X-Filbertstile-Release"
	HeaderRequest        = "X-Filbertstile-Request"
	HeaderRun            = "X-Filbertstile-Run"
	HeaderTimeout        = "X-Timeout-Seconds"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	pathCompletions = "/v1/chat/completions"
	pathEntries     = "/v1/entries"
	pathServices    = "/services/"
	// affinityBytes is the maximum number of bytes of the first message that the affinity
	// hash covers.
	affinityBytes = 256
	// maxKeyLength is the maximum length of an idempotency key in bytes.
	maxKeyLength = 256
	maxTimeout   = time.Hour
)

// accountIndex indexes the client accounts by the digest of their token.
type accountIndex struct {
	byTokenDigest map[string]filbertstile.Account
}

func newAccountIndex(c filbertstile.Config) *accountIndex {
	index := &accountIndex{byTokenDigest: make(map[string]filbertstile.Account, c.Accounts.Len())}
	for _, a := range c.Accounts.All() {
		index.byTokenDigest[a.TokenDigest] = a
	}
	return index
}

// bearerToken returns the request's bearer token; empty if it has none.
func bearerToken(rc *fasthttp.RequestCtx) string {
	token, _ := strings.CutPrefix(string(rc.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	return token
}

// account returns the client account whose token the request has.
func (e *Entry) account(rc *fasthttp.RequestCtx) (filbertstile.Account, bool) {
	a, ok := e.accounts.Load().byTokenDigest[string(filbertstile.DigestOf([]byte(bearerToken(rc))))]
	return a, ok
}

func (e *Entry) handlePublic(rc *fasthttp.RequestCtx) {
	path := string(rc.Path())
	switch {
	case path == pathEntries:
		e.handleEntries(rc)
	case path == pathCompletions:
		e.handleCompletions(rc)
	case strings.HasPrefix(path, pathServices):
		e.handleService(rc, strings.TrimPrefix(path, pathServices))
	default:
		writeError(rc, filbertstile.ErrRequest{Code: "NotFound", Run: filbertstile.NotRun, Detail: "no such path"}, "path")
	}
}

// EntryAddress is an entry that callers may send requests to.
type EntryAddress struct {
	Name    string
	Address string
	Domain  string
	Region  string
}

// Entries is the response of /v1/entries.
type Entries struct {
	Entries []EntryAddress
	// ValidSeconds is how long callers may cache the response.
	ValidSeconds float64
}

func (e *Entry) handleEntries(rc *fasthttp.RequestCtx) {
	v := e.node.Holder.View()
	out := Entries{ValidSeconds: time.Duration(e.config.Settings.EntriesValid).Seconds()}
	for _, m := range v.Members.All() {
		if m.Role == filbertstile.RoleEntry && !m.Leaving && !v.Config.DomainOutOfService(m.Domain) && !v.Config.HostOutOfService(m.Name) {
			out.Entries = append(out.Entries, EntryAddress{Name: m.Name, Address: m.HTTPAddress, Domain: m.Domain, Region: m.Region})
		}
	}
	responder.WriteJSON(rc, fasthttp.StatusOK, out)
}

// httpStatus returns the HTTP status for an error code.
func httpStatus(code string) int {
	switch code {
	case codeBadJSON, codeBadRequest:
		return fasthttp.StatusBadRequest
	case codeNoToken, dispatcher.CodeUnknownAccount:
		return fasthttp.StatusUnauthorized
	case dispatcher.CodeForbidden:
		return fasthttp.StatusForbidden
	case dispatcher.CodeUnknownService, "NotFound":
		return fasthttp.StatusNotFound
	case codeInProgress:
		return fasthttp.StatusConflict
	case codeKeyReused:
		return fasthttp.StatusUnprocessableEntity
	case dispatcher.CodeRateLimited:
		return fasthttp.StatusTooManyRequests
	case dispatcher.CodeDeadline:
		return fasthttp.StatusGatewayTimeout
	case dispatcher.CodeBackendFailed, dispatcher.CodeContactLost, codeOutcomeUnknown, codeResponseTruncated, codeOutcomeTooLarge:
		return fasthttp.StatusBadGateway
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

func writeError(rc *fasthttp.RequestCtx, err filbertstile.ErrRequest, field string) {
	if err.RetryAfter > 0 {
		rc.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(err.RetryAfter.Seconds()))))
	}
	rc.Response.Header.Set(HeaderRun, string(err.Run))
	responder.WriteProblem(rc, httpStatus(err.Code), responder.ProblemDetail{Code: err.Code, Message: err.Detail, Run: string(err.Run), Field: field})
}

func rejectInput(rc *fasthttp.RequestCtx, code, field, format string, args ...any) {
	writeError(rc, filbertstile.ErrRequest{Code: code, Run: filbertstile.NotRun, Step: "read request", Detail: fmt.Sprintf(format, args...)}, field)
}

func rejectNoToken(rc *fasthttp.RequestCtx) {
	rejectInput(rc, codeNoToken, "Authorization", "no client account has this bearer token")
}

// newCall returns a call to the service. It checks the parts of the request that all kinds
// of calls have in common, and responds with an error if one of them is invalid.
func (e *Entry) newCall(rc *fasthttp.RequestCtx, service string) (*call, bool) {
	a, ok := e.account(rc)
	if !ok {
		rejectNoToken(rc)
		return nil, false
	}
	timeout := time.Duration(e.config.Settings.CallTimeout)
	if raw := string(rc.Request.Header.Peek(HeaderTimeout)); raw != "" {
		seconds, err := strconv.ParseFloat(raw, 64)
		if err != nil || !(seconds > 0 && seconds <= maxTimeout.Seconds()) {
			rejectInput(rc, codeBadRequest, HeaderTimeout, "must be a number of seconds above 0 and at most %v", maxTimeout.Seconds())
			return nil, false
		}
		timeout = time.Duration(seconds * float64(time.Second))
	}
	c := &call{request: dispatcher.Request{ID: uuid.NewString(), Account: a.Name, Service: service, Deadline: time.Now().Add(timeout)}}
	c.dispatch = wire.Dispatch{Service: service, Account: a.Name}
	return c, true
}

func (e *Entry) handleCompletions(rc *fasthttp.RequestCtx) {
	if !rc.IsPost() {
		rejectInput(rc, codeBadRequest, "method", "must be POST")
		return
	}
	if _, ok := e.account(rc); !ok {
		rejectNoToken(rc)
		return
	}
	in, body, field, err := e.parseInTurn(rc.PostBody())
	if err != nil {
		rejectInput(rc, codeBadJSON, field, "%v", err)
		return
	}
	service, ok := e.node.Holder.View().Config.Services.Get(in.Model)
	if ok && service.Kind != filbertstile.ServiceModel {
		rejectInput(rc, codeBadRequest, "model", "%q is a plain service; call %s%s/", in.Model, pathServices, in.Model)
		return
	}
	c, ok := e.newCall(rc, in.Model)
	if !ok {
		return
	}
	c.request.Affinity = prefixHash(in.Messages)
	c.request.Idempotent = true
	c.dispatch.Method = fasthttp.MethodPost
	c.dispatch.Path = pathCompletions
	c.dispatch.Body = body
	c.dispatch.Stream = in.Stream
	rc.Response.Header.Set(HeaderRequest, c.request.ID)
	pieces := e.startCall(c)
	first := firstPiece(pieces)
	if first.err != nil {
		writeError(rc, *first.err, "")
		return
	}
	if first.head.GetStatus() != fasthttp.StatusOK {
		writeResponse(rc, first.head, readBody(pieces))
		return
	}
	rc.Response.Header.Set(HeaderRelease, first.head.GetRelease())
	if in.Stream {
		streamEvents(rc, c, first.head.GetRelease(), pieces)
		return
	}
	writeCompletion(rc, c, first.head.GetRelease(), pieces)
}

// bodyResult is the body of a complete response, or the error that ended it.
type bodyResult struct {
	body []byte
	err  *filbertstile.ErrRequest
}

// readBody reads pieces up to the end of the response.
func readBody(pieces <-chan piece) bodyResult {
	var out bytes.Buffer
	for p := range pieces {
		if p.err != nil {
			return bodyResult{err: p.err}
		}
		if p.end {
			return bodyResult{body: out.Bytes()}
		}
		out.Write(p.data)
	}
	return bodyResult{err: &filbertstile.ErrRequest{Code: codeResponseTruncated, Run: filbertstile.Unknown, Step: "read response", Detail: "the response ended before it was complete"}}
}

// writeResponse responds with the status and body of the backend server's response.
func writeResponse(rc *fasthttp.RequestCtx, head *wire.Head, b bodyResult) {
	if b.err != nil {
		writeError(rc, *b.err, "")
		return
	}
	rc.SetStatusCode(int(head.GetStatus()))
	rc.SetContentType(head.GetContentType())
	rc.SetBody(b.body)
}

// handleService handles a call to a plain service.
func (e *Entry) handleService(rc *fasthttp.RequestCtx, rest string) {
	name, path, _ := strings.Cut(rest, "/")
	service, ok := e.node.Holder.View().Config.Services.Get(name)
	if !ok {
		rejectInput(rc, dispatcher.CodeUnknownService, "path", "no service is named %q", name)
		return
	}
	if service.Kind != filbertstile.ServicePlain {
		rejectInput(rc, codeBadRequest, "path", "%q is a model; call %s", name, pathCompletions)
		return
	}
	c, ok := e.newCall(rc, name)
	if !ok {
		return
	}
	c.dispatch.Method = string(rc.Method())
	c.dispatch.Path = "/" + path
	if q := rc.QueryArgs().String(); q != "" {
		c.dispatch.Path += "?" + q
	}
	c.dispatch.Body = bytes.Clone(rc.PostBody())
	c.request.Once = service.NonIdempotent(c.dispatch.GetMethod())
	c.request.Idempotent = !c.request.Once
	if c.request.Once && !c.setRecordKey(rc) {
		return
	}
	rc.Response.Header.Set(HeaderRequest, c.request.ID)
	pieces := e.startCall(c)
	first := firstPiece(pieces)
	if first.err != nil {
		writeError(rc, *first.err, "")
		return
	}
	b := readBody(pieces)
	if b.err == nil {
		c.recordResponse(int(first.head.GetStatus()), first.head.GetContentType(), b.body)
	}
	writeResponse(rc, first.head, b)
}

// setRecordKey sets the key under which a non-idempotent call is recorded. If the caller
// sent no idempotency key, the request ID is used and the call cannot be repeated. An
// invalid key is rejected, and setRecordKey reports false.
func (c *call) setRecordKey(rc *fasthttp.RequestCtx) bool {
	key := string(rc.Request.Header.Peek(HeaderIdempotencyKey))
	if len(key) > maxKeyLength {
		rejectInput(rc, codeBadRequest, HeaderIdempotencyKey, "must not be longer than %d bytes", maxKeyLength)
		return false
	}
	if key == "" {
		key = c.request.ID
	}
	c.dispatch.IdempotencyKey = key
	c.recordKey = c.request.Account + "/" + c.request.Service + "/" + key
	c.bodyDigest = string(filbertstile.DigestOf([]byte(c.dispatch.GetMethod() + " " + c.dispatch.GetPath() + "\n" + string(c.dispatch.GetBody()))))
	return true
}
