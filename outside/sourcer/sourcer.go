// Package sourcer reads manifests and chunks from the rate-limited weight
// store, and from the origin where the store does not have them.
package sourcer

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/outside/requester"
)

const callTimeout = 30 * time.Second

// Config lists the sources in the order in which they are asked.
type Config struct {
	Addresses []string
	Network   filbertstile.Network
}

// Client is a filbertstile.WeightSource over HTTP.
type Client struct {
	sources []*requester.Client
}

// New returns a client of the sources.
func New(c Config) *Client {
	out := new(Client)
	for _, a := range c.Addresses {
		out.sources = append(out.sources, requester.New(requester.Config{Address: a, Network: c.Network, Timeout: callTimeout}))
	}
	return out
}

// Close drops the client's idle connections.
func (c *Client) Close() {
	for _, s := range c.sources {
		s.Close()
	}
}

// Manifest returns the document with the digest.
func (c *Client) Manifest(ctx context.Context, digest filbertstile.Digest) ([]byte, error) {
	return c.get(ctx, "read manifest", "/manifests/", digest)
}

// Chunk returns the chunk with the digest.
func (c *Client) Chunk(ctx context.Context, digest filbertstile.Digest) ([]byte, error) {
	return c.get(ctx, "read chunk", "/chunks/", digest)
}

func (c *Client) get(ctx context.Context, step, path string, digest filbertstile.Digest) ([]byte, error) {
	var failures error
	for _, s := range c.sources {
		body, err := c.getFrom(ctx, s, step, path, digest)
		if err == nil {
			return body, nil
		}
		failures = errors.Join(failures, err)
	}
	return nil, failures
}

func (c *Client) getFrom(ctx context.Context, s *requester.Client, step, path string, digest filbertstile.Digest) ([]byte, error) {
	a, err := s.Do(ctx, requester.Call{Step: step, Method: "GET", Path: path + string(digest)})
	if err != nil {
		return nil, err
	}
	if a.Status != fasthttp.StatusOK {
		return nil, s.Unexpected(step, a)
	}
	if got := filbertstile.DigestOf(a.Body); got != digest {
		return nil, filbertstile.ErrDigest{Step: step, Peer: s.Address(), Want: digest, Got: got}
	}
	return a.Body, nil
}
