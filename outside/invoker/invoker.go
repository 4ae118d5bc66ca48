// Package invoker speaks to a backend server: a model engine in the OpenAI
// shape, or a plain service.
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
	maxLineBytes  = 1 << 20
	pieceBytes    = 32 << 10
)

// Header fields towards backend servers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderPriority       = "X-Priority"
	HeaderOffset         = "X-Resume-Offset"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderAccount        = "X-Client-Account"
)

// ErrTorn is an answer that ended before its end.
type ErrTorn struct {
	Step string
	Peer string
	// Pieces is the number of pieces that arrived.
	Pieces int
}

// Error tells how far the answer came.
func (e ErrTorn) Error() string {
	return fmt.Sprintf("%s: peer %s: answer ended after %d pieces without its end", e.Step, e.Peer, e.Pieces)
}

// ErrFence is an order that the engine refused for its old fencing number.
type ErrFence struct {
	Step string
	Peer string
	// Fence is the number of the order.
	Fence uint64
}

// Error names the order's number.
func (e ErrFence) Error() string {
	return fmt.Sprintf("%s: peer %s: fencing number %d is too old", e.Step, e.Peer, e.Fence)
}

// Config says where the backend server is.
type Config struct {
	Address string
	Network filbertstile.Network
	Kind    filbertstile.ServiceKind
}

// Client is a filbertstile.Backend over HTTP.
type Client struct {
	http *requester.Client
	kind filbertstile.ServiceKind
}

// New returns a client of one backend server.
func New(c Config) *Client {
	return &Client{
		http: requester.New(requester.Config{Address: c.Address, Network: c.Network, Timeout: loadTimeout}),
		kind: c.Kind,
	}
}

// Close drops the client's idle connections.
func (c *Client) Close() { c.http.Close() }

// Run does the work; it returns nil only after the whole answer was passed on.
func (c *Client) Run(ctx context.Context, w filbertstile.BackendRequest, reply filbertstile.ReplyWriter) error {
	in := requester.Call{
		Step:   "run request",
		Method: w.Method,
		Path:   w.Path,
		Headers: []requester.Header{
			{Name: HeaderRequestID, Value: w.RequestID},
			{Name: HeaderPriority, Value: strconv.Itoa(w.Priority)},
			{Name: HeaderAccount, Value: w.Account},
			{Name: fasthttp.HeaderContentType, Value: "application/json"},
		},
		Body: w.Body,
	}
	if w.IdempotencyKey != "" {
		in.Headers = append(in.Headers, requester.Header{Name: HeaderIdempotencyKey, Value: w.IdempotencyKey})
	}
	if c.kind == filbertstile.ServicePlain {
		return c.http.Stream(ctx, in, func(a requester.Answer, body io.Reader) error {
			return c.copy(a, body, reply)
		})
	}
	in.Headers = append(in.Headers, requester.Header{Name: HeaderOffset, Value: strconv.Itoa(w.Offset)})
	stop := context.AfterFunc(ctx, func() { c.cancel(w.RequestID) })
	defer stop()
	return c.http.Stream(ctx, in, func(a requester.Answer, body io.Reader) error {
		if a.Status != fasthttp.StatusOK {
			return c.copy(a, body, reply)
		}
		return c.events(ctx, a, body, reply)
	})
}

func (c *Client) copy(a requester.Answer, body io.Reader, reply filbertstile.ReplyWriter) error {
	if err := reply.WriteHead(a.Status, a.ContentType); err != nil {
		return err
	}
	buf := make([]byte, pieceBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := reply.WriteData(bytes.Clone(buf[:n])); err != nil {
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

type chunkEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// events passes on the content of each server-sent event.
func (c *Client) events(ctx context.Context, a requester.Answer, body io.Reader, reply filbertstile.ReplyWriter) error {
	if err := reply.WriteHead(a.Status, a.ContentType); err != nil {
		return err
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	pieces := 0
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
		pieces++
		if err := reply.WriteData([]byte(ev.Choices[0].Delta.Content)); err != nil {
			return err
		}
	}
	return errors.Join(ErrTorn{Step: "read events", Peer: c.http.Address(), Pieces: pieces}, lines.Err())
}

// cancel tells the engine to give a request up; an engine that does not hear
// it finishes work that nobody reads.
func (c *Client) cancel(requestID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	q := url.Values{"request": {requestID}}
	_, _ = c.http.Do(ctx, requester.Call{Step: "cancel request", Method: "POST", Path: "/orders/cancel", Query: q, Timeout: cancelTimeout})
}

// Load sends the weights to the engine and returns what it then runs.
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
	a, err := c.http.Do(ctx, requester.Call{
		Step: step, Method: "POST", Path: "/orders/load", Query: q,
		BodyStream: io.MultiReader(readers...), BodySize: size,
	})
	if err != nil {
		return filbertstile.EngineState{}, err
	}
	if a.Status == fasthttp.StatusConflict {
		return filbertstile.EngineState{}, ErrFence{Step: step, Peer: c.http.Address(), Fence: order.Fence}
	}
	return c.state(step, a)
}

// State asks the backend server for its state.
func (c *Client) State(ctx context.Context) (filbertstile.EngineState, error) {
	const step = "read engine state"
	a, err := c.http.Do(ctx, requester.Call{Step: step, Method: "GET", Path: "/state", Timeout: stateTimeout})
	if err != nil {
		return filbertstile.EngineState{}, err
	}
	return c.state(step, a)
}

func (c *Client) state(step string, a requester.Answer) (filbertstile.EngineState, error) {
	if a.Status != fasthttp.StatusOK {
		return filbertstile.EngineState{}, c.http.Unexpected(step, a)
	}
	var st filbertstile.EngineState
	if err := json.Unmarshal(a.Body, &st); err != nil {
		return filbertstile.EngineState{}, fmt.Errorf("%s: peer %s: %w", step, c.http.Address(), err)
	}
	return st, nil
}
