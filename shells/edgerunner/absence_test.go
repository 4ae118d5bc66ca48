package edgerunner

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/outside/tracker"
)

// weightsUpdate returns the update of the copy of the versions to the revision, with which the
// version was named unless it is 0.
func weightsUpdate(from, revision uint64, version int) tracker.Update {
	u := tracker.Update{From: from, Revision: revision, Complete: from == 0}
	if version > 0 {
		u.Objects = []filbertstile.Object{{Key: "versions/m", Version: revision, Value: []byte(strconv.Itoa(version))}}
	}
	return u
}

// checkDue fails the test unless versions before the given one end within the limit after namedAt.
func checkDue(is *is.I, e *Edge, version int64, namedAt time.Duration) {
	is.Helper()
	for _, v := range e.chosenVersions["m"] {
		if v.version >= version && v.chosenAfter <= namedAt {
			return
		}
	}
	is.True(false) // an older version is allowed for too long
}

// TestReportDoesNotDelayEarlierVersion guards against a version that counts as chosen later because another
// process has reported a newer one before the entry's copy showed it.
func TestReportDoesNotDelayEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newNewsEntry(newNewsStore())
		w := e.sources.Weights
		w.Follow(weightsUpdate(0, 1, 1), 10*time.Second)
		// Version 2 is named at 10.1 s and version 3 at 12 s, while the entry stands still. The
		// reader's messages wait in the connection.
		e.recordReportedVersions("entry-2", []*wire.WeightsVersion{{Model: "m", Version: 3}})
		checkDue(is, e, 2, 10*time.Second)
		w.Follow(weightsUpdate(1, 2, 2), 10*time.Second)
		w.Follow(weightsUpdate(2, 4, 0), 11900*time.Millisecond)
		checkDue(is, e, 2, 10100*time.Millisecond)
		w.Follow(weightsUpdate(4, 5, 3), 11900*time.Millisecond)
		checkDue(is, e, 2, 10100*time.Millisecond)
		checkDue(is, e, 3, 12*time.Second)
	})
}

// TestVersionsInBetweenAreDue guards against an entry that missed several versions and allows one of
// them for longer than it may.
func TestVersionsInBetweenAreDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newNewsEntry(newNewsStore())
		e.sources.Weights.Follow(weightsUpdate(0, 1, 1), 10*time.Second)
		e.sources.Routing.Follow(tracker.Update{Revision: 4, Complete: true}, 13*time.Second)
		// Versions 2, 3 and 4 are named at 10.1, 10.2 and 13.1 s, while the entry stands still.
		e.sources.Weights.Follow(weightsUpdate(1, 5, 4), 13*time.Second)
		checkDue(is, e, 2, 10100*time.Millisecond)
		checkDue(is, e, 3, 10200*time.Millisecond)
		checkDue(is, e, 4, 13100*time.Millisecond)
	})
}

// TestStaleCopyShowsNoAbsence guards against a version that counts as chosen later because a read of the
// members that is out of date has an earlier revision.
func TestStaleCopyShowsNoAbsence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newNewsEntry(newNewsStore())
		e.sources.Weights.Follow(weightsUpdate(0, 1, 1), 10*time.Second)
		e.sources.Routing.Follow(tracker.Update{Revision: 1, Complete: true}, 10*time.Second)
		// Version 2 is named at 10.1 s. The members are read at 12 s, as of 2.5 s before.
		e.sources.Members.Follow(tracker.Update{Revision: 1, Complete: true}, 12*time.Second)
		e.sources.Weights.Follow(weightsUpdate(1, 2, 2), 12*time.Second)
		checkDue(is, e, 2, 10100*time.Millisecond)
	})
}
