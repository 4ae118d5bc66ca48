package tracker_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/outside/tracker"
)

// newTestTracker returns a tracker of the store's objects, of which those that begin with
// "unreadable" cannot be decoded, and what it logs.
func newTestTracker(s filbertstile.Store) (*tracker.Tracker[row], *strings.Builder) {
	var out strings.Builder
	log := logrus.New()
	log.SetOutput(&out)
	started := time.Now()
	return tracker.New(tracker.Config[row]{
		Store: s, Prefix: "kind/", WatchTimeout: watchTimeout, Log: reporter.New(reporter.Config{Logger: log}),
		Clock: func() time.Duration { return time.Since(started) }, KeepMissing: keepMissing,
		Decode: func(o filbertstile.Object) (row, error) {
			if strings.HasPrefix(string(o.Value), "unreadable") || len(o.Value) == 0 {
				return row{}, fmt.Errorf("cannot decode %s", o.Key)
			}
			return row{name: o.Key, value: string(o.Value)}, nil
		},
	}), &out
}

// TestHistoryIsBoundedInBytes guards against memory without limit while large objects are
// written again and again.
func TestHistoryIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	x, _ := newTestTracker(nil)
	is.True(x.Follow(tracker.Update{Complete: true, Revision: 1}, 0))
	large := []byte(strings.Repeat("x", 1<<20))
	for revision := uint64(2); revision < 100; revision++ {
		u := tracker.Update{From: revision - 1, Revision: revision, Objects: []filbertstile.Object{{Key: "kind/a", Version: revision, Value: large}}}
		is.True(x.Follow(u, 0))
	}
	size := 0
	for _, o := range x.Since(0, 2).Objects {
		size += len(o.Value)
	}
	is.True(size <= 8<<20)
	is.Equal(len(x.Since(0, 98).Objects), 1) // a process that is little behind gets the change alone
	is.True(!x.Since(0, 98).Complete)
	is.True(x.Since(0, 2).Complete)
}
