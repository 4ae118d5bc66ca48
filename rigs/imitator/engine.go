package imitator

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/outside/invoker"
	"filbertstile.example/filbertstile/transport/responder"
)

// maxWeightBytes is the maximum size of the weights that an engine accepts.
const maxWeightBytes = 1 << 30

// EngineConfig configures an Engine.
type EngineConfig struct {
	Name string
	// Slots is the maximum number of requests that run at the same time. A warm engine
	// queues up to three times as many.
	Slots int
	// TokenDelay is the time between two tokens.
	TokenDelay time.Duration
	// ChecksFencing is true if the engine rejects load orders with a stale fencing
	// token.
	ChecksFencing bool
	// LoadDelay is the time that a load takes after the weights have arrived.
	LoadDelay time.Duration
}

// Execution is a journal entry for a request that a backend server actually ran.
type Execution struct {
	RequestID      string
	IdempotencyKey string
	Account        string
	// Host is the name of the backend server.
	Host string
	// Whole is the Manifest.Whole digest of the weights with which the request ran.
	Whole      filbertstile.Digest
	BodyDigest filbertstile.Digest
	Method     string
	// Offset is the number of tokens that the caller had already received.
	Offset int
	// AcceptedAt is the time at which the backend server accepted the request. The
	// request may have waited for a slot afterwards.
	AcceptedAt time.Time
	// Finished is true if an engine sent the complete response, or a plain service ran
	// the call to its end.
	Finished bool
}

// Engine is a stand-in for a model engine. The tokens of its responses are a function of
// the digest of its weights and the prompt.
type Engine struct {
	config EngineConfig
	mu     sync.Mutex
	loaded filbertstile.Digest
	role   string
	// maxFence is the highest fencing token that the engine has seen.
	maxFence uint64
	running  int
	queue    []*queuedRequest
	// completed is the number of requests completed since the engine last became cold.
	completed int
	// cold is true while the engine warms up; see concurrencyLimit.
	cold   bool
	broken bool
	// silentUntil is the end of the latest silence.
	silentUntil time.Time
	overloads   int
	journal     []Execution
	// cancelled holds the IDs of cancelled requests.
	cancelled map[string]bool
	// seq is the sequence number of the request that was queued last.
	seq int
}

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	priority int
	seq      int
	// ready is closed when the request gets a slot.
	ready chan struct{}
}

// NewEngine returns an engine without weights.
func NewEngine(c EngineConfig) *Engine {
	return &Engine{config: c, cancelled: make(map[string]bool)}
}

// Journal returns the requests that the engine ran, in the order in which it admitted
// them.
func (e *Engine) Journal() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.journal)
}

// Overloads returns the number of requests that the engine rejected because it was at its
// concurrency limit.
func (e *Engine) Overloads() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overloads
}

// TurnCold makes a warm engine cold, as a load does, but without a load order.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = true
	e.completed = 0
}

// SetBroken sets whether the engine rejects new requests and aborts running ones.
func (e *Engine) SetBroken(broken bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.broken = broken
}

// FallSilent makes the engine send nothing for the given time, and go on afterwards.
func (e *Engine) FallSilent(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil = time.Now().Add(d)
}

// awaitSilence waits until the engine is not silent.
func (e *Engine) awaitSilence() {
	e.mu.Lock()
	left := time.Until(e.silentUntil)
	e.mu.Unlock()
	time.Sleep(left)
}

// Serve serves requests until the context ends.
func (e *Engine) Serve(ctx context.Context, l net.Listener) error {
	return responder.Serve(ctx, l, responder.Config{
		Name: e.config.Name, Handler: e.handle, MaxBodyBytes: maxWeightBytes, StreamBodies: true,
	})
}

func (e *Engine) handle(rc *fasthttp.RequestCtx) {
	e.awaitSilence()
	switch string(rc.Path()) {
	case "/state":
		responder.WriteJSON(rc, fasthttp.StatusOK, e.state())
	case "/orders/load":
		e.load(rc)
	case "/orders/cancel":
		e.mu.Lock()
		e.cancelled[string(rc.QueryArgs().Peek("request"))] = true
		e.mu.Unlock()
	case "/v1/chat/completions":
		e.complete(rc)
	default:
		rc.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (e *Engine) state() filbertstile.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return filbertstile.EngineState{
		Loaded: e.loaded, Role: e.role, Cold: e.cold, Running: e.running, Waiting: len(e.queue),
	}
}

func (e *Engine) load(rc *fasthttp.RequestCtx) {
	args := rc.QueryArgs()
	token, err := strconv.ParseUint(string(args.Peek("fence")), 10, 64)
	if err != nil {
		rc.Error("fence: not a number", fasthttp.StatusBadRequest)
		return
	}
	if !e.admitOrder(token) {
		rc.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	h := sha256.New()
	if err := hashBody(rc, h); err != nil {
		rc.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	digest := filbertstile.Digest(hex.EncodeToString(h.Sum(nil)))
	if digest != filbertstile.Digest(args.Peek("whole")) {
		rc.Error("weights do not match the digest of the load order", fasthttp.StatusUnprocessableEntity)
		return
	}
	time.Sleep(e.config.LoadDelay)
	e.mu.Lock()
	e.loaded = digest
	e.role = string(args.Peek("role"))
	e.cold = true
	e.completed = 0
	e.mu.Unlock()
	responder.WriteJSON(rc, fasthttp.StatusOK, e.state())
}

// hashBody writes the request body to h.
func hashBody(rc *fasthttp.RequestCtx, h hash.Hash) error {
	if s := rc.RequestBodyStream(); s != nil {
		_, err := io.Copy(h, s)
		return err
	}
	_, err := h.Write(rc.PostBody())
	return err
}

// admitOrder reports whether the engine accepts a load order with the fencing token. It
// updates maxFence if so.
func (e *Engine) admitOrder(token uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && token < e.maxFence {
		return false
	}
	e.maxFence = max(e.maxFence, token)
	return true
}

// concurrencyLimit returns the maximum number of running and queued requests. The limit
// of a cold engine starts at 1 and grows by 1 with each completed request until the engine
// is warm.
func (e *Engine) concurrencyLimit() int {
	if !e.cold {
		return 4 * e.config.Slots
	}
	return 1 + e.completed
}

type completionRequest struct {
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
}

// Token returns token i of the response to the prompt by an engine that runs the weights
// with the digest.
func Token(whole filbertstile.Digest, prompt string, i int) string {
	h := sha256.New()
	h.Write([]byte(whole))
	h.Write([]byte(prompt))
	_ = binary.Write(h, binary.BigEndian, int64(i))
	return hex.EncodeToString(h.Sum(nil)[:4]) + " "
}

func (e *Engine) complete(rc *fasthttp.RequestCtx) {
	var in completionRequest
	body := rc.PostBody()
	if err := json.Unmarshal(body, &in); err != nil {
		rc.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	prompt := ""
	for _, m := range in.Messages {
		prompt += m.Content
	}
	if in.MaxTokens == 0 {
		in.MaxTokens = 16
	}
	id := string(rc.Request.Header.Peek(invoker.HeaderRequestID))
	offset, _ := strconv.Atoi(string(rc.Request.Header.Peek(invoker.HeaderOffset)))
	priority, _ := strconv.Atoi(string(rc.Request.Header.Peek(invoker.HeaderPriority)))
	queued, index, whole, ok := e.start(Execution{
		RequestID: id, Account: string(rc.Request.Header.Peek(invoker.HeaderAccount)),
		Offset: offset, BodyDigest: filbertstile.DigestOf(body),
	}, priority)
	if !ok {
		rc.Error("engine is overloaded or not ready", fasthttp.StatusServiceUnavailable)
		return
	}
	rc.SetContentType("text/event-stream")
	rc.SetBodyStreamWriter(func(w *bufio.Writer) {
		finished := false
		defer func() { e.finish(index, finished) }()
		if queued != nil {
			<-queued.ready
		}
		for i := offset; i < in.MaxTokens; i++ {
			time.Sleep(e.config.TokenDelay)
			e.awaitSilence()
			if e.shouldAbort(id) {
				return
			}
			fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", Token(whole, prompt, i))
			if w.Flush() != nil {
				return
			}
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
		finished = w.Flush() == nil
	})
}

// shouldAbort reports whether the request must be aborted.
func (e *Engine) shouldAbort(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled[id] || e.broken
}

// start admits a request and adds it to the journal. It returns the queued request
// (nil if it got a slot at once), the index of its journal entry, the digest of the weights,
// and whether the request was admitted. A request above the concurrency limit is rejected
// and makes the engine cold.
func (e *Engine) start(x Execution, priority int) (*queuedRequest, int, filbertstile.Digest, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loaded == "" || e.broken {
		return nil, 0, "", false
	}
	if e.running+len(e.queue) >= e.concurrencyLimit() {
		e.overloads++
		e.cold = true
		e.completed = 0
		return nil, 0, "", false
	}
	x.Host = e.config.Name
	x.Whole = e.loaded
	x.AcceptedAt = time.Now()
	e.journal = append(e.journal, x)
	index := len(e.journal) - 1
	if e.running < e.config.Slots {
		e.running++
		return nil, index, e.loaded, true
	}
	e.seq++
	q := &queuedRequest{priority: priority, seq: e.seq, ready: make(chan struct{})}
	e.queue = append(e.queue, q)
	slices.SortFunc(e.queue, func(a, b *queuedRequest) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return a.seq - b.seq
	})
	return q, index, e.loaded, true
}

// finish ends a request and gives its slot to the next queued request.
func (e *Engine) finish(index int, finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.journal[index].Finished = finished
	if finished {
		e.completed++
	}
	if e.cold && e.completed >= 4*e.config.Slots {
		e.cold = false
	}
	if len(e.queue) > 0 {
		close(e.queue[0].ready)
		e.queue = e.queue[1:]
		return
	}
	e.running--
}
