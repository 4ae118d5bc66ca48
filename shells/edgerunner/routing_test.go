package edgerunner

import (
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/outside/tracker"
)

// TestWithdrawnKeyAfterStoreIsBack guards against a request with a withdrawn key that is admitted because
// the copy of the store is up to date again, while the routing in use still has the key.
func TestWithdrawnKeyAfterStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newNewsStore()
		e := newNewsEntry(s)
		e.matcher.Store(nil)
		e.config.Bounds.RevokeTimeout = 5 * time.Second
		e.sources.Routing = tracker.New(tracker.Config[filbertstile.Routing]{
			Clock: s.clock, Prefix: "config/", OnChange: e.Refresh,
			Decode: func(o filbertstile.Object) (filbertstile.Routing, error) {
				n, err := strconv.ParseInt(string(o.Value), 10, 64)
				r := filbertstile.Routing{Version: n, Accounts: filbertstile.NewTable(filbertstile.AccountAccess{Account: "clerk", Keys: []string{"k" + string(o.Value)}})}
				r.Routes = filbertstile.NewTable(filbertstile.Route{Name: "r", HostName: "a", PathPrefix: "/", Targets: []filbertstile.Target{{Service: "s", Weight: 1}}})
				return r, err
			},
		})
		update := func(from, revision uint64, value string) {
			is.True(e.sources.Routing.Follow(tracker.Update{
				From: from, Revision: revision, Complete: from == 0, Objects: []filbertstile.Object{{Key: "config/main", Version: revision, Value: []byte(value)}},
			}, s.clock()))
		}
		admit := func(key string) string {
			_, err := e.Admit(Request{HostName: "a", Path: "/x", Key: key, Arrived: time.Now()})
			var rejected filbertstile.ErrRequest
			if err != nil && !errors.As(err, &rejected) {
				t.Fatal(err)
			}
			return rejected.Code
		}
		is.Equal(admit("k1"), CodeNotReady)
		update(0, 1, "1")
		first, _ := e.routing()
		e.applyRouting(first)
		is.Equal(admit("k1"), "")
		time.Sleep(5 * time.Second)
		is.Equal(admit("k1"), CodeStale)
		update(1, 2, "2")
		is.Equal(admit("k1"), CodeUnknownKey)
		is.Equal(admit("k2"), "")
	})
}

// TestUnreadableRoutingReplacesNothing guards against an entry that loses its routing, or goes back to
// an older one, while the configuration cannot be decoded or is gone.
func TestUnreadableRoutingReplacesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newNewsStore()
		e := newNewsEntry(s)
		e.matcher.Store(nil)
		e.sources.Routing = tracker.New(tracker.Config[filbertstile.Routing]{
			Clock: s.clock, Prefix: "config/", OnChange: e.Refresh, Log: e.config.Log,
			Decode: func(o filbertstile.Object) (filbertstile.Routing, error) {
				n, err := strconv.ParseInt(string(o.Value), 10, 64)
				return filbertstile.Routing{Version: n}, err
			},
		})
		for i, c := range []struct {
			value string
			want  int64
		}{{"3", 3}, {"[[[", 3}, {"[[", 3}, {"2", 3}, {"", 3}, {"4", 4}} {
			is.True(e.sources.Routing.Follow(tracker.Update{
				From: uint64(i), Revision: uint64(i + 1), Complete: i%2 == 0,
				Objects: []filbertstile.Object{{Key: "config/main", Version: uint64(i + 1), Value: []byte(c.value), Removed: c.value == "" && i%2 != 0}},
			}, s.clock()))
			m, _ := e.currentMatcher()
			is.Equal(m.Routing().Version, c.want)
			r, ok := e.routing()
			is.True(ok)
			is.Equal(r.Version, c.want)
		}
	})
}
