// Package lister is a client of the platform's host list, which lags behind the actual
// state.
package lister

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/outside/requester"
)

const callTimeout = 2 * time.Second

// Config configures a Client.
type Config struct {
	// Address is the address of the host list's API.
	Address string
	Network filbertstile.Network
}

// Client implements filbertstile.HostList over HTTP.
type Client struct {
	http *requester.Client

	mu sync.Mutex
	// members is the list as last received, and etag its entity tag.
	etag    string
	members []filbertstile.Member
}

// New returns a client of the configured host list.
func New(c Config) *Client {
	return &Client{http: requester.New(requester.Config{Address: c.Address, Network: c.Network, Timeout: callTimeout})}
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.Close() }

// Members returns the listed processes. The request is conditional, so that a list that
// has not changed is not transferred again. The caller must not change the slice.
func (c *Client) Members(ctx context.Context) ([]filbertstile.Member, error) {
	const step = "read host list"
	c.mu.Lock()
	etag, cached := c.etag, c.members
	c.mu.Unlock()
	call := requester.Call{Step: step, Method: "GET", Path: "/hosts"}
	if etag != "" {
		call.Headers = append(call.Headers, requester.Header{Name: fasthttp.HeaderIfNoneMatch, Value: etag})
	}
	resp, err := c.http.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	if resp.Status == fasthttp.StatusNotModified && etag != "" {
		return cached, nil
	}
	if resp.Status != fasthttp.StatusOK {
		return nil, c.http.UnexpectedStatus(step, resp)
	}
	var members []filbertstile.Member
	if err := json.Unmarshal(resp.Body, &members); err != nil {
		return nil, fmt.Errorf("%s: peer %s: %w", step, c.http.Address(), err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.members = resp.ETag, members
	return members, nil
}

// Announce adds the member to the list, or replaces its entry.
func (c *Client) Announce(ctx context.Context, m filbertstile.Member) error {
	const step = "announce member"
	body, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("%s: %w", step, err)
	}
	resp, err := c.http.Do(ctx, requester.Call{Step: step, Method: "PUT", Path: "/hosts/" + m.Name, Body: body})
	if err != nil {
		return err
	}
	if resp.Status != fasthttp.StatusOK {
		return c.http.UnexpectedStatus(step, resp)
	}
	return nil
}
