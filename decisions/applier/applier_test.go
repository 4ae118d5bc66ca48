package applier_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/applier"
)

var digest = strings.Repeat("ab", 32)

func base() filbertstile.Config {
	return filbertstile.Config{
		Revision: 3,
		Tiers:    filbertstile.NewTable(filbertstile.Tier{Name: "high", Rank: 2, Weight: 4, FloorPercent: 60}),
		Accounts: filbertstile.NewTable(filbertstile.Account{Name: "a", TokenDigest: digest, Tier: "high", RatePerSecond: 1, Burst: 1}),
		Services: filbertstile.NewTable(
			filbertstile.Service{Name: "m", Kind: filbertstile.ServiceModel, Release: "r1"},
			filbertstile.Service{Name: "p", Kind: filbertstile.ServicePlain, NonIdempotentMethods: []string{"POST"}},
		),
		Releases: filbertstile.NewTable(filbertstile.Release{Name: "r1", Service: "m", Kind: filbertstile.ReleaseModel, Manifest: digest}),
	}
}

func added(e filbertstile.Entities) filbertstile.ReleaseNotes {
	return filbertstile.ReleaseNotes{Added: e}
}

func changed(e filbertstile.Entities) filbertstile.ReleaseNotes {
	return filbertstile.ReleaseNotes{Changed: e}
}

func TestNotesAreCheckedAsAWhole(t *testing.T) {
	account := filbertstile.Account{Name: "b", TokenDigest: strings.Repeat("cd", 32), Tier: "high", RatePerSecond: 1, Burst: 1}
	with := func(f func(a *filbertstile.Account)) filbertstile.ReleaseNotes {
		a := account
		f(&a)
		return added(filbertstile.Entities{Accounts: []filbertstile.Account{a}})
	}
	release := filbertstile.Release{Name: "r2", Service: "m", Kind: filbertstile.ReleaseModel, Manifest: digest}
	for _, c := range []struct {
		name  string
		notes filbertstile.ReleaseNotes
		want  string // empty if the notes are in order
	}{
		{"in order", with(func(*filbertstile.Account) {}), ""},
		{"nothing", filbertstile.ReleaseNotes{}, "lists nothing"},
		{"unknown tier", with(func(a *filbertstile.Account) { a.Tier = "none" }), "Accounts.b.Tier"},
		{"unknown service", with(func(a *filbertstile.Account) { a.Services = []string{"x"} }), "Accounts.b.Services"},
		{"rate", with(func(a *filbertstile.Account) { a.RatePerSecond = 0 }), "RatePerSecond"},
		{"burst", with(func(a *filbertstile.Account) { a.Burst = 0.5 }), "Burst"},
		{"token", with(func(a *filbertstile.Account) { a.TokenDigest = "x" }), "TokenDigest"},
		{"same token", with(func(a *filbertstile.Account) { a.TokenDigest = digest }), "same as that of account a"},
		{"name", with(func(a *filbertstile.Account) { a.Name = "B!" }), "lower-case"},
		{"no name", with(func(a *filbertstile.Account) { a.Name = "" }), "missing"},
		{"exists", with(func(a *filbertstile.Account) { a.Name = "a" }), "exists already"},
		{"does not exist", changed(filbertstile.Entities{Accounts: []filbertstile.Account{account}}), "does not exist"},
		{"tier still used", filbertstile.ReleaseNotes{Withdrawn: filbertstile.EntityNames{Tiers: []string{"high"}}}, "Accounts.a.Tier"},
		{"release still used", filbertstile.ReleaseNotes{Withdrawn: filbertstile.EntityNames{Releases: []string{"r1"}}}, "Services.m.Release"},
		{"floors", added(filbertstile.Entities{Tiers: []filbertstile.Tier{{Name: "x", Weight: 1, FloorPercent: 50}}}), "add up to 110"},
		{"weight", added(filbertstile.Entities{Tiers: []filbertstile.Tier{{Name: "x"}}}), "Weight"},
		{"release for a plain service", added(filbertstile.Entities{Releases: []filbertstile.Release{{Name: "r2", Service: "p", Kind: filbertstile.ReleaseModel, Manifest: digest}}}), "no model service"},
		{"weights change", changed(filbertstile.Entities{Releases: []filbertstile.Release{{Name: "r1", Service: "m", Kind: filbertstile.ReleaseModel, Manifest: strings.Repeat("cd", 32)}}}), "never change"},
		{"method", changed(filbertstile.Entities{Services: []filbertstile.Service{{Name: "p", Kind: filbertstile.ServicePlain, NonIdempotentMethods: []string{"GET"}}}}), "NonIdempotentMethods"},
		{"listed twice", filbertstile.ReleaseNotes{
			Added: filbertstile.Entities{Releases: []filbertstile.Release{release}}, Withdrawn: filbertstile.EntityNames{Releases: []string{"r2"}},
		}, "already listed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := base()
			after, err := applier.Check(before, filbertstile.Change{Revision: 4, Notes: c.notes})
			if c.want == "" {
				is.NoErr(err)
				is.Equal(len(applier.Diff(before, after)), 1)
				return
			}
			is.True(err != nil)
			is.Equal(after.Revision, before.Revision) // nothing is in force
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("error lacks %q: %v", c.want, err)
			}
		})
	}
}

func TestOverlap(t *testing.T) {
	is := is.New(t)
	mark := func(name string) filbertstile.Change {
		return filbertstile.Change{Marks: []filbertstile.Mark{{Kind: filbertstile.MarkDomain, Name: name}}}
	}
	is.Equal(applier.Overlap(mark("a"), mark("a")), []string{"Marks/Domain/a"})
	is.Equal(len(applier.Overlap(mark("a"), mark("b"))), 0)
}
