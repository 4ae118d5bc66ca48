package edgerunner

import (
	"errors"
	"net"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/grouper"
	"filbertstile.example/filbertstile/outside/tracker"
	"filbertstile.example/filbertstile/transport/pulser"
)

// discardingConn is a datagram connection on which nothing arrives.
type discardingConn struct{ pulser.Conn }

func (discardingConn) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }

// comparingEntry is an entry with peers a and b that has just started.
type comparingEntry struct {
	*Edge
	store    *newsStore
	revision uint64
}

func newComparingEntry() *comparingEntry {
	s := newNewsStore()
	e := newNewsEntry(s)
	e.matcher.Store(nil)
	e.config.Bounds.RevokeTimeout = 5 * time.Second
	e.pulser = pulser.New(pulser.Config{Conn: discardingConn{}, Log: e.config.Log})
	e.division.Store(&grouper.Division{Groups: 1, GroupPeers: []filbertstile.Member{{Name: "a", Address: "127.0.0.1:1"}, {Name: "b", Address: "127.0.0.1:2"}}})
	e.sources.Routing = tracker.New(tracker.Config[filbertstile.Routing]{
		Clock: s.clock, Prefix: "config/", OnChange: e.Refresh, Log: e.config.Log,
		Older: func(listed, held filbertstile.Routing) bool { return listed.Version < held.Version },
		Decode: func(o filbertstile.Object) (filbertstile.Routing, error) {
			n, err := strconv.ParseInt(string(o.Value), 10, 64)
			return filbertstile.Routing{
				Version: n, Accounts: filbertstile.NewTable(filbertstile.AccountAccess{Account: "clerk", Keys: []string{"key"}}),
				Routes: filbertstile.NewTable(filbertstile.Route{Name: "r", HostName: "a", PathPrefix: "/", Targets: []filbertstile.Target{{Service: "s", Weight: 1}}}),
			}, err
		},
	})
	out := &comparingEntry{Edge: e, store: s}
	out.run(time.Second) // 0 is no time of a confirmation
	return out
}

// run lets the entry run for the time.
func (e *comparingEntry) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(multiGroupLoadInterval) {
		e.senders.tick()
	}
	e.senders.tick()
}

// list makes the store list the version in the era, as confirmed now.
func (e *comparingEntry) list(era uint64, version int64) {
	e.revision++
	e.sources.Routing.Follow(tracker.Update{Era: era, Revision: e.revision, Complete: true, Objects: []filbertstile.Object{{
		Key: "config/main", Version: e.revision, Value: []byte(strconv.FormatInt(version, 10)),
	}}}, e.store.clock())
}

// admit returns the error code of a request with the key.
func (e *comparingEntry) admit() string {
	var rejected filbertstile.ErrRequest
	if _, err := e.Admit(Request{HostName: "a", Path: "/x", Key: "key", Arrived: time.Now()}); err != nil && !errors.As(err, &rejected) {
		panic(err)
	}
	return rejected.Code
}

// hear makes the entry hear what another one has in force.
func (e *comparingEntry) hear(name string, in *wire.InForce) {
	e.learnInForce(&wire.Pulse{Name: name, InForce: in})
}

func withComparingEntry(t *testing.T, f func(is *is.I, e *comparingEntry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(is.New(t), newComparingEntry()) })
}

// TestStartWaitsForOtherEntries guards against an entry that serves what the store lists at its
// start, while others may have something later in force, and against one that waits for entries
// that do not run or that have just started, too.
func TestStartWaitsForOtherEntries(t *testing.T) {
	starting := &wire.InForce{Asks: true}
	for _, c := range []struct {
		name string
		hear func(e *comparingEntry)
		// atOnce and later are the codes at once and after compareTimeout.
		atOnce, later string
	}{
		{"Nobody", func(*comparingEntry) {}, CodeNotReady, ""},
		{"OneHasTheSame", func(e *comparingEntry) { e.hear("a", &wire.InForce{ConfigVersion: 5, Era: 2, Compared: true}) }, "", ""},
		{"OneHasAnOlderOne", func(e *comparingEntry) { e.hear("a", &wire.InForce{ConfigVersion: 4, Era: 2, Compared: true}) }, "", ""},
		{"OneHasALaterOne", func(e *comparingEntry) { e.hear("a", &wire.InForce{ConfigVersion: 8, Era: 1, Compared: true}) }, CodeNotReady, CodeNotReady},
		{"OneOfTheEraBefore", func(e *comparingEntry) { e.hear("a", &wire.InForce{ConfigVersion: 5, Era: 1, Compared: true}) }, CodeNotReady, ""},
		{"OneHasJustStarted", func(e *comparingEntry) { e.hear("a", starting) }, CodeNotReady, ""},
		{"AllHaveJustStarted", func(e *comparingEntry) { e.hear("a", starting); e.hear("b", starting) }, "", ""},
		{"OneThatAsksHasALaterOne", func(e *comparingEntry) {
			e.hear("a", starting)
			e.hear("b", &wire.InForce{ConfigVersion: 8, Asks: true})
		}, CodeNotReady, CodeNotReady},
		{"EarlierBuild", func(e *comparingEntry) { e.hear("a", nil) }, CodeNotReady, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			withComparingEntry(t, func(is *is.I, e *comparingEntry) {
				is.Equal(e.admit(), CodeNotReady)
				e.list(2, 5)
				is.Equal(e.admit(), CodeNotReady)
				c.hear(e)
				is.Equal(e.admit(), c.atOnce)
				e.run(compareTimeout)
				is.Equal(e.admit(), c.later)
				e.list(2, 8) // written again
				is.Equal(e.admit(), "")
			})
		})
	}
}

// TestReportedVersionExpires guards against an entry that never serves because it has once heard
// of a version that nobody has any more.
func TestReportedVersionExpires(t *testing.T) {
	withComparingEntry(t, func(is *is.I, e *comparingEntry) {
		e.list(2, 5)
		e.hear("a", &wire.InForce{ConfigVersion: 8, Era: 1, Compared: true})
		e.run(reportLifetime - time.Second)
		e.list(2, 5)
		is.Equal(e.admit(), CodeNotReady)
		e.run(1100 * time.Millisecond)
		e.list(2, 5)
		e.hear("b", &wire.InForce{ConfigVersion: 5, Era: 2, Compared: true})
		is.Equal(e.admit(), "")
	})
}

// TestNewEraConfirmsNothingAlone guards against an entry that was out of touch while a key was
// withdrawn, and takes the older copy of the store for a confirmation of the key.
func TestNewEraConfirmsNothingAlone(t *testing.T) {
	withComparingEntry(t, func(is *is.I, e *comparingEntry) {
		same := &wire.InForce{ConfigVersion: 5, Era: 1, Compared: true}
		e.list(1, 5)
		e.hear("a", same)
		is.Equal(e.admit(), "")
		e.run(time.Second)
		e.list(2, 5)
		is.Equal(e.admit(), "") // keys work for a while after the last confirmation
		e.run(compareTimeout)
		is.Equal(e.admit(), "")

		// The entry stands still for longer than keys may work, and then reads what has waited.
		time.Sleep(6 * time.Second)
		is.Equal(e.admit(), CodeStale)
		e.list(3, 5)
		e.hear("a", &wire.InForce{ConfigVersion: 5, Era: 2, Compared: true})
		is.Equal(e.admit(), CodeStale)
		e.hear("a", &wire.InForce{ConfigVersion: 8, Era: 2, Compared: true})
		e.run(2 * compareTimeout)
		e.list(3, 5)
		is.Equal(e.admit(), CodeStale)
		e.list(3, 8)
		is.Equal(e.admit(), "")
	})
}

// TestVersionOnItsWayClosesNothing guards against an entry that refuses requests because it has
// heard of a change before its own copy of the store has it.
func TestVersionOnItsWayClosesNothing(t *testing.T) {
	withComparingEntry(t, func(is *is.I, e *comparingEntry) {
		e.list(1, 5)
		e.hear("a", &wire.InForce{ConfigVersion: 5, Era: 1, Compared: true})
		is.Equal(e.admit(), "")
		e.list(1, 5)
		e.hear("a", &wire.InForce{ConfigVersion: 6, Era: 1, Compared: true})
		e.run(time.Second)
		is.Equal(e.admit(), "")
		e.list(1, 5) // confirmed without the version: the store has lost it
		is.Equal(e.admit(), CodeStale)
		e.sources.Routing.Adopt([]filbertstile.Object{{Key: "config/main", Value: []byte("6")}})
		is.Equal(e.admit(), "")
	})
}

// TestReportedMarksCountForAWhile guards against an evacuation that an entry does not see because the
// store has lost it, and against one that is kept although it has been taken back.
func TestReportedMarksCountForAWhile(t *testing.T) {
	withComparingEntry(t, func(is *is.I, e *comparingEntry) {
		list := func(era, revision uint64) {
			e.sources.Marks.Follow(tracker.Update{Era: era, Revision: revision, Complete: true}, e.store.clock())
		}
		hear := func(domains ...string) { e.hear("a", &wire.InForce{OutOfService: domains}) }
		hear("d1")
		is.Equal(e.outOfService(), map[string]bool{"d1": true}) // the marks are not listed yet
		list(1, 9)
		is.Equal(e.outOfService(), map[string]bool{"d1": true})
		hear()
		is.Equal(e.outOfService(), map[string]bool{}) // taken back
		hear("d2")
		e.run(reportedMarksTime)
		hear("d2")
		is.Equal(e.outOfService(), map[string]bool{}) // the own copy has them by now
		list(2, 7)
		is.Equal(e.outOfService(), map[string]bool{"d2": true})
		e.run(pulser.HeartbeatTimeout + time.Second/10)
		is.Equal(e.outOfService(), map[string]bool{}) // the entry that reports them has ended
	})
}
