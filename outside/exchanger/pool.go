package exchanger

import (
	"bufio"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// dialTimeout is the maximum time to connect. Hosts are a few milliseconds apart,
	// and a SYN that a full accept queue drops is resent only after one second.
	dialTimeout = 700 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of a connection whose peer announces
	// none. A peer whose timeout is less than one second announces none.
	defaultIdleTimeout = 400 * time.Millisecond
	// idleMargin is subtracted from the idle timeout that the peer announces.
	idleMargin = 400 * time.Millisecond
	// maxIdleTimeout is the maximum idle timeout of a connection, whatever its peer
	// announces.
	maxIdleTimeout = 8 * time.Second
	// maxIdleConnsPerAddress is the maximum number of idle connections to one address.
	maxIdleConnsPerAddress = 8
)

// acquire returns an idle connection that may carry the request, or dials if there is none.
func (c *Client) acquire(ctx context.Context, address string, r Request) (*conn, error) {
	if cn := c.acquireIdle(address, r); cn != nil {
		return cn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	l := &limiter{source: raw}
	return &conn{Conn: raw, address: address, limiter: l, reader: bufio.NewReaderSize(l, readBufferBytes)}, nil
}

// acquireIdle returns the most recently used idle connection that may carry the request, or nil.
// It closes those that can't be used any more.
func (c *Client) acquireIdle(address string, r Request) *conn {
	if r.ID == "" {
		return nil // nothing would tell its response from a late one
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i, cn := range slices.Backward(c.idle[address]) {
		if !cn.mayCarry(r.ID) {
			continue
		}
		c.idle[address] = slices.Delete(c.idle[address], i, i+1)
		idle := now.Sub(cn.idleSince)
		if idle < cn.idleTimeout && (r.MaxIdle == 0 || idle < r.MaxIdle) && cn.reusable() {
			return cn
		}
		_ = cn.Close()
	}
	return nil
}

func (c *Client) putIdle(cn *conn, h http.Header) {
	if len(cn.ids) >= maxRequestsPerConn {
		_ = cn.Close()
		return
	}
	_ = cn.SetDeadline(time.Time{}) // a later one would make the connection look unusable
	cn.reused = true
	cn.idleSince = time.Now()
	cn.idleTimeout = min(maxIdleTimeout, peerIdleTimeout(h))
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[cn.address]
	if len(list) >= maxIdleConnsPerAddress {
		_ = list[0].Close()
		list = append(list[:0], list[1:]...)
	}
	c.idle[cn.address] = append(list, cn)
}

// peerIdleTimeout returns how long a connection may be idle according to the
// response's Keep-Alive header.
func peerIdleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// CloseExpired closes the connections whose idle timeout has expired.
func (c *Client) CloseExpired() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Sub(cn.idleSince) < cn.idleTimeout {
				kept = append(kept, cn)
			} else {
				_ = cn.Close()
			}
		}
		if len(kept) == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = kept
		}
	}
}
