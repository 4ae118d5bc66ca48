package storer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/outside/journaler"
	"filbertstile.example/filbertstile/outside/storer"
	"filbertstile.example/filbertstile/rigs/bubbler"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/rigs/shaper"
)

// withStore runs f in virtual time with a simulated object API and a client of it.
func withStore(t *testing.T, f func(ctx context.Context, is *is.I, api *imitator.ObjectAPI, c *storer.Client)) {
	t.Helper()
	bubbler.Run(t, func(ctx context.Context, t *testing.T) {
		ctx, cancel := context.WithCancel(ctx)
		n := shaper.NewMemory()
		api := imitator.NewObjectAPI()
		address, wait, err := imitator.Start(ctx, n, api)
		if err != nil {
			t.Fatal(err)
		}
		c := storer.New(storer.Config{Address: address, Network: n, Metrics: metrics.NewRegistry()})
		f(ctx, is.New(t), api, c)
		c.Close()
		cancel()
		wait()
	})
}

func TestConditionalUpdate(t *testing.T) {
	withStore(t, func(ctx context.Context, is *is.I, _ *imitator.ObjectAPI, c *storer.Client) {
		o, err := c.Put(ctx, "k", 0, []byte("a"))
		is.NoErr(err)
		_, err = c.Put(ctx, "k", 0, []byte("b"))
		var conflict filbertstile.ErrConflict
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Have, o.Version)
		o, err = c.Put(ctx, "k", o.Version, []byte("c"))
		is.NoErr(err)
		got, err := c.Get(ctx, "k")
		is.NoErr(err)
		is.Equal(string(got.Value), "c")
		is.Equal(got.Version, o.Version)
		is.NoErr(c.Delete(ctx, "k", o.Version))
		_, err = c.Get(ctx, "k")
		var notFound filbertstile.ErrNotFound
		is.True(errors.As(err, &notFound))
	})
}

// TestLostResponseIsResolved guards against a write that took effect but is reported as
// a conflict with itself because its response was lost.
func TestLostResponseIsResolved(t *testing.T) {
	withStore(t, func(ctx context.Context, is *is.I, api *imitator.ObjectAPI, c *storer.Client) {
		api.SetFaults(imitator.ObjectFaults{DropResponses: 2})
		_, err := c.Put(ctx, "k", 0, []byte("mine"))
		is.NoErr(err) // the write took effect although its response was lost
		api.SetFaults(imitator.ObjectFaults{})
		log := journaler.New(c, "log/")
		_, err = log.Append(ctx, 1, []byte("one"))
		is.NoErr(err)
		_, err = log.Append(ctx, 1, []byte("other"))
		var conflict filbertstile.ErrConflict
		is.True(errors.As(err, &conflict)) // another entry with the same number is rejected
		entries, _, err := log.Read(ctx, 0)
		is.NoErr(err)
		is.Equal(len(entries), 1)
		is.Equal(string(entries[0].Value), "one")
	})
}

func TestOutageIsReportedAsUncertain(t *testing.T) {
	withStore(t, func(ctx context.Context, is *is.I, api *imitator.ObjectAPI, c *storer.Client) {
		api.SetFaults(imitator.ObjectFaults{Down: true})
		short, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		_, err := c.Put(short, "k", 0, []byte("a"))
		var uncertain filbertstile.ErrUncertain
		is.True(errors.As(err, &uncertain))
	})
}

func TestWatchResumes(t *testing.T) {
	withStore(t, func(ctx context.Context, is *is.I, api *imitator.ObjectAPI, c *storer.Client) {
		_, err := c.Put(ctx, "p/1", 0, []byte("a"))
		is.NoErr(err)
		b, err := c.Watch(ctx, "p/", 0)
		is.NoErr(err)
		is.Equal(len(b.Objects), 1)
		go func() {
			time.Sleep(3 * time.Second)
			_, _ = c.Put(ctx, "p/2", 0, []byte("b"))
		}()
		start := time.Now()
		b, err = c.Watch(ctx, "p/", b.Revision)
		is.NoErr(err)
		is.Equal(len(b.Objects), 1)
		is.Equal(string(b.Objects[0].Value), "b")
		is.True(time.Since(start) >= 3*time.Second) // the watch waited for the write
		b, err = c.Watch(ctx, "p/", b.Revision)
		is.NoErr(err)
		is.Equal(len(b.Objects), 0) // the watch ends without a change
	})
}

// TestCallRateIsLimited guards against a process that overloads the platform's store:
// calls over the limit wait.
func TestCallRateIsLimited(t *testing.T) {
	withStore(t, func(ctx context.Context, is *is.I, _ *imitator.ObjectAPI, c *storer.Client) {
		start := time.Now()
		for range 300 {
			_, err := c.List(ctx, "none/", "")
			is.NoErr(err)
		}
		// 100 calls at once, then 50 per second.
		is.True(time.Since(start) >= 4*time.Second-time.Millisecond)
	})
}
