// Package storer is a client of the platform's object API.
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
	// watchTimeout is how long the store waits for a change before it responds to a watch.
	watchTimeout      = 10 * time.Second
	initialRetryDelay = 50 * time.Millisecond
	// The call rates of one process are limited to far below the rates that the
	// platform allows. Calls over the limit wait.
	readsPerSecond  = 50
	writesPerSecond = 100
	// callBurst is the number of calls that may be made at once.
	callBurst     = 100
	maxRetryDelay = 2 * time.Second
)

// Config configures a Client.
type Config struct {
	// Address is the address of the object API.
	Address string
	Network filbertstile.Network
	Metrics metrics.Registry
}

// Client implements filbertstile.Store over HTTP.
type Client struct {
	http    *requester.Client
	reads   metrics.Counter
	writes  metrics.Counter
	watches metrics.Counter
	// readLimiter limits reads and watches, writeLimiter writes and deletions.
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
}

// New returns a client of the configured object API.
func New(c Config) *Client {
	return &Client{
		http:    requester.New(requester.Config{Address: c.Address, Network: c.Network, Timeout: callTimeout}),
		reads:   metrics.NewRegisteredCounter("Store.Reads", c.Metrics),
		writes:  metrics.NewRegisteredCounter("Store.Writes", c.Metrics),
		watches: metrics.NewRegisteredCounter("Store.Watches", c.Metrics),

		readLimiter:  rate.NewLimiter(readsPerSecond, callBurst),
		writeLimiter: rate.NewLimiter(writesPerSecond, callBurst),
	}
}

// throttle waits until the limiter admits a call, and counts the call.
func (c *Client) throttle(ctx context.Context, limiter *rate.Limiter, counter metrics.Counter, step string) error {
	if err := limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%s: peer %s: rate limit: %w", step, c.http.Address(), err)
	}
	counter.Inc(1)
	return nil
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.Close() }

// conflictBody is the body of the response to a conditional update whose condition
// does not hold. Version is the object's current version.
type conflictBody struct {
	Version uint64
}

func objectPath(key string) string { return "/objects/" + url.PathEscape(key) }

func versionQuery(version uint64) url.Values {
	return url.Values{"version": {strconv.FormatUint(version, 10)}}
}

func (c *Client) conflictError(step, key string, want uint64, body []byte) filbertstile.ErrConflict {
	var have conflictBody
	// If the body cannot be decoded, the version stays 0, which means unknown.
	_ = json.Unmarshal(body, &have)
	return filbertstile.ErrConflict{Step: step, Peer: c.http.Address(), Key: key, Have: have.Version, Want: want}
}

// Get returns the object, or filbertstile.ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (filbertstile.Object, error) {
	const step = "get object"
	if err := c.throttle(ctx, c.readLimiter, c.reads, step); err != nil {
		return filbertstile.Object{}, err
	}
	resp, err := c.http.Do(ctx, requester.Call{Step: step, Method: "GET", Path: objectPath(key)})
	if err != nil {
		return filbertstile.Object{}, err
	}
	if resp.Status == fasthttp.StatusNotFound {
		return filbertstile.Object{}, filbertstile.ErrNotFound{Step: step, Peer: c.http.Address(), Key: key}
	}
	if resp.Status != fasthttp.StatusOK {
		return filbertstile.Object{}, c.http.UnexpectedStatus(step, resp)
	}
	var o filbertstile.Object
	return o, c.decode(step, resp.Body, &o)
}

func (c *Client) decode(step string, body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%s: peer %s: %w", step, c.http.Address(), err)
	}
	return nil
}

func (c *Client) fetchBatch(ctx context.Context, call requester.Call) (filbertstile.Batch, error) {
	resp, err := c.http.Do(ctx, call)
	if err != nil {
		return filbertstile.Batch{}, err
	}
	if resp.Status != fasthttp.StatusOK {
		return filbertstile.Batch{}, c.http.UnexpectedStatus(call.Step, resp)
	}
	var b filbertstile.Batch
	return b, c.decode(call.Step, resp.Body, &b)
}

// List returns the objects whose key starts with the prefix and is greater than after.
func (c *Client) List(ctx context.Context, prefix, after string) (filbertstile.Batch, error) {
	const step = "list objects"
	if err := c.throttle(ctx, c.readLimiter, c.reads, step); err != nil {
		return filbertstile.Batch{}, err
	}
	q := url.Values{"prefix": {prefix}, "after": {after}}
	return c.fetchBatch(ctx, requester.Call{Step: step, Method: "GET", Path: "/objects", Query: q})
}

// Watch waits for objects under the prefix that were written after the revision. It
// returns an empty batch if there are none within watchTimeout.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (filbertstile.Batch, error) {
	const step = "watch objects"
	if err := c.throttle(ctx, c.readLimiter, c.watches, step); err != nil {
		return filbertstile.Batch{}, err
	}
	q := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {watchTimeout.String()},
	}
	call := requester.Call{Step: step, Method: "GET", Path: "/watch", Query: q, Timeout: callTimeout + watchTimeout}
	return c.fetchBatch(ctx, call)
}

// Put writes the value if the object is still at the version. If the response is lost,
// it retries the write under the same condition: the write can take effect only once,
// and a conflict with an object that has the same value means that it did.
func (c *Client) Put(ctx context.Context, key string, version uint64, value []byte) (filbertstile.Object, error) {
	delay := initialRetryDelay
	retry := false
	for {
		o, done, err := c.tryPut(ctx, key, version, value, retry)
		if done {
			return o, err
		}
		retry = true
		if ctx.Err() != nil || sleeper.Sleep(ctx, delay) != nil {
			return filbertstile.Object{}, filbertstile.ErrUncertain{Step: "put object", Peer: c.http.Address(), Key: key, Cause: err}
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// tryPut makes one attempt to write, and reports whether its outcome is final. If retry
// is true, an earlier attempt may have taken effect.
func (c *Client) tryPut(ctx context.Context, key string, version uint64, value []byte, retry bool) (filbertstile.Object, bool, error) {
	const step = "put object"
	if err := c.throttle(ctx, c.writeLimiter, c.writes, step); err != nil {
		return filbertstile.Object{}, false, err
	}
	resp, err := c.http.Do(ctx, requester.Call{Step: step, Method: "PUT", Path: objectPath(key), Query: versionQuery(version), Body: value})
	if err != nil {
		return filbertstile.Object{}, false, err
	}
	switch {
	case resp.Status == fasthttp.StatusOK:
		var o filbertstile.Object
		if err := c.decode(step, resp.Body, &o); err != nil {
			return filbertstile.Object{}, false, err
		}
		o.Value = value
		return o, true, nil
	case resp.Status == fasthttp.StatusConflict:
		conflict := c.conflictError(step, key, version, resp.Body)
		if !retry {
			return filbertstile.Object{}, true, conflict
		}
		return c.resolveConflict(ctx, value, conflict)
	case resp.Status >= fasthttp.StatusInternalServerError || resp.Status == fasthttp.StatusTooManyRequests:
		return filbertstile.Object{}, false, c.http.UnexpectedStatus(step, resp)
	default:
		return filbertstile.Object{}, true, c.http.UnexpectedStatus(step, resp)
	}
}

// resolveConflict reads the object to distinguish a conflict with another writer from
// one with an earlier attempt of the same write, which has succeeded. It reports whether
// the outcome is final.
func (c *Client) resolveConflict(ctx context.Context, value []byte, conflict filbertstile.ErrConflict) (filbertstile.Object, bool, error) {
	o, err := c.Get(ctx, conflict.Key)
	var notFound filbertstile.ErrNotFound
	switch {
	case errors.As(err, &notFound):
		return filbertstile.Object{}, true, conflict
	case err != nil:
		return filbertstile.Object{}, false, err
	case bytes.Equal(o.Value, value):
		return o, true, nil
	default:
		return filbertstile.Object{}, true, conflict
	}
}

// Delete deletes the object if it is still at the version. An object that does not exist
// is not an error.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	const step = "delete object"
	if err := c.throttle(ctx, c.writeLimiter, c.writes, step); err != nil {
		return err
	}
	resp, err := c.http.Do(ctx, requester.Call{Step: step, Method: "DELETE", Path: objectPath(key), Query: versionQuery(version)})
	if err != nil {
		return err
	}
	switch resp.Status {
	case fasthttp.StatusOK, fasthttp.StatusNotFound:
		return nil
	case fasthttp.StatusConflict:
		return c.conflictError(step, key, version, resp.Body)
	default:
		return c.http.UnexpectedStatus(step, resp)
	}
}
