package validator_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/validator"
)

var digest = strings.Repeat("ab", 32)

func baseConfig() filbertstile.Config {
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

func notesAdding(e filbertstile.Entities) filbertstile.ReleaseNotes {
	return filbertstile.ReleaseNotes{Added: e}
}

func notesChanging(e filbertstile.Entities) filbertstile.ReleaseNotes {
	return filbertstile.ReleaseNotes{Changed: e}
}

// TestInvalidNotesAreRejectedAsAWhole guards against release notes of which one part is
// applied although another part is invalid, and against errors that do not name the
// problem.
func TestInvalidNotesAreRejectedAsAWhole(t *testing.T) {
	account := filbertstile.Account{Name: "b", TokenDigest: strings.Repeat("cd", 32), Tier: "high", RatePerSecond: 1, Burst: 1}
	withAccount := func(edit func(a *filbertstile.Account)) filbertstile.ReleaseNotes {
		a := account
		edit(&a)
		return notesAdding(filbertstile.Entities{Accounts: []filbertstile.Account{a}})
	}
	release := filbertstile.Release{Name: "r2", Service: "m", Kind: filbertstile.ReleaseModel, Manifest: digest}
	for _, c := range []struct {
		name  string
		notes filbertstile.ReleaseNotes
		want  string // text of the error; empty if the notes are valid
	}{
		{"valid", withAccount(func(*filbertstile.Account) {}), ""},
		{"no changes", filbertstile.ReleaseNotes{}, "lists no changes"},
		{"unknown tier", withAccount(func(a *filbertstile.Account) { a.Tier = "none" }), "Accounts.b.Tier"},
		{"unknown service", withAccount(func(a *filbertstile.Account) { a.Services = []string{"x"} }), "Accounts.b.Services"},
		{"rate of 0", withAccount(func(a *filbertstile.Account) { a.RatePerSecond = 0 }), "RatePerSecond"},
		{"burst below 1", withAccount(func(a *filbertstile.Account) { a.Burst = 0.5 }), "Burst"},
		{"token digest that is not hexadecimal", withAccount(func(a *filbertstile.Account) { a.TokenDigest = "x" }), "TokenDigest"},
		{"token of another account", withAccount(func(a *filbertstile.Account) { a.TokenDigest = digest }), "same as that of account a"},
		{"invalid characters in a name", withAccount(func(a *filbertstile.Account) { a.Name = "B!" }), "lower-case"},
		{"missing name", withAccount(func(a *filbertstile.Account) { a.Name = "" }), "missing"},
		{"added account exists", withAccount(func(a *filbertstile.Account) { a.Name = "a" }), "exists already"},
		{"changed account does not exist", notesChanging(filbertstile.Entities{Accounts: []filbertstile.Account{account}}), "does not exist"},
		{"withdrawn tier is used by an account", filbertstile.ReleaseNotes{Withdrawn: filbertstile.EntityNames{Tiers: []string{"high"}}}, "Accounts.a.Tier"},
		{"withdrawn release is used by a service", filbertstile.ReleaseNotes{Withdrawn: filbertstile.EntityNames{Releases: []string{"r1"}}}, "Services.m.Release"},
		{"floors above 100 percent", notesAdding(filbertstile.Entities{Tiers: []filbertstile.Tier{{Name: "x", Weight: 1, FloorPercent: 50}}}), "add up to 110"},
		{"weight of 0", notesAdding(filbertstile.Entities{Tiers: []filbertstile.Tier{{Name: "x"}}}), "Weight"},
		{"release of a plain service", notesAdding(filbertstile.Entities{Releases: []filbertstile.Release{{Name: "r2", Service: "p", Kind: filbertstile.ReleaseModel, Manifest: digest}}}), "no model service"},
		{"changed manifest of a release", notesChanging(filbertstile.Entities{Releases: []filbertstile.Release{{Name: "r1", Service: "m", Kind: filbertstile.ReleaseModel, Manifest: strings.Repeat("cd", 32)}}}), "never change"},
		{"method that is idempotent", notesChanging(filbertstile.Entities{Services: []filbertstile.Service{{Name: "p", Kind: filbertstile.ServicePlain, NonIdempotentMethods: []string{"GET"}}}}), "NonIdempotentMethods"},
		{"entity listed twice", filbertstile.ReleaseNotes{
			Added: filbertstile.Entities{Releases: []filbertstile.Release{release}}, Withdrawn: filbertstile.EntityNames{Releases: []string{"r2"}},
		}, "already listed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := baseConfig()
			after, err := validator.Check(before, filbertstile.Change{Revision: 4, Notes: c.notes})
			if c.want == "" {
				is.NoErr(err)
				is.Equal(len(validator.Diff(before, after)), 1)
				return
			}
			is.True(err != nil)
			is.Equal(after.Revision, before.Revision) // no part of the change is applied
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("error does not contain %q: %v", c.want, err)
			}
		})
	}
}

// TestOverlapFindsCommonMarks guards against an overlap of changes that is missed, or
// reported for changes of different entities.
func TestOverlapFindsCommonMarks(t *testing.T) {
	is := is.New(t)
	mark := func(name string) filbertstile.Change {
		return filbertstile.Change{Marks: []filbertstile.Mark{{Kind: filbertstile.MarkDomain, Name: name}}}
	}
	is.Equal(validator.Overlap(mark("a"), mark("a")), []string{"Marks/Domain/a"})
	is.Equal(len(validator.Overlap(mark("a"), mark("b"))), 0)
}
