package forwarder_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// longEvents is a Link to replicas that send one long event each, which ends only if whole is set.
type longEvents struct {
	whole bool

	mu sync.Mutex
	// held is the number of bytes of the responses that are being read, and peak its maximum.
	held, peak int
}

func (l *longEvents) hold(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held += n
	l.peak = max(l.peak, l.held)
}

const longEventBytes = 200 << 10

func (l *longEvents) Send(ctx context.Context, _ forwarder.Attempt) (forwarder.Response, error) {
	text := strings.Repeat("x", longEventBytes)
	if l.whole {
		text += "\n\n"
	}
	return forwarder.Response{Status: 200, Streamed: true, Body: &longEvent{ctx: ctx, link: l, rest: strings.NewReader(text)}}, nil
}

type longEvent struct {
	ctx  context.Context
	link *longEvents
	rest *strings.Reader
	read int
}

func (b *longEvent) Read(p []byte) (int, error) {
	n, err := b.rest.Read(p)
	b.read += n
	b.link.hold(n)
	if err != nil && b.link.whole {
		return 0, io.EOF
	}
	if err != nil {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	return n, sleepUntilDone(b.ctx, time.Millisecond)
}

func (b *longEvent) Discard() {}
func (b *longEvent) Close()   { b.link.hold(-b.read) }

// TestEventsShareMemoryOfBodies guards against events without end at many streams at once, which
// together take more than the memory for responses, and against memory that is not freed.
func TestEventsShareMemoryOfBodies(t *testing.T) {
	const limit, streams, uncountedBytes = 1 << 20, 20, 24 << 10
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := placer.New(placer.Config{Region: "a"})
		p.SetFleet(time.Now(), placer.Fleet{
			Replicas: filbertstile.NewTable(filbertstile.Replica{ID: "0", Service: "s", Address: "0", Slots: 2 * streams}),
			Pools:    filbertstile.NewTable(filbertstile.PoolSpec{Service: "s"}), Entries: 1,
		})
		link := &longEvents{}
		f := forwarder.New(forwarder.Config{
			Placer: p, Link: link, BufferBytes: limit, Log: reporter.New(reporter.Config{Logger: discardLog()}),
			VersionFloor: func(string) placer.VersionFloor { return placer.VersionFloor{} }, OnRequestEnd: func(*forwarder.Call, string, time.Duration) {},
		})
		serve := func() *caller {
			c, now := &caller{}, time.Now()
			f.Serve(t.Context(), &forwarder.Call{Route: onceStream, Service: "s", Arrived: now, Deadline: now.Add(time.Second)}, c)
			return c
		}
		for range 3 {
			link.whole = false
			var wg sync.WaitGroup
			for range streams {
				wg.Go(func() { serve() })
			}
			time.Sleep(100 * time.Millisecond)
			is.True(f.Usage().StreamBytes >= limit/2)
			wg.Wait()
			is.True(link.peak <= limit+streams*uncountedBytes)
			is.Equal(f.Usage().StreamBytes+f.Usage().ResponseBytes, int64(0))
			time.Sleep(5 * time.Second) // the replica is in cooldown
			link.whole = true
			is.Equal(serve().body.Len(), longEventBytes+2)
		}
	})
}
