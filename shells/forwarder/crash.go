package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/suspector"
)

const (
	// probeTimeout is the maximum time to find out whether a replica's process has ended.
	probeTimeout = 700 * time.Millisecond
	// crashWait is the maximum time for which a request whose connection ended waits for
	// the result before it is retried. Hosts are a few milliseconds apart.
	crashWait = 60 * time.Millisecond
	// aliveFor is the time for which a replica whose process was found running is not
	// checked again: connections that end together have the same cause.
	aliveFor = 250 * time.Millisecond
	// crashMemory is the time for which a replica that has crashed is remembered.
	crashMemory = 30 * time.Second
	// maxLoggedKeys is the maximum number of parts, and of keys of requests, in a log line.
	maxLoggedKeys = 16
)

// Liveness says whether a process runs.
type Liveness int

// States of a process.
const (
	// Unknown means that its host did not respond.
	Unknown Liveness = iota
	// Alive means that the process accepts connections.
	Alive
	// Ended means that the host responds and the process does not run.
	Ended
)

// Prober finds out whether replicas' processes run.
type Prober interface {
	Probe(ctx context.Context, address string) Liveness
}

// crashChecks finds out whether replicas whose connections ended have crashed, with one
// check for all requests at a replica.
type crashChecks struct {
	config Config

	mu sync.Mutex
	// checks holds the latest check of each boot of a replica.
	checks map[uint64]*crashCheck
}

// crashCheck is the check of one boot of a replica.
type crashCheck struct {
	replica   filbertstile.Replica
	boot      uint64
	startedAt time.Time
	// done is closed when the result is known.
	done chan struct{}
	// result may be read once done is closed.
	result Liveness
	// lost are the requests whose connections ended before the result was known;
	// crashChecks.mu protects them.
	lost []suspector.LostRequest
	// planned is true if the replica was expected to end. crashChecks.mu protects it.
	planned bool
}

func newCrashChecks(c Config) *crashChecks {
	return &crashChecks{config: c, checks: make(map[uint64]*crashCheck)}
}

// bootOf returns a hash of the replica's boot, which is the same in all entries.
func bootOf(r filbertstile.Replica) uint64 {
	return xxhash.Sum64String(r.ID + "\x00" + strconv.FormatInt(r.Born.UnixMilli(), 10))
}

// connectionEnded returns whether the replica runs, and blames the keys of the request if it
// has crashed. If the result is not known within the given time, it returns Unknown, and the
// keys are blamed later.
func (k *crashChecks) connectionEnded(ctx context.Context, r filbertstile.Replica, lost suspector.LostRequest, wait time.Duration) Liveness {
	return k.await(ctx, r, joining{lost: lost}, wait)
}

// answerEnded returns whether the replica runs after an answer has ended with its connection. It was
// expected to end if planned is true.
func (k *crashChecks) answerEnded(ctx context.Context, r filbertstile.Replica, lost suspector.LostRequest, planned bool) Liveness {
	return k.await(ctx, r, joining{lost: lost, since: time.Now(), planned: planned}, probeTimeout)
}

// joining is a request that waits for a check.
type joining struct {
	lost suspector.LostRequest
	// since is the earliest time at which the check may have begun.
	since time.Time
	// planned is true if the replica was expected to end.
	planned bool
}

// await returns the result of a check for the request, or Unknown if there is none within the given
// time.
func (k *crashChecks) await(ctx context.Context, r filbertstile.Replica, j joining, wait time.Duration) Liveness {
	if k.config.Prober == nil {
		return Unknown
	}
	check := k.join(r, j)
	if check == nil {
		return Unknown
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-check.done:
		return check.result
	case <-timer.C:
	case <-ctx.Done():
	}
	return Unknown
}

// join adds a request to the check of the replica, which is started if there is none that began
// late enough and none that found that the process has ended. It returns nil if the
// request was sent after the replica had crashed: another process, whose start is not known yet,
// has its address.
func (k *crashChecks) join(r filbertstile.Replica, j joining) *crashCheck {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, boot := time.Now(), bootOf(r)
	check := k.checks[boot]
	if check != nil && !check.mayRepeat(now) && (check.result == Ended || !check.startedAt.Before(j.since)) {
		if check.result == Ended {
			if j.lost.SentAt.After(check.startedAt) {
				return nil
			}
			k.blame(check, j.lost)
		} else {
			check.add(j)
		}
		return check
	}
	for key, old := range k.checks {
		if now.Sub(old.startedAt) > crashMemory {
			delete(k.checks, key)
		}
	}
	check = &crashCheck{replica: r, boot: boot, startedAt: now, done: make(chan struct{}), planned: true}
	check.add(j)
	k.checks[boot] = check
	go k.run(check)
	return check
}

// add adds a request that was lost if the replica has crashed. One without keys is no evidence.
func (c *crashCheck) add(j joining) {
	c.planned = c.planned && j.planned
	if len(j.lost.Keys) > 0 {
		c.lost = append(c.lost, j.lost)
	}
}

// mayRepeat reports whether the result is known and may have changed since.
func (c *crashCheck) mayRepeat(now time.Time) bool {
	select {
	case <-c.done:
		return c.result != Ended && now.Sub(c.startedAt) > aliveFor
	default:
		return false
	}
}

// run makes the check.
func (k *crashChecks) run(c *crashCheck) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	result := k.config.Prober.Probe(ctx, c.replica.Address)
	k.mu.Lock()
	defer k.mu.Unlock()
	c.result = result
	// Requests decide on their retries once done is closed, by what the suspector knows then.
	defer close(c.done)
	if result != Ended || c.planned {
		return
	}
	parts, requests := c.suspects()
	k.config.Log.Event(reporter.ReplicaCrashed, reporter.Fields{
		"Peer": c.replica.ID, "Address": c.replica.Address, "Service": c.replica.Service, "Requests": len(c.lost), "Parts": parts, "Keys": requests,
	})
	k.blame(c, c.lost...)
}

// blame records the keys of the requests as suspects of the crash.
func (k *crashChecks) blame(c *crashCheck, lost ...suspector.LostRequest) {
	if len(lost) > 0 && k.config.Suspector.RecordCrash(c.startedAt, c.boot, lost...) {
		k.config.OnNews()
	}
}

// suspects returns the parts of the lost requests and their keys as in log lines, up to
// maxLoggedKeys of each.
func (c *crashCheck) suspects() (parts, requests []string) {
	var keys []uint64
	for _, r := range c.lost {
		keys = append(keys, r.Keys...)
	}
	slices.Sort(keys)
	for _, key := range slices.Compact(keys) {
		out := &parts
		if suspector.IsRequest(key) {
			out = &requests
		}
		if len(*out) < maxLoggedKeys {
			*out = append(*out, FormatKey(key))
		}
	}
	return parts, requests
}

// FormatKey returns the key as in log lines and dumps. That of a part is the part's ID, if it
// fits.
func FormatKey(key uint64) string { return fmt.Sprintf("%x", key) }

// peerClosed reports whether the error says that the peer closed or reset the connection.
func peerClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
