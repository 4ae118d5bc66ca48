// Package storer speaks to the platform's object API.
package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/outside/requester"
)

const (
	callTimeout = 2 * time.Second
	watchWait   = 10 * time.Second
	retryPause  = 50 * time.Millisecond
	// The budget of one process, far under the platform's rates; more calls wait.
	readsPerSecond  = 50
	writesPerSecond = 100
	budgetBurst     = 100
	maxPause        = 2 * time.Second
)

// Config says where the object API is.
type Config struct {
	Address string
	Network filbertstile.Network
	Metrics metrics.Registry
}

// Client is a filbertstile.Store over HTTP.
type Client struct {
	http    *requester.Client
	reads   metrics.Counter
	writes  metrics.Counter
	watches metrics.Counter
	// readBudget and writeBudget hold back calls past the process's share.
	readBudget  *rate.Limiter
	writeBudget *rate.Limiter
}

// New returns a client of the object API at the configured address.
func New(c Config) *Client {
	return &Client{
		http:    requester.New(requester.Config{Address: c.Address, Network: c.Network, Timeout: callTimeout}),
		reads:   metrics.NewRegisteredCounter("Store.Reads", c.Metrics),
		writes:  metrics.NewRegisteredCounter("Store.Writes", c.Metrics),
		watches: metrics.NewRegisteredCounter("Store.Watches", c.Metrics),

		readBudget:  rate.NewLimiter(readsPerSecond, budgetBurst),
		writeBudget: rate.NewLimiter(writesPerSecond, budgetBurst),
	}
}

// spend waits until the budget has room for a call, and counts it.
func (c *Client) spend(ctx context.Context, budget *rate.Limiter, counter metrics.Counter, step string) error {
	if err := budget.Wait(ctx); err != nil {
		return fmt.Errorf("%s: peer %s: call budget: %w", step, c.http.Address(), err)
	}
	counter.Inc(1)
	return nil
}

// Close drops the client's idle connections.
func (c *Client) Close() { c.http.Close() }

// found is the body of a refused conditional update.
type found struct {
	Version uint64
}

func objectPath(key string) string { return "/objects/" + url.PathEscape(key) }

func versionQuery(version uint64) url.Values {
	return url.Values{"version": {strconv.FormatUint(version, 10)}}
}

func (c *Client) conflict(step, key string, want uint64, body []byte) filbertstile.ErrConflict {
	var f found
	// A body that cannot be read leaves the version unknown, which is 0.
	_ = json.Unmarshal(body, &f)
	return filbertstile.ErrConflict{Step: step, Peer: c.http.Address(), Key: key, Have: f.Version, Want: want}
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, key string) (filbertstile.Object, error) {
	const step = "get object"
	if err := c.spend(ctx, c.readBudget, c.reads, step); err != nil {
		return filbertstile.Object{}, err
	}
	a, err := c.http.Do(ctx, requester.Call{Step: step, Method: "GET", Path: objectPath(key)})
	if err != nil {
		return filbertstile.Object{}, err
	}
	if a.Status == fasthttp.StatusNotFound {
		return filbertstile.Object{}, filbertstile.ErrNotFound{Step: step, Peer: c.http.Address(), Key: key}
	}
	if a.Status != fasthttp.StatusOK {
		return filbertstile.Object{}, c.http.Unexpected(step, a)
	}
	var o filbertstile.Object
	return o, c.decode(step, a.Body, &o)
}

func (c *Client) decode(step string, body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%s: peer %s: %w", step, c.http.Address(), err)
	}
	return nil
}

func (c *Client) batch(ctx context.Context, in requester.Call) (filbertstile.Batch, error) {
	a, err := c.http.Do(ctx, in)
	if err != nil {
		return filbertstile.Batch{}, err
	}
	if a.Status != fasthttp.StatusOK {
		return filbertstile.Batch{}, c.http.Unexpected(in.Step, a)
	}
	var b filbertstile.Batch
	return b, c.decode(in.Step, a.Body, &b)
}

// List returns the objects under the prefix.
func (c *Client) List(ctx context.Context, prefix, after string) (filbertstile.Batch, error) {
	const step = "list objects"
	if err := c.spend(ctx, c.readBudget, c.reads, step); err != nil {
		return filbertstile.Batch{}, err
	}
	q := url.Values{"prefix": {prefix}, "after": {after}}
	return c.batch(ctx, requester.Call{Step: step, Method: "GET", Path: "/objects", Query: q})
}

// Watch waits for objects written after the revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (filbertstile.Batch, error) {
	const step = "watch objects"
	if err := c.spend(ctx, c.readBudget, c.watches, step); err != nil {
		return filbertstile.Batch{}, err
	}
	q := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {watchWait.String()},
	}
	call := requester.Call{Step: step, Method: "GET", Path: "/watch", Query: q, Timeout: callTimeout + watchWait}
	return c.batch(ctx, call)
}

// Put writes the value on condition of the version. A lost reply is resolved by
// writing again under the same condition: it can take effect only once, and a
// conflict with our own value is success.
func (c *Client) Put(ctx context.Context, key string, version uint64, value []byte) (filbertstile.Object, error) {
	pause := retryPause
	lost := false
	for {
		o, done, err := c.attempt(ctx, key, version, value, lost)
		if done {
			return o, err
		}
		lost = true
		if ctx.Err() != nil || sleeper.Sleep(ctx, pause) != nil {
			return filbertstile.Object{}, filbertstile.ErrUncertain{Step: "put object", Peer: c.http.Address(), Key: key, Cause: err}
		}
		pause = min(2*pause, maxPause)
	}
}

// attempt writes once, and tells whether the outcome is final.
func (c *Client) attempt(ctx context.Context, key string, version uint64, value []byte, lost bool) (filbertstile.Object, bool, error) {
	const step = "put object"
	if err := c.spend(ctx, c.writeBudget, c.writes, step); err != nil {
		return filbertstile.Object{}, false, err
	}
	a, err := c.http.Do(ctx, requester.Call{Step: step, Method: "PUT", Path: objectPath(key), Query: versionQuery(version), Body: value})
	if err != nil {
		return filbertstile.Object{}, false, err
	}
	switch {
	case a.Status == fasthttp.StatusOK:
		var o filbertstile.Object
		if err := c.decode(step, a.Body, &o); err != nil {
			return filbertstile.Object{}, false, err
		}
		o.Value = value
		return o, true, nil
	case a.Status == fasthttp.StatusConflict:
		conflict := c.conflict(step, key, version, a.Body)
		if !lost {
			return filbertstile.Object{}, true, conflict
		}
		return c.readBack(ctx, value, conflict)
	case a.Status >= fasthttp.StatusInternalServerError || a.Status == fasthttp.StatusTooManyRequests:
		return filbertstile.Object{}, false, c.http.Unexpected(step, a)
	default:
		return filbertstile.Object{}, true, c.http.Unexpected(step, a)
	}
}

// readBack tells a conflict with another writer from one with our own earlier
// attempt.
func (c *Client) readBack(ctx context.Context, value []byte, conflict filbertstile.ErrConflict) (filbertstile.Object, bool, error) {
	o, err := c.Get(ctx, conflict.Key)
	var none filbertstile.ErrNotFound
	switch {
	case errors.As(err, &none):
		return filbertstile.Object{}, true, conflict
	case err != nil:
		return filbertstile.Object{}, false, err
	case bytes.Equal(o.Value, value):
		return o, true, nil
	default:
		return filbertstile.Object{}, true, conflict
	}
}

// Delete removes the object on condition of the version.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	const step = "delete object"
	if err := c.spend(ctx, c.writeBudget, c.writes, step); err != nil {
		return err
	}
	a, err := c.http.Do(ctx, requester.Call{Step: step, Method: "DELETE", Path: objectPath(key), Query: versionQuery(version)})
	if err != nil {
		return err
	}
	switch a.Status {
	case fasthttp.StatusOK, fasthttp.StatusNotFound:
		return nil
	case fasthttp.StatusConflict:
		return c.conflict(step, key, version, a.Body)
	default:
		return c.http.Unexpected(step, a)
	}
}
