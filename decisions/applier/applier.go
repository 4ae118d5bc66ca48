// Package applier checks release notes against the configuration and shows
// what they would change.
package applier

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/zeebo/errs"

	"filbertstile.example/filbertstile"
)

const (
	step            = "check release notes"
	maxNameLength   = 63
	digestHexLength = 64
	maxPercent      = 100
)

// nameAlphabet is what names are made of; they appear in paths and settings.
const nameAlphabet = "abcdefghijklmnopqrstuvwxyz0123456789-."

type checker struct {
	before   filbertstile.Config
	after    filbertstile.Config
	problems errs.Group
}

// Check returns the configuration after the change, or every problem with it.
// The change is checked as a whole: nothing of it is in force if any part is
// wrong.
func Check(before filbertstile.Config, ch filbertstile.Change) (filbertstile.Config, error) {
	c := &checker{before: before}
	c.notes(ch.Notes)
	c.marks(ch.Marks)
	if empty(ch) {
		c.fail("ReleaseNotes", "lists nothing")
	}
	c.after = before.WithChange(ch)
	c.references()
	if err := c.problems.Err(); err != nil {
		return before, err
	}
	return c.after, nil
}

func empty(ch filbertstile.Change) bool {
	return len(ch.Marks) == 0 && reflect.DeepEqual(ch.Notes, filbertstile.ReleaseNotes{})
}

func (c *checker) fail(field, format string, args ...any) {
	c.problems.Add(filbertstile.ErrField{Step: step, Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) notes(n filbertstile.ReleaseNotes) {
	checkTable(c, "Accounts", c.before.Accounts, n.Added.Accounts, n.Changed.Accounts, n.Withdrawn.Accounts)
	checkTable(c, "Tiers", c.before.Tiers, n.Added.Tiers, n.Changed.Tiers, n.Withdrawn.Tiers)
	checkTable(c, "Releases", c.before.Releases, n.Added.Releases, n.Changed.Releases, n.Withdrawn.Releases)
	checkTable(c, "Services", c.before.Services, n.Added.Services, n.Changed.Services, n.Withdrawn.Services)
	for _, set := range []struct {
		list     string
		entities filbertstile.Entities
	}{{"Added", n.Added}, {"Changed", n.Changed}} {
		for _, a := range set.entities.Accounts {
			c.account(set.list+".Accounts."+a.Name, a)
		}
		for _, t := range set.entities.Tiers {
			c.tier(set.list+".Tiers."+t.Name, t)
		}
		for _, r := range set.entities.Releases {
			c.release(set.list+".Releases."+r.Name, r)
		}
		for _, s := range set.entities.Services {
			c.service(set.list+".Services."+s.Name, s)
		}
	}
	for _, r := range n.Changed.Releases {
		old, ok := c.before.Releases.Get(r.Name)
		if ok && old.Manifest != r.Manifest {
			c.fail("Changed.Releases."+r.Name+".Manifest", "a release's weights never change: add a release with another name")
		}
	}
}

// checkTable checks that added rows are new, the others known, and each named
// only once.
func checkTable[R filbertstile.Row](c *checker, table string, have filbertstile.Table[R], added, changed []R, withdrawn []string) {
	seen := make(map[string]string)
	once := func(list, name string) {
		field := list + "." + table + "." + name
		if before, twice := seen[name]; twice {
			c.fail(field, "is already listed under %s", before)
		}
		seen[name] = list
	}
	for _, r := range added {
		once("Added", r.Key())
		c.name("Added."+table, r.Key())
		if _, ok := have.Get(r.Key()); ok {
			c.fail("Added."+table+"."+r.Key(), "exists already; list it under Changed")
		}
	}
	for _, r := range changed {
		once("Changed", r.Key())
		if _, ok := have.Get(r.Key()); !ok {
			c.fail("Changed."+table+"."+r.Key(), "does not exist; list it under Added")
		}
	}
	for _, name := range withdrawn {
		once("Withdrawn", name)
		if _, ok := have.Get(name); !ok {
			c.fail("Withdrawn."+table+"."+name, "does not exist")
		}
	}
}

func (c *checker) name(field, name string) {
	if name == "" {
		c.fail(field+".Name", "is missing")
		return
	}
	if len(name) > maxNameLength {
		c.fail(field+".Name", "%q is longer than %d characters", name, maxNameLength)
	}
	if strings.Trim(name, nameAlphabet) != "" {
		c.fail(field+".Name", "%q may hold only lower-case letters, digits, '-' and '.'", name)
	}
}

func (c *checker) digest(field, value string) {
	if _, err := hex.DecodeString(value); err != nil || len(value) != digestHexLength || strings.ToLower(value) != value {
		c.fail(field, "must be %d lower-case hexadecimal digits, is %q", digestHexLength, value)
	}
}

func (c *checker) account(field string, a filbertstile.Account) {
	c.digest(field+".TokenDigest", a.TokenDigest)
	if a.RatePerSecond <= 0 {
		c.fail(field+".RatePerSecond", "must be above 0, is %v", a.RatePerSecond)
	}
	if a.Burst < 1 {
		c.fail(field+".Burst", "must be at least 1, is %v", a.Burst)
	}
}

func (c *checker) tier(field string, t filbertstile.Tier) {
	if t.Weight < 1 {
		c.fail(field+".Weight", "must be at least 1, is %d", t.Weight)
	}
	if t.FloorPercent < 0 || t.FloorPercent > maxPercent {
		c.fail(field+".FloorPercent", "must be from 0 to 100, is %d", t.FloorPercent)
	}
}

func (c *checker) release(field string, r filbertstile.Release) {
	c.digest(field+".Manifest", r.Manifest)
	if r.Kind != filbertstile.ReleaseModel && r.Kind != filbertstile.ReleaseAdapter {
		c.fail(field+".Kind", "must be Model or Adapter, is %q", r.Kind)
	}
}

func (c *checker) service(field string, s filbertstile.Service) {
	switch s.Kind {
	case filbertstile.ServiceModel:
		if len(s.NonIdempotentMethods) > 0 {
			c.fail(field+".NonIdempotentMethods", "is for plain services only")
		}
	case filbertstile.ServicePlain:
		if s.Release != "" {
			c.fail(field+".Release", "is for model services only")
		}
	default:
		c.fail(field+".Kind", "must be Model or Plain, is %q", s.Kind)
	}
	if s.CapacityFloorPercent < 0 || s.CapacityFloorPercent > maxPercent {
		c.fail(field+".CapacityFloorPercent", "must be from 0 to 100, is %d", s.CapacityFloorPercent)
	}
	methods := []string{"POST", "PUT", "PATCH", "DELETE"}
	for _, m := range s.NonIdempotentMethods {
		if !slices.Contains(methods, m) {
			c.fail(field+".NonIdempotentMethods", "may list %s, not %q", strings.Join(methods, ", "), m)
		}
	}
}

func (c *checker) marks(marks []filbertstile.Mark) {
	for _, m := range marks {
		if m.Kind != filbertstile.MarkDomain && m.Kind != filbertstile.MarkHost {
			c.fail("Marks."+m.Name+".Kind", "must be Domain or Host, is %q", m.Kind)
		}
		c.name("Marks", m.Name)
	}
}

// references checks the whole configuration after the change.
func (c *checker) references() {
	floors := 0
	for _, t := range c.after.Tiers.All() {
		floors += t.FloorPercent
	}
	if floors > maxPercent {
		c.fail("Tiers.FloorPercent", "the floors add up to %d, more than 100", floors)
	}
	tokens := make(map[string]string)
	for _, a := range c.after.Accounts.All() {
		if _, ok := c.after.Tiers.Get(a.Tier); !ok {
			c.fail("Accounts."+a.Name+".Tier", "no tier is named %q", a.Tier)
		}
		for _, s := range a.Services {
			if _, ok := c.after.Services.Get(s); !ok {
				c.fail("Accounts."+a.Name+".Services", "no service is named %q", s)
			}
		}
		if other, ok := tokens[a.TokenDigest]; ok {
			c.fail("Accounts."+a.Name+".TokenDigest", "is the same as that of account %s", other)
		}
		tokens[a.TokenDigest] = a.Name
	}
	for _, s := range c.after.Services.All() {
		c.serviceRelease(s)
	}
	for _, r := range c.after.Releases.All() {
		s, ok := c.after.Services.Get(r.Service)
		if !ok || s.Kind != filbertstile.ServiceModel {
			c.fail("Releases."+r.Name+".Service", "no model service is named %q", r.Service)
		}
	}
}

func (c *checker) serviceRelease(s filbertstile.Service) {
	if s.Release == "" {
		return
	}
	r, ok := c.after.Releases.Get(s.Release)
	if !ok {
		c.fail("Services."+s.Name+".Release", "no release is named %q", s.Release)
		return
	}
	if r.Service != s.Name {
		c.fail("Services."+s.Name+".Release", "release %s is for service %s", r.Name, r.Service)
	}
}

// Touched lists the entities that a change names, as table/name.
func Touched(ch filbertstile.Change) []string {
	var out []string
	for _, set := range []filbertstile.Entities{ch.Notes.Added, ch.Notes.Changed} {
		out = append(out, keys("Accounts", set.Accounts)...)
		out = append(out, keys("Tiers", set.Tiers)...)
		out = append(out, keys("Releases", set.Releases)...)
		out = append(out, keys("Services", set.Services)...)
	}
	w := ch.Notes.Withdrawn
	for _, list := range []struct {
		table string
		names []string
	}{{"Accounts", w.Accounts}, {"Tiers", w.Tiers}, {"Releases", w.Releases}, {"Services", w.Services}} {
		for _, n := range list.names {
			out = append(out, list.table+"/"+n)
		}
	}
	return append(out, keys("Marks", ch.Marks)...)
}

func keys[R filbertstile.Row](table string, rows []R) []string {
	out := make([]string, 0, len(rows))
	for _, r := range rows {
		out = append(out, table+"/"+r.Key())
	}
	return out
}

// Overlap returns the entities that both changes name.
func Overlap(a, b filbertstile.Change) []string {
	var out []string
	mine := Touched(a)
	for _, k := range Touched(b) {
		if slices.Contains(mine, k) {
			out = append(out, k)
		}
	}
	return out
}
