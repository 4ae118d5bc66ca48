package distributor_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/distributor"
)

// completedReleases returns the releases that the commands report as complete.
func completedReleases(cmds []distributor.Command) []string {
	var out []string
	for _, cmd := range cmds {
		if c, ok := cmd.(distributor.Completed); ok {
			out = append(out, c.Release)
		}
	}
	return out
}

// TestReleasesWithEqualWeightsComplete guards against a release that never completes, as another
// one with the same manifest is wanted beside it or was before.
func TestReleasesWithEqualWeightsComplete(t *testing.T) {
	now := time.Unix(1e9, 0)
	self := filbertstile.Member{Name: "h0", Region: "r0"}
	wants := func(releases ...string) distributor.WantedChanged {
		var out distributor.WantedChanged
		for _, r := range releases {
			out.Wants = append(out.Wants, distributor.Want{Release: r, Manifest: manifestName})
		}
		return out
	}
	arrived := distributor.ManifestArrived{Digest: manifestName, Manifest: filbertstile.Manifest{Chunks: []filbertstile.ChunkRef{{Digest: "c", Size: 1}}}, Held: []int{0}}
	for _, c := range []struct {
		name   string
		events []distributor.Event
		want   []string
		// releases are the releases of the transfers in the end.
		releases []string
	}{
		{"together", []distributor.Event{wants("b", "a"), arrived}, []string{"b", "a"}, []string{"b", "a"}},
		{"twice the same", []distributor.Event{wants("a", "a"), arrived}, []string{"a"}, []string{"a"}},
		{"added before the end", []distributor.Event{wants("a"), wants("b", "a"), arrived}, []string{"b", "a"}, []string{"b", "a"}},
		{"added after the end", []distributor.Event{wants("a"), arrived, wants("b", "a")}, []string{"a", "b"}, []string{"b", "a"}},
		{"replaced after the end", []distributor.Event{wants("a"), arrived, wants("b")}, []string{"a", "b"}, []string{"b"}},
		{"replaced before the end", []distributor.Event{wants("a"), wants("b"), arrived}, []string{"b"}, []string{"b"}},
		{"wanted again", []distributor.Event{wants("a"), arrived, wants("a"), wants("a")}, []string{"a"}, []string{"a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			core := distributor.New(distributor.Config{Self: self, SourceRegion: "r0", Limits: distributor.DefaultLimits(), Seed: 1})
			core.Tick(now, []distributor.Event{distributor.MembersChanged{Members: []filbertstile.Member{self}}})
			var cmds []distributor.Command
			for _, e := range c.events {
				cmds = append(cmds, core.Tick(now, []distributor.Event{e})...)
			}
			is.Equal(completedReleases(cmds), c.want)
			is.True(core.Done())
			var releases []string
			for _, p := range core.Progress() {
				is.True(p.Done)
				releases = append(releases, p.Release)
			}
			is.Equal(releases, c.releases)
			for _, cmd := range cmds {
				_, dropped := cmd.(distributor.Drop)
				is.True(!dropped)
			}
		})
	}
}
