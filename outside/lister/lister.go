// Package lister reads the platform's lagging list of processes.
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

// Config says where the list is.
type Config struct {
	Address string
	Network filbertstile.Network
}

// Client is a filbertstile.HostList over HTTP.
type Client struct {
	http *requester.Client

	mu sync.Mutex
	// tag names the version of the list that members is.
	tag     string
	members []filbertstile.Member
}

// New returns a client of the host list.
func New(c Config) *Client {
	return &Client{http: requester.New(requester.Config{Address: c.Address, Network: c.Network, Timeout: callTimeout})}
}

// Close drops the client's idle connections.
func (c *Client) Close() { c.http.Close() }

// Members returns the list as it is now. A list that has not changed is not
// sent again.
func (c *Client) Members(ctx context.Context) ([]filbertstile.Member, error) {
	const step = "read host list"
	c.mu.Lock()
	tag, known := c.tag, c.members
	c.mu.Unlock()
	call := requester.Call{Step: step, Method: "GET", Path: "/hosts"}
	if tag != "" {
		call.Headers = append(call.Headers, requester.Header{Name: fasthttp.HeaderIfNoneMatch, Value: tag})
	}
	a, err := c.http.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	if a.Status == fasthttp.StatusNotModified && tag != "" {
		return known, nil
	}
	if a.Status != fasthttp.StatusOK {
		return nil, c.http.Unexpected(step, a)
	}
	var members []filbertstile.Member
	if err := json.Unmarshal(a.Body, &members); err != nil {
		return nil, fmt.Errorf("%s: peer %s: %w", step, c.http.Address(), err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tag, c.members = a.Tag, members
	return members, nil
}

// Announce adds or replaces the member.
func (c *Client) Announce(ctx context.Context, m filbertstile.Member) error {
	const step = "announce member"
	body, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("%s: %w", step, err)
	}
	a, err := c.http.Do(ctx, requester.Call{Step: step, Method: "PUT", Path: "/hosts/" + m.Name, Body: body})
	if err != nil {
		return err
	}
	if a.Status != fasthttp.StatusOK {
		return c.http.Unexpected(step, a)
	}
	return nil
}
