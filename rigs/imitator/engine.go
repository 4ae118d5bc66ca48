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

// maxWeightBytes bounds the weights that an engine accepts.
const maxWeightBytes = 1 << 30

// EngineConfig describes a model engine.
type EngineConfig struct {
	Name string
	// Slots is the number of requests that run together when warm.
	Slots int
	// TokenDelay is the time between two tokens.
	TokenDelay time.Duration
	// ChecksFencing makes the engine refuse old fencing numbers.
	ChecksFencing bool
	// LoadDelay is how long a load takes after the weights arrived.
	LoadDelay time.Duration
}

// Execution is a journal entry: work that a backend server truly ran.
type Execution struct {
	RequestID string
	Key       string
	Account   string
	Host      string
	// Whole is the digest of the weights that ran it.
	Whole      filbertstile.Digest
	BodyDigest filbertstile.Digest
	Method     string
	Offset     int
	At         time.Time
	Finished   bool
}

// Engine is a stand-in for a model engine: it answers with tokens that follow
// from the digest of its weights and the prompt.
type Engine struct {
	config    EngineConfig
	mu        sync.Mutex
	loaded    filbertstile.Digest
	role      string
	fence     uint64
	running   int
	waiting   []*waiter
	completed int
	cold      bool
	broken    bool
	overborne int
	journal   []Execution
	cancelled map[string]bool
	seq       int
}

type waiter struct {
	priority int
	seq      int
	ready    chan struct{}
}

// NewEngine returns an engine without weights.
func NewEngine(c EngineConfig) *Engine {
	return &Engine{config: c, cancelled: make(map[string]bool)}
}

// Journal returns what truly ran.
func (e *Engine) Journal() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.journal)
}

// Overborne returns how many requests came on top of what the engine bore.
func (e *Engine) Overborne() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overborne
}

// TurnCold makes a warm engine cold without warning.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = true
	e.completed = 0
}

// SetBroken makes the engine fail every request.
func (e *Engine) SetBroken(broken bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.broken = broken
}

// Serve answers until the context ends.
func (e *Engine) Serve(ctx context.Context, l net.Listener) error {
	return responder.Serve(ctx, l, responder.Config{
		Name: e.config.Name, Handler: e.handle, MaxBodyBytes: maxWeightBytes, StreamBodies: true,
	})
}

func (e *Engine) handle(rc *fasthttp.RequestCtx) {
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
		Loaded: e.loaded, Role: e.role, Cold: e.cold, Running: e.running, Waiting: len(e.waiting),
	}
}

func (e *Engine) load(rc *fasthttp.RequestCtx) {
	args := rc.QueryArgs()
	fence, err := strconv.ParseUint(string(args.Peek("fence")), 10, 64)
	if err != nil {
		rc.Error("fence: not a number", fasthttp.StatusBadRequest)
		return
	}
	if !e.admitOrder(fence) {
		rc.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	h := sha256.New()
	if err := readBody(rc, h); err != nil {
		rc.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	got := filbertstile.Digest(hex.EncodeToString(h.Sum(nil)))
	if got != filbertstile.Digest(args.Peek("whole")) {
		rc.Error("weights do not have the digest of the order", fasthttp.StatusUnprocessableEntity)
		return
	}
	time.Sleep(e.config.LoadDelay)
	e.mu.Lock()
	e.loaded = got
	e.role = string(args.Peek("role"))
	e.cold = true
	e.completed = 0
	e.mu.Unlock()
	responder.WriteJSON(rc, fasthttp.StatusOK, e.state())
}

func readBody(rc *fasthttp.RequestCtx, h hash.Hash) error {
	if s := rc.RequestBodyStream(); s != nil {
		_, err := io.Copy(h, s)
		return err
	}
	_, err := h.Write(rc.PostBody())
	return err
}

func (e *Engine) admitOrder(fence uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && fence < e.fence {
		return false
	}
	e.fence = max(e.fence, fence)
	return true
}

// bears returns how many requests the engine can have in hand now.
func (e *Engine) bears() int {
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

// Token returns token i that weights of the digest answer to the prompt.
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
	turn, index, whole, ok := e.start(Execution{
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
		if turn != nil {
			<-turn.ready
		}
		for i := offset; i < in.MaxTokens; i++ {
			time.Sleep(e.config.TokenDelay)
			if e.stopped(id) {
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

func (e *Engine) stopped(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled[id] || e.broken
}

func (e *Engine) start(x Execution, priority int) (*waiter, int, filbertstile.Digest, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loaded == "" || e.broken {
		return nil, 0, "", false
	}
	if e.running+len(e.waiting) >= e.bears() {
		e.overborne++
		e.cold = true
		e.completed = 0
		return nil, 0, "", false
	}
	x.Host = e.config.Name
	x.Whole = e.loaded
	x.At = time.Now()
	e.journal = append(e.journal, x)
	index := len(e.journal) - 1
	if e.running < e.config.Slots {
		e.running++
		return nil, index, e.loaded, true
	}
	e.seq++
	w := &waiter{priority: priority, seq: e.seq, ready: make(chan struct{})}
	e.waiting = append(e.waiting, w)
	slices.SortFunc(e.waiting, func(a, b *waiter) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return a.seq - b.seq
	})
	return w, index, e.loaded, true
}

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
	if len(e.waiting) > 0 {
		close(e.waiting[0].ready)
		e.waiting = e.waiting[1:]
		return
	}
	e.running--
}
