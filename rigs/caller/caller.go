// Package caller is an ordinary HTTP client of the system, for tests and the
// demo: it asks which entries to use, keeps the answer for as long as it was
// told, sends requests and checks every answer by its content.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/shells/entryrunner"
	"filbertstile.example/filbertstile/transport/responder"
)

// Config describes a caller.
type Config struct {
	Client *http.Client
	// Seeds are addresses of entries that the caller knows from its settings.
	Seeds []string
	// Fixed makes the caller use one entry only, whatever the list says.
	Fixed string
	Token string
	Seed  uint64
}

// Caller sends requests of one client account.
type Caller struct {
	config Config
	// lock is a channel, as it is held while an entry is asked.
	lock  chan struct{}
	rng   *rand.Rand
	known []string
	until time.Time
}

// New returns a caller that has asked nobody yet.
func New(c Config) *Caller {
	return &Caller{config: c, lock: make(chan struct{}, 1), rng: rand.New(rand.NewPCG(c.Seed, 1))}
}

// Kind tells what was called.
type Kind string

// Kinds of call.
const (
	KindCompletion Kind = "Completion"
	KindOrder      Kind = "Order"
	KindQuery      Kind = "Query"
)

// Result is what a caller was told.
type Result struct {
	Kind    Kind
	Service string
	// Key is the Idempotency-Key, and Body the body, of an order.
	Key    string
	Body   string
	Prompt string
	Tokens int
	Status int
	// Code and Run are from an error answer.
	Code    string
	Run     filbertstile.RunState
	Release string
	Text    string
	Server  string
	Request string
	At      time.Time
	Latency time.Duration
	// FirstToken is the time until the first part of a streamed answer.
	FirstToken time.Duration
	RetryAfter string
	// Whole is true if the answer came with its end.
	Whole bool
	Err   string
}

// OK tells whether the caller got its answer.
func (r Result) OK() bool { return r.Status == http.StatusOK && r.Whole }

// entry returns an entry to use.
func (c *Caller) entry(ctx context.Context) (string, error) {
	if c.config.Fixed != "" {
		return c.config.Fixed, nil
	}
	c.lock <- struct{}{}
	defer func() { <-c.lock }()
	if time.Now().Before(c.until) && len(c.known) > 0 {
		return c.known[c.rng.IntN(len(c.known))], nil
	}
	tries := append(append([]string(nil), c.known...), c.config.Seeds...)
	var last error
	for range tries {
		at := tries[c.rng.IntN(len(tries))]
		found, err := c.discover(ctx, at)
		if err != nil {
			last = err
			continue
		}
		c.known = c.known[:0]
		for _, e := range found.Entries {
			c.known = append(c.known, e.Address)
		}
		c.until = time.Now().Add(time.Duration(found.ValidSeconds * float64(time.Second)))
		if len(c.known) > 0 {
			return c.known[c.rng.IntN(len(c.known))], nil
		}
	}
	return "", fmt.Errorf("no entry answers: %w", last)
}

// Forget drops an entry that did not answer, until the list is asked again.
func (c *Caller) forget(address string) {
	c.lock <- struct{}{}
	defer func() { <-c.lock }()
	kept := c.known[:0]
	for _, a := range c.known {
		if a != address {
			kept = append(kept, a)
		}
	}
	c.known = kept
}

const discoverTimeout = 2 * time.Second

func (c *Caller) discover(ctx context.Context, address string) (entryrunner.Entries, error) {
	ctx, cancel := context.WithTimeout(ctx, discoverTimeout)
	defer cancel()
	var out entryrunner.Entries
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return out, err
	}
	resp, err := c.config.Client.Do(req)
	if err != nil {
		return out, err
	}
	defer func() { _ = resp.Body.Close() }()
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// post sends one request and hands the answer to read.
func (c *Caller) post(ctx context.Context, r *Result, method, path, body string, read func(*http.Response, *Result)) {
	r.At = time.Now()
	defer func() { r.Latency = time.Since(r.At) }()
	address, err := c.entry(ctx)
	if err != nil {
		r.Err = err.Error()
		return
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		r.Err = err.Error()
		return
	}
	// An ordinary client repeats nothing by itself that it may not repeat.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.config.Token)
	req.Header.Set("Content-Type", "application/json")
	if r.Key != "" {
		req.Header.Set(entryrunner.HeaderIdempotencyKey, r.Key)
	}
	resp, err := c.config.Client.Do(req)
	if err != nil {
		r.Err = err.Error()
		c.forget(address)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	r.Status = resp.StatusCode
	r.Release = resp.Header.Get(entryrunner.HeaderRelease)
	r.Request = resp.Header.Get(entryrunner.HeaderRequest)
	r.RetryAfter = resp.Header.Get("Retry-After")
	if resp.StatusCode != http.StatusOK {
		readProblem(resp, r)
		return
	}
	read(resp, r)
}

func readProblem(resp *http.Response, r *Result) {
	var p responder.Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		r.Err = err.Error()
		return
	}
	r.Code = p.Error.Code
	r.Run = filbertstile.RunState(p.Error.Run)
	r.Err = p.Error.Message
}

// Complete asks a model; the answer is streamed or comes whole.
func (c *Caller) Complete(ctx context.Context, service, prompt string, tokens int, stream bool) Result {
	r := Result{Kind: KindCompletion, Service: service, Prompt: prompt, Tokens: tokens}
	body, err := json.Marshal(map[string]any{
		"model": service, "max_tokens": tokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		r.Err = err.Error()
		return r
	}
	read := readWhole
	if stream {
		read = readStream
	}
	c.post(ctx, &r, http.MethodPost, "/v1/chat/completions", string(body), read)
	return r
}

func readWhole(resp *http.Response, r *Result) {
	var chunk entryrunner.Chunk
	if err := json.NewDecoder(resp.Body).Decode(&chunk); err != nil {
		r.Err = err.Error()
		return
	}
	if len(chunk.Choices) == 1 && chunk.Choices[0].Message != nil {
		r.Text = chunk.Choices[0].Message.Content
		r.Whole = true
	}
}

func readStream(resp *http.Response, r *Result) {
	lines := bufio.NewScanner(resp.Body)
	var text strings.Builder
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if r.FirstToken == 0 {
			r.FirstToken = time.Since(r.At)
		}
		if string(data) == "[DONE]" {
			r.Whole = true
			break
		}
		var p responder.Problem
		if json.Unmarshal(data, &p) == nil && p.Error.Code != "" {
			r.Code, r.Run, r.Err = p.Error.Code, filbertstile.RunState(p.Error.Run), p.Error.Message
			break
		}
		var chunk entryrunner.Chunk
		if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Delta == nil {
			r.Err = fmt.Sprintf("event %q is no chunk", data)
			break
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	r.Text = text.String()
	if err := lines.Err(); err != nil && !r.Whole {
		r.Err = err.Error()
	}
	_, _ = io.Copy(io.Discard, resp.Body)
}

// Order sends a non-idempotent call to a plain service.
func (c *Caller) Order(ctx context.Context, service, key, body string) Result {
	r := Result{Kind: KindOrder, Service: service, Key: key, Body: body}
	c.post(ctx, &r, http.MethodPost, "/services/"+service+"/orders", body, readPlain)
	return r
}

// Query sends an idempotent call to a plain service.
func (c *Caller) Query(ctx context.Context, service string) Result {
	r := Result{Kind: KindQuery, Service: service}
	c.post(ctx, &r, http.MethodGet, "/services/"+service+"/state-of-things", "", readPlain)
	return r
}

func readPlain(resp *http.Response, r *Result) {
	var reply imitator.PlainReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		r.Err = err.Error()
		return
	}
	r.Server = reply.Server
	r.Text = string(reply.BodyDigest)
	r.Whole = true
}
