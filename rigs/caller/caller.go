// Package caller is an HTTP client of the system for tests and the demo. It fetches
// the list of entries, caches it for as long as the list is valid, sends requests to
// the entries and returns the results.
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

// Config is the configuration of a Caller.
type Config struct {
	Client *http.Client
	// InitialEntries are the addresses of entries from which the caller may fetch the
	// list, in addition to the entries of the last list.
	InitialEntries []string
	// FixedEntry is the address of the only entry to use, regardless of the list of
	// entries; empty means to use the list.
	FixedEntry string
	// Token is the bearer token of the client account.
	Token string
	// Seed is the seed of the random choice of entries.
	Seed uint64
}

// Caller sends the requests of one client account.
type Caller struct {
	config Config
	// lock guards the fields below. It is a channel because it is held during a call to
	// an entry: virtual time does not advance while a goroutine waits for a mutex.
	lock          chan struct{}
	rng           *rand.Rand
	entries       []string
	entriesExpire time.Time
}

// New returns a caller that has not fetched the list of entries yet.
func New(c Config) *Caller {
	return &Caller{config: c, lock: make(chan struct{}, 1), rng: rand.New(rand.NewPCG(c.Seed, 1))}
}

// Kind is the kind of a call.
type Kind string

// Kinds of call.
const (
	KindCompletion Kind = "Completion"
	KindOrder      Kind = "Order"
	KindQuery      Kind = "Query"
)

// Result is the result of a call as the caller received it.
type Result struct {
	Kind    Kind
	Service string
	// Key and Body are the Idempotency-Key and the body of an order.
	Key  string
	Body string
	// Prompt and Tokens are the prompt and the number of tokens of a completion.
	Prompt string
	Tokens int
	Status int
	// Code and Run are the error code and the run state of an error response.
	Code    string
	Run     filbertstile.RunState
	Release string
	Text    string
	// Server is the backend server that responded to an order or a query.
	Server string
	// Request is the ID that the entry gave the request.
	Request string
	// At is the time at which the call started.
	At      time.Time
	Latency time.Duration
	// FirstToken is the time until the first event of a streamed response.
	FirstToken time.Duration
	RetryAfter string
	// Whole is true if the response is complete.
	Whole bool
	// Err is the message of an error response or of a failure of the call.
	Err string
}

// OK reports whether the call succeeded and its response is complete.
func (r Result) OK() bool { return r.Status == http.StatusOK && r.Whole }

// pickEntry returns the address of an entry to use. It fetches the list of entries if the
// cached one is no longer valid or is empty.
func (c *Caller) pickEntry(ctx context.Context) (string, error) {
	if c.config.FixedEntry != "" {
		return c.config.FixedEntry, nil
	}
	c.lock <- struct{}{}
	defer func() { <-c.lock }()
	if time.Now().Before(c.entriesExpire) && len(c.entries) > 0 {
		return c.entries[c.rng.IntN(len(c.entries))], nil
	}
	candidates := append(append([]string(nil), c.entries...), c.config.InitialEntries...)
	var lastErr error
	for range candidates {
		address := candidates[c.rng.IntN(len(candidates))]
		found, err := c.fetchEntries(ctx, address)
		if err != nil {
			lastErr = err
			continue
		}
		c.entries = c.entries[:0]
		for _, e := range found.Entries {
			c.entries = append(c.entries, e.Address)
		}
		c.entriesExpire = time.Now().Add(time.Duration(found.ValidSeconds * float64(time.Second)))
		if len(c.entries) > 0 {
			return c.entries[c.rng.IntN(len(c.entries))], nil
		}
	}
	return "", fmt.Errorf("cannot fetch the list of entries from any entry: %w", lastErr)
}

// dropEntry removes an entry from the cached list after a failed call, until the list is
// fetched again.
func (c *Caller) dropEntry(address string) {
	c.lock <- struct{}{}
	defer func() { <-c.lock }()
	kept := c.entries[:0]
	for _, a := range c.entries {
		if a != address {
			kept = append(kept, a)
		}
	}
	c.entries = kept
}

// fetchEntriesTimeout is the timeout for fetching the list from one entry.
const fetchEntriesTimeout = 2 * time.Second

// fetchEntries fetches the list of entries from the entry at the address.
func (c *Caller) fetchEntries(ctx context.Context, address string) (entryrunner.Entries, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchEntriesTimeout)
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

// send sends one request and calls read on a successful response.
func (c *Caller) send(ctx context.Context, r *Result, method, path, body string, read func(*http.Response, *Result)) {
	r.At = time.Now()
	defer func() { r.Latency = time.Since(r.At) }()
	address, err := c.pickEntry(ctx)
	if err != nil {
		r.Err = err.Error()
		return
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		r.Err = err.Error()
		return
	}
	// Without GetBody the client does not resend a request by itself, as a request that
	// is not idempotent must not be repeated.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.config.Token)
	req.Header.Set("Content-Type", "application/json")
	if r.Key != "" {
		req.Header.Set(entryrunner.HeaderIdempotencyKey, r.Key)
	}
	resp, err := c.config.Client.Do(req)
	if err != nil {
		r.Err = err.Error()
		c.dropEntry(address)
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

// readProblem reads an error response.
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

// Complete requests a completion from a model, streamed or as a single response body.
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
	read := readCompletion
	if stream {
		read = readCompletionStream
	}
	c.send(ctx, &r, http.MethodPost, "/v1/chat/completions", string(body), read)
	return r
}

// readCompletion reads a completion that is not streamed.
func readCompletion(resp *http.Response, r *Result) {
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

// readCompletionStream reads the event stream of a completion.
func readCompletionStream(resp *http.Response, r *Result) {
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
			r.Err = fmt.Sprintf("event %q is not a completion chunk", data)
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
	c.send(ctx, &r, http.MethodPost, "/services/"+service+"/orders", body, readPlainResponse)
	return r
}

// Query sends an idempotent call without a body to a plain service.
func (c *Caller) Query(ctx context.Context, service string) Result {
	r := Result{Kind: KindQuery, Service: service}
	c.send(ctx, &r, http.MethodGet, "/services/"+service+"/state-of-things", "", readPlainResponse)
	return r
}

// readPlainResponse reads the response of a plain service.
func readPlainResponse(resp *http.Response, r *Result) {
	var p imitator.PlainResponse
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		r.Err = err.Error()
		return
	}
	r.Server = p.Server
	r.Text = string(p.BodyDigest)
	r.Whole = true
}
