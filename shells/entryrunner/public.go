package entryrunner

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/transport/responder"
)

// Header fields towards callers.
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
	affinityBytes   = 256
	maxKeyLength    = 256
	maxTimeout      = time.Hour
)

// accountIndex finds accounts by the digest of their token.
type accountIndex struct {
	byToken map[string]filbertstile.Account
}

func newAccountIndex(c filbertstile.Config) *accountIndex {
	x := &accountIndex{byToken: make(map[string]filbertstile.Account, c.Accounts.Len())}
	for _, a := range c.Accounts.All() {
		x.byToken[a.TokenDigest] = a
	}
	return x
}

func bearer(rc *fasthttp.RequestCtx) string {
	token, _ := strings.CutPrefix(string(rc.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	return token
}

// account returns the client account that the request names.
func (e *Entry) account(rc *fasthttp.RequestCtx) (filbertstile.Account, bool) {
	a, ok := e.accounts.Load().byToken[string(filbertstile.DigestOf([]byte(bearer(rc))))]
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

// EntryAddress is an entry that callers may use.
type EntryAddress struct {
	Name    string
	Address string
	Domain  string
	Region  string
}

// Entries is the answer of /v1/entries.
type Entries struct {
	Entries []EntryAddress
	// ValidSeconds is how long callers may keep the answer.
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

// statusOf maps refusals to HTTP.
func statusOf(code string) int {
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
	case codeMismatch:
		return fasthttp.StatusUnprocessableEntity
	case dispatcher.CodeRateLimited:
		return fasthttp.StatusTooManyRequests
	case dispatcher.CodeDeadline:
		return fasthttp.StatusGatewayTimeout
	case dispatcher.CodeBackendFailed, dispatcher.CodeContactLost, codeUnknown, codeTorn, codeOmitted:
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
	responder.WriteProblem(rc, statusOf(err.Code), responder.ProblemDetail{Code: err.Code, Message: err.Detail, Run: string(err.Run), Field: field})
}

func refuseInput(rc *fasthttp.RequestCtx, code, field, format string, args ...any) {
	writeError(rc, filbertstile.ErrRequest{Code: code, Run: filbertstile.NotRun, Step: "read request", Detail: fmt.Sprintf(format, args...)}, field)
}

// newCall checks what all calls have in common.
func (e *Entry) newCall(rc *fasthttp.RequestCtx, service string) (*call, bool) {
	a, ok := e.account(rc)
	if !ok {
		refuseInput(rc, codeNoToken, "Authorization", "no client account has this bearer token")
		return nil, false
	}
	timeout := time.Duration(e.config.Settings.CallTimeout)
	if raw := string(rc.Request.Header.Peek(HeaderTimeout)); raw != "" {
		seconds, err := strconv.ParseFloat(raw, 64)
		if err != nil || !(seconds > 0 && seconds <= maxTimeout.Seconds()) {
			refuseInput(rc, codeBadRequest, HeaderTimeout, "must be a number of seconds above 0 and at most %v", maxTimeout.Seconds())
			return nil, false
		}
		timeout = time.Duration(seconds * float64(time.Second))
	}
	c := &call{request: dispatcher.Request{ID: uuid.NewString(), Account: a.Name, Service: service, Deadline: time.Now().Add(timeout)}}
	c.work = wire.Dispatch{Service: service, Account: a.Name}
	return c, true
}

// completion is the part of a chat completion request that the entry reads.
type completion struct {
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
}

func (e *Entry) handleCompletions(rc *fasthttp.RequestCtx) {
	if !rc.IsPost() {
		refuseInput(rc, codeBadRequest, "method", "must be POST")
		return
	}
	in, body, field, err := parseCompletion(rc.PostBody())
	if err != nil {
		refuseInput(rc, codeBadJSON, field, "%v", err)
		return
	}
	service, ok := e.node.Holder.View().Config.Services.Get(in.Model)
	if ok && service.Kind != filbertstile.ServiceModel {
		refuseInput(rc, codeBadRequest, "model", "%q is a plain service; call %s%s/", in.Model, pathServices, in.Model)
		return
	}
	c, ok := e.newCall(rc, in.Model)
	if !ok {
		return
	}
	c.request.Affinity = prefixHash(in.Messages)
	c.request.Idempotent = true
	c.work.Method = fasthttp.MethodPost
	c.work.Path = pathCompletions
	c.work.Body = body
	c.work.Stream = in.Stream
	rc.Response.Header.Set(HeaderRequest, c.request.ID)
	pieces := e.start(c)
	first := firstOf(pieces)
	if first.err != nil {
		writeError(rc, *first.err, "")
		return
	}
	if first.head.GetStatus() != fasthttp.StatusOK {
		writePlain(rc, first.head, gather(pieces))
		return
	}
	rc.Response.Header.Set(HeaderRelease, first.head.GetRelease())
	if in.Stream {
		streamEvents(rc, c, first.head.GetRelease(), pieces)
		return
	}
	writeCompletion(rc, c, first.head.GetRelease(), pieces)
}

// parseCompletion checks the request, and returns the body for the engine: the
// answer between engine and entry always streams, so that it can be resumed.
func parseCompletion(raw []byte) (completion, []byte, string, error) {
	var in completion
	var all map[string]json.RawMessage
	if err := json.Unmarshal(raw, &all); err != nil {
		return in, nil, "body", err
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		field := "body"
		if typed, ok := err.(*json.UnmarshalTypeError); ok {
			field = typed.Field
		}
		return in, nil, field, err
	}
	if in.Model == "" {
		return in, nil, "model", fmt.Errorf("is missing: name the service")
	}
	if len(in.Messages) == 0 {
		return in, nil, "messages", fmt.Errorf("must hold at least one message")
	}
	all["stream"] = json.RawMessage("true")
	body, err := json.Marshal(all)
	return in, body, "body", err
}

// prefixHash hashes the start of the prompt, which decides what an engine may
// have cached.
func prefixHash(messages []json.RawMessage) uint64 {
	first := messages[0]
	return xxhash.Sum64(first[:min(len(first), affinityBytes)])
}

type gathered struct {
	body []byte
	err  *filbertstile.ErrRequest
}

// gather reads the answer up to its end.
func gather(pieces <-chan piece) gathered {
	var out bytes.Buffer
	for p := range pieces {
		if p.err != nil {
			return gathered{err: p.err}
		}
		if p.end {
			return gathered{body: out.Bytes()}
		}
		out.Write(p.data)
	}
	return gathered{err: &filbertstile.ErrRequest{Code: codeTorn, Run: filbertstile.Unknown, Step: "read answer", Detail: "the answer has no end"}}
}

func writePlain(rc *fasthttp.RequestCtx, head *wire.Head, g gathered) {
	if g.err != nil {
		writeError(rc, *g.err, "")
		return
	}
	rc.SetStatusCode(int(head.GetStatus()))
	rc.SetContentType(head.GetContentType())
	rc.SetBody(g.body)
}

// Chunk is one event of a streamed completion, in the OpenAI shape.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// Choice is an alternative of an answer, in the OpenAI shape.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a message of an answer, in the OpenAI shape.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func writeCompletion(rc *fasthttp.RequestCtx, c *call, release string, pieces <-chan piece) {
	g := gather(pieces)
	if g.err != nil {
		writeError(rc, *g.err, "")
		return
	}
	stop := "stop"
	responder.WriteJSON(rc, fasthttp.StatusOK, Chunk{
		ID: c.request.ID, Object: "chat.completion", Created: c.started.Unix(), Model: release,
		Choices: []Choice{{Message: &Message{Role: "assistant", Content: string(g.body)}, FinishReason: &stop}},
	})
}

// streamEvents writes server-sent events; the last one is [DONE] only if the
// answer is whole, and an error event otherwise.
func streamEvents(rc *fasthttp.RequestCtx, c *call, release string, pieces <-chan piece) {
	rc.SetContentType("text/event-stream")
	rc.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	chunk := Chunk{ID: c.request.ID, Object: "chat.completion.chunk", Created: c.started.Unix(), Model: release}
	rc.SetBodyStreamWriter(func(w *bufio.Writer) {
		// A caller that goes away ends the call.
		defer c.leave()
		for p := range pieces {
			if !writeEvent(w, chunk, p) {
				return
			}
			// What is at hand goes out together.
			if len(pieces) == 0 && w.Flush() != nil {
				return
			}
			if p.end || p.err != nil {
				return
			}
		}
	})
}

// leave gives the call up if it is still under way.
func (c *call) leave() {
	c.entry.loop.Post(dispatcher.CallerGone{ID: c.request.ID})
	c.cancel()
}

func writeEvent(w *bufio.Writer, chunk Chunk, p piece) bool {
	switch {
	case p.err != nil:
		data, err := json.Marshal(responder.Problem{Error: responder.ProblemDetail{Code: p.err.Code, Message: p.err.Detail, Run: string(p.err.Run)}})
		return err == nil && event(w, data)
	case p.end:
		stop := "stop"
		chunk.Choices = []Choice{{Delta: &Message{}, FinishReason: &stop}}
		data, err := json.Marshal(chunk)
		return err == nil && event(w, data) && event(w, []byte("[DONE]"))
	default:
		chunk.Choices = []Choice{{Delta: &Message{Content: string(p.data)}}}
		data, err := json.Marshal(chunk)
		return err == nil && event(w, data)
	}
}

func event(w *bufio.Writer, data []byte) bool {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, err := w.WriteString("\n\n")
	return err == nil
}

// handleService passes a call to a plain service.
func (e *Entry) handleService(rc *fasthttp.RequestCtx, rest string) {
	name, path, _ := strings.Cut(rest, "/")
	service, ok := e.node.Holder.View().Config.Services.Get(name)
	if !ok {
		refuseInput(rc, dispatcher.CodeUnknownService, "path", "no service is named %q", name)
		return
	}
	if service.Kind != filbertstile.ServicePlain {
		refuseInput(rc, codeBadRequest, "path", "%q is a model; call %s", name, pathCompletions)
		return
	}
	c, ok := e.newCall(rc, name)
	if !ok {
		return
	}
	c.work.Method = string(rc.Method())
	c.work.Path = "/" + path
	if q := rc.QueryArgs().String(); q != "" {
		c.work.Path += "?" + q
	}
	c.work.Body = bytes.Clone(rc.PostBody())
	c.request.Once = service.NonIdempotent(c.work.GetMethod())
	c.request.Idempotent = !c.request.Once
	if c.request.Once && !c.identify(rc) {
		return
	}
	rc.Response.Header.Set(HeaderRequest, c.request.ID)
	pieces := e.start(c)
	first := firstOf(pieces)
	if first.err != nil {
		writeError(rc, *first.err, "")
		return
	}
	g := gather(pieces)
	if g.err == nil {
		c.settle(int(first.head.GetStatus()), first.head.GetContentType(), g.body)
	}
	writePlain(rc, first.head, g)
}

// identify gives a non-idempotent call the key of its record. Without a key
// from the caller the call cannot be repeated.
func (c *call) identify(rc *fasthttp.RequestCtx) bool {
	key := string(rc.Request.Header.Peek(HeaderIdempotencyKey))
	if len(key) > maxKeyLength {
		refuseInput(rc, codeBadRequest, HeaderIdempotencyKey, "must not be longer than %d bytes", maxKeyLength)
		return false
	}
	if key == "" {
		key = c.request.ID
	}
	c.work.IdempotencyKey = key
	c.recordKey = c.request.Account + "/" + c.request.Service + "/" + key
	c.bodyDigest = string(filbertstile.DigestOf([]byte(c.work.GetMethod() + " " + c.work.GetPath() + "\n" + string(c.work.GetBody()))))
	return true
}
