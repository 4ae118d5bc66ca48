// Package invoker is an HTTP client of one backend server, which is a model engine
// with an OpenAI-compatible API or a plain service.
package invoker

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/outside/requester"
)

const (
	stateTimeout  = time.Second
	loadTimeout   = 5 * time.Minute
	cancelTimeout = time.Second
	// maxLineBytes is the maximum length of a line of an event stream.
	maxLineBytes    = 1 << 20
	copyBufferBytes = 32 << 10
)

// Header fields of requests to backend servers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderPriority       = "X-Priority"
	HeaderOffset         = "X-Resume-Offset"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderAccount        = "X-Client-Account"
)

// ErrTruncated reports an event stream that ended without its final event.
type ErrTruncated struct {
	Step string
	Peer string
	// Events is the number of events with content that arrived.
	Events int
}

// Error returns a message with the step, the peer and the number of events.
func (e ErrTruncated) Error() string {
	return fmt.Sprintf("%s: peer %s: event stream ended after %d events without [DONE]", e.Step, e.Peer, e.Events)
}

// ErrStaleToken reports a load order that the engine rejected because it has seen a
// higher fencing token.
type ErrStaleToken struct {
	Step string
	Peer string
	// Fence is the fencing token of the order.
	Fence uint64
}

// Error returns a message with the step, the peer and the fencing token.
func (e ErrStaleToken) Error() string {
	return fmt.Sprintf("%s: peer %s: fencing token %d is stale", e.Step, e.Peer, e.Fence)
}

// Config configures a Client.
type Config struct {
	// Address is the address of the backend server.
	Address string
	Network filbertstile.Network
	// Kind is the kind of the backend server's service.
	Kind filbertstile.ServiceKind
}

// Client implements filbertstile.Backend over HTTP.
type Client struct {
	http *requester.Client
	kind filbertstile.ServiceKind
}

// New returns a client of the configured backend server.
func New(c Config) *Client {
	return &Client{
		http: requester.New(requester.Config{Address: c.Address, Network: c.Network, Timeout: loadTimeout}),
		kind: c.Kind,
	}
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.Close() }

// Run sends the request and returns nil only after the complete response has been
// written to w.
func (c *Client) Run(ctx context.Context, r filbertstile.BackendRequest, w filbertstile.ResponseWriter) error {
	call := requester.Call{
		Step:   "run request",
		Method: r.Method,
		Path:   r.Path,
		Headers: []requester.Header{
			{Name: HeaderRequestID, Value: r.RequestID},
			{Name: HeaderPriority, Value: strconv.Itoa(r.Priority)},
			{Name: HeaderAccount, Value: r.Account},
			{Name: fasthttp.HeaderContentType, Value: "application/json"},
		},
		Body: r.Body,
	}
	if r.IdempotencyKey != "" {
		call.Headers = append(call.Headers, requester.Header{Name: HeaderIdempotencyKey, Value: r.IdempotencyKey})
	}
	if c.kind == filbertstile.ServicePlain {
		return c.http.Stream(ctx, call, func(resp requester.Response, body io.Reader) error {
			return c.copyBody(resp, body, w)
		})
	}
	call.Headers = append(call.Headers, requester.Header{Name: HeaderOffset, Value: strconv.Itoa(r.Offset)})
	stop := context.AfterFunc(ctx, func() { c.cancel(r.RequestID) })
	defer stop()
	return c.http.Stream(ctx, call, func(resp requester.Response, body io.Reader) error {
		if resp.Status != fasthttp.StatusOK {
			return c.copyBody(resp, body, w)
		}
		return c.copyEvents(ctx, resp, body, w)
	})
}

func (c *Client) copyBody(resp requester.Response, body io.Reader, w filbertstile.ResponseWriter) error {
	if err := w.WriteHead(resp.Status, resp.ContentType); err != nil {
		return err
	}
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := w.WriteData(bytes.Clone(buf[:n])); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// chunkEvent is an event of a streamed chat completion.
type chunkEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// copyEvents writes the content of each server-sent event to w.
func (c *Client) copyEvents(ctx context.Context, resp requester.Response, body io.Reader, w filbertstile.ResponseWriter) error {
	if err := w.WriteHead(resp.Status, resp.ContentType); err != nil {
		return err
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	events := 0
	for lines.Scan() {
		if err := ctx.Err(); err != nil {
			return err
		}
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return nil
		}
		var ev chunkEvent
		if err := json.Unmarshal(data, &ev); err != nil {
			return fmt.Errorf("decode event: %w", err)
		}
		if len(ev.Choices) == 0 || ev.Choices[0].Delta.Content == "" {
			continue
		}
		events++
		if err := w.WriteData([]byte(ev.Choices[0].Delta.Content)); err != nil {
			return err
		}
	}
	return errors.Join(ErrTruncated{Step: "read events", Peer: c.http.Address(), Events: events}, lines.Err())
}

// cancel asks the engine to cancel a request. An error is ignored: it only means that
// the engine may generate output that is never read.
func (c *Client) cancel(requestID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	q := url.Values{"request": {requestID}}
	_, _ = c.http.Do(ctx, requester.Call{Step: "cancel request", Method: "POST", Path: "/orders/cancel", Query: q, Timeout: cancelTimeout})
}

// Load orders the engine to run the weights, and returns the engine's state
// afterwards.
func (c *Client) Load(ctx context.Context, order filbertstile.LoadOrder) (filbertstile.EngineState, error) {
	const step = "order load"
	readers := make([]io.Reader, 0, len(order.Chunks))
	size := 0
	for _, chunk := range order.Chunks {
		readers = append(readers, bytes.NewReader(chunk))
		size += len(chunk)
	}
	q := url.Values{
		"release": {order.Release},
		"whole":   {string(order.Whole)},
		"fence":   {strconv.FormatUint(order.Fence, 10)},
		"role":    {order.Role},
	}
	resp, err := c.http.Do(ctx, requester.Call{
		Step: step, Method: "POST", Path: "/orders/load", Query: q,
		BodyStream: io.MultiReader(readers...), BodySize: size,
	})
	if err != nil {
		return filbertstile.EngineState{}, err
	}
	if resp.Status == fasthttp.StatusConflict {
		return filbertstile.EngineState{}, ErrStaleToken{Step: step, Peer: c.http.Address(), Fence: order.Fence}
	}
	return c.decodeState(step, resp)
}

// State asks the backend server for its state.
func (c *Client) State(ctx context.Context) (filbertstile.EngineState, error) {
	const step = "read engine state"
	resp, err := c.http.Do(ctx, requester.Call{Step: step, Method: "GET", Path: "/state", Timeout: stateTimeout})
	if err != nil {
		return filbertstile.EngineState{}, err
	}
	return c.decodeState(step, resp)
}

func (c *Client) decodeState(step string, resp requester.Response) (filbertstile.EngineState, error) {
	if resp.Status != fasthttp.StatusOK {
		return filbertstile.EngineState{}, c.http.UnexpectedStatus(step, resp)
	}
	var st filbertstile.EngineState
	if err := json.Unmarshal(resp.Body, &st); err != nil {
		return filbertstile.EngineState{}, fmt.Errorf("%s: peer %s: %w", step, c.http.Address(), err)
	}
	return st, nil
}
