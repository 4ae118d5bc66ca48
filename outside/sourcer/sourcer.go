// Package sourcer reads manifests and chunks from the rate-limited weight store, and
// from the origin if the store does not have them.
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

// Config configures a Client.
type Config struct {
	// Addresses are the addresses of the sources, in the order in which they are tried.
	Addresses []string
	Network   filbertstile.Network
}

// Client implements filbertstile.WeightSource over HTTP.
type Client struct {
	sources []*requester.Client
}

// New returns a client of the configured sources.
func New(c Config) *Client {
	out := new(Client)
	for _, a := range c.Addresses {
		out.sources = append(out.sources, requester.New(requester.Config{Address: a, Network: c.Network, Timeout: callTimeout}))
	}
	return out
}

// Close closes the client's idle connections.
func (c *Client) Close() {
	for _, s := range c.sources {
		s.Close()
	}
}

// Manifest returns the manifest document with the digest.
func (c *Client) Manifest(ctx context.Context, digest filbertstile.Digest) ([]byte, error) {
	return c.get(ctx, "read manifest", "/manifests/", digest)
}

// Chunk returns the chunk with the digest.
func (c *Client) Chunk(ctx context.Context, digest filbertstile.Digest) ([]byte, error) {
	return c.get(ctx, "read chunk", "/chunks/", digest)
}

// get returns the content from the first source that has it.
func (c *Client) get(ctx context.Context, step, path string, digest filbertstile.Digest) ([]byte, error) {
	var errs error
	for _, s := range c.sources {
		body, err := c.getFrom(ctx, s, step, path, digest)
		if err == nil {
			return body, nil
		}
		errs = errors.Join(errs, err)
	}
	return nil, errs
}

func (c *Client) getFrom(ctx context.Context, s *requester.Client, step, path string, digest filbertstile.Digest) ([]byte, error) {
	resp, err := s.Do(ctx, requester.Call{Step: step, Method: "GET", Path: path + string(digest)})
	if err != nil {
		return nil, err
	}
	if resp.Status != fasthttp.StatusOK {
		return nil, s.UnexpectedStatus(step, resp)
	}
	if got := filbertstile.DigestOf(resp.Body); got != digest {
		return nil, filbertstile.ErrDigest{Step: step, Peer: s.Address(), Want: digest, Got: got}
	}
	return resp.Body, nil
}
