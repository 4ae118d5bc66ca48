package peerrunner

import (
	"context"
	"errors"
	"sync"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/sleeper"
)

// Limits of the calls of a store, as in package platform and requester.
const (
	testCallTimeout   = 1500 * time.Millisecond
	testCallExtension = 4 * time.Second
	testStallTimeout  = 900 * time.Millisecond
	testLargeBytes    = 16 << 10
)

const (
	routingPrefix = "routing/"
	membersPrefix = "members/"
	weightsPrefix = "weights/"
)

var (
	errTestTimeout = errors.New("timeout")
	errTurnedAway  = errors.New("the store turns this process away")
)

// farLink is the link between the store and a region, whose rate all responses share. What the
// store has sent goes through it, even if nobody waits for it any more.
type farLink struct {
	rate float64

	mu     sync.Mutex
	freeAt time.Time
}

// send puts the bytes into the link's queue and returns when they arrive.
func (l *farLink) send(size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(size) / l.rate * float64(time.Second)))
	return l.freeAt
}

// receive returns when a response has arrived, or fails as a call of the store does.
func (l *farLink) receive(ctx context.Context, size int) error {
	const segment, window = 16 << 10, 256 << 10
	begun := time.Now()
	deadline, received, sent := begun.Add(testCallTimeout), 0, 0
	var arrivals []time.Time
	for received < size {
		for sent < size && sent-received < window {
			n := min(segment, size-sent)
			arrivals = append(arrivals, l.send(n))
			sent += n
		}
		at := arrivals[0]
		arrivals = arrivals[1:]
		if at.After(deadline) {
			if err := sleeper.Sleep(ctx, time.Until(deadline)); err != nil {
				return err
			}
			return errTestTimeout
		}
		if err := sleeper.Sleep(ctx, time.Until(at)); err != nil {
			return err
		}
		received = min(size, received+segment)
		if received < testLargeBytes {
			continue
		}
		if later := at.Add(testStallTimeout); later.After(deadline) {
			deadline = later
		}
		if last := begun.Add(testCallTimeout + testCallExtension); deadline.After(last) {
			deadline = last
		}
	}
	return nil
}

// farStore is a store that is far from all processes of the test.
type farStore struct {
	filbertstile.Store
	link *farLink
	// objects are the objects of each prefix.
	objects map[string][]filbertstile.Object
	// registeredAt is when the members are registered, all at once; zero if they always were.
	registeredAt time.Time

	mu sync.Mutex
	// turnsEntriesAway is true while calls of entries fail.
	turnsEntriesAway bool
	// reading and mostReading are the number of responses with the configuration that are on
	// the way, and its maximum; reads counts all of them.
	reading, mostReading, reads int
}

// forProcess returns the store as a process sees it.
func (s *farStore) forProcess(role filbertstile.Role) filbertstile.Store {
	return farClient{farStore: s, role: role}
}

type farClient struct {
	*farStore
	role filbertstile.Role
}

func (c farClient) begin(prefix string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.turnsEntriesAway && c.role == filbertstile.RoleEntry {
		return errTurnedAway
	}
	if prefix == routingPrefix {
		c.reads++
		c.reading++
		c.mostReading = max(c.mostReading, c.reading)
	}
	return nil
}

func (c farClient) end(prefix string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if prefix == routingPrefix {
		c.reading--
	}
}

func (c farClient) List(ctx context.Context, prefix, _ string) (filbertstile.Batch, error) {
	if err := c.begin(prefix); err != nil {
		return filbertstile.Batch{}, err
	}
	defer c.end(prefix)
	if prefix == membersPrefix && time.Now().Before(c.registeredAt) {
		return filbertstile.Batch{Era: 1, Revision: 1}, c.link.receive(ctx, 1)
	}
	size := 0
	for _, o := range c.objects[prefix] {
		size += len(o.Value)
	}
	return filbertstile.Batch{Era: 1, Revision: 9, Objects: c.objects[prefix]}, c.link.receive(ctx, size+1)
}

func (c farClient) Watch(ctx context.Context, prefix string, after uint64) (filbertstile.Batch, error) {
	if err := c.begin(""); err != nil {
		return filbertstile.Batch{}, err
	}
	wait := testWatchTimeout
	registers := prefix == membersPrefix && after == 1 && time.Until(c.registeredAt) < wait
	if registers {
		wait = time.Until(c.registeredAt)
	}
	if err := sleeper.Sleep(ctx, wait); err != nil {
		return filbertstile.Batch{}, err
	}
	if registers {
		return filbertstile.Batch{Era: 1, Revision: 9, Objects: c.objects[prefix]}, c.link.receive(ctx, testLargeBytes)
	}
	return filbertstile.Batch{Era: 1, Revision: after}, c.link.receive(ctx, 1)
}

// testWatchTimeout is the time that the store waits for a change.
const testWatchTimeout = 800 * time.Millisecond
