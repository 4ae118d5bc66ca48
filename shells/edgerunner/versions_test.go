package edgerunner

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/placer"
)

// TestReportedVersionIsDue guards against a version that counts as chosen only when the entry's
// copy of the store shows it, although other processes have reported it before.
func TestReportedVersionIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newNewsStore()
		e := newNewsEntry(s)
		s.keepCurrent(ctx, e)
		time.Sleep(time.Minute)
		s.holdUp(time.Minute)
		time.Sleep(time.Second)
		versions := []*wire.WeightsVersion{{Model: "m", Version: 2, Manifest: "digest"}}
		is.True(e.recordReportedVersions("entry-2", versions))
		due := e.sources.Weights.View().ConfirmedAt + rolloutTimeout
		is.True(due <= s.clock()+rolloutTimeout-time.Second) // the copy was confirmed before the wait
		want := []placer.DueVersion{{Version: 2, At: time.Now().Add(due - s.clock())}}
		is.Equal(e.versionFloor("s").Next, want)
		time.Sleep(time.Second)
		is.True(!e.recordReportedVersions("entry-3", versions)) // the first report counts
		is.Equal(e.versionFloor("s").Next, want)
		is.Equal(len(e.chosenVersions["m"]), 2)
		cancel()
		synctest.Wait()
	})
}

// TestReportedVersionAtStart guards against an entry that has just started and takes a version
// that was chosen long before for a new one.
func TestReportedVersionAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newNewsEntry(newNewsStore())
		is.True(e.recordReportedVersions("entry-2", []*wire.WeightsVersion{{Model: "m", Version: 2}}))
		is.Equal(e.chosenVersions["m"][0].version, int64(1))
		for _, v := range e.chosenVersions["m"] {
			is.Equal(e.dueIn(v), settleTime-startDelay)
		}
	})
}

// TestOddVersionsLeaveRoomInHeartbeats guards against heartbeats that are too large to be sent, as
// versions are named of models that no engine runs.
func TestOddVersionsLeaveRoomInHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newNewsEntry(newNewsStore())
		versions := []*wire.WeightsVersion{{Model: "m", Version: 2, Manifest: "digest"}, {Model: strings.Repeat("x", 1<<20), Version: 1}}
		for i := range 1000 {
			versions = append(versions, &wire.WeightsVersion{Model: fmt.Sprintf("odd-model-%d", i), Version: 1, Manifest: strings.Repeat("d", 64)})
		}
		e.recordReportedVersions("entry-2", versions)
		e.learnManifests(versions)
		size := 0
		sent := make(map[string]bool)
		for _, w := range e.weightsToSend() {
			size += proto.Size(w)
			sent[fmt.Sprint(w.GetModel(), " ", w.GetVersion(), " ", w.GetManifest())] = true
		}
		is.True(size < 1<<10)
		is.True(sent["m 2 digest"])
	})
}

// TestLaterManifestReplacesWrongOne guards against an entry that goes on announcing the first manifest
// that it has heard of, after hosts have found out that it is wrong.
func TestLaterManifestReplacesWrongOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newNewsEntry(newNewsStore())
		learn := func(digest string, revision uint32) bool {
			return e.learnManifests([]*wire.WeightsVersion{{Model: "m", Version: 2, Manifest: digest, ManifestRevision: revision}})
		}
		is.True(learn("wrong", 0))
		is.True(!learn("sound", 0)) // which of the two is wrong is not known
		is.True(learn("sound", 1))
		is.True(!learn("wrong", 0))
		for _, w := range e.weightsToSend() {
			is.Equal(w.GetManifest(), "sound")
			is.Equal(w.GetManifestRevision(), uint32(1))
		}
	})
}
