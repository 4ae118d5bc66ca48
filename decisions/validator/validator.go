// Package validator validates changes against the configuration, and lists what they
// change.
package validator

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
	step          = "check release notes"
	maxNameLength = 63
	// digestHexLength is the number of hexadecimal digits of a SHA-256 digest.
	digestHexLength = 64
	maxPercent      = 100
)

// nameCharacters are the characters allowed in names, which appear in paths and
// settings.
const nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-."

// checker validates one change and collects the problems.
type checker struct {
	before   filbertstile.Config
	after    filbertstile.Config
	problems errs.Group
}

// Check returns the configuration with the change applied. If any part of the change is
// invalid, it returns the configuration before the change and an error with all
// problems: a change is accepted only as a whole.
func Check(before filbertstile.Config, ch filbertstile.Change) (filbertstile.Config, error) {
	c := &checker{before: before}
	c.checkNotes(ch.Notes)
	c.checkMarks(ch.Marks)
	if isEmpty(ch) {
		c.addProblem("ReleaseNotes", "lists no changes")
	}
	c.after = before.WithChange(ch)
	c.checkReferences()
	if err := c.problems.Err(); err != nil {
		return before, err
	}
	return c.after, nil
}

func isEmpty(ch filbertstile.Change) bool {
	return len(ch.Marks) == 0 && reflect.DeepEqual(ch.Notes, filbertstile.ReleaseNotes{})
}

func (c *checker) addProblem(field, format string, args ...any) {
	c.problems.Add(filbertstile.ErrField{Step: step, Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) checkNotes(n filbertstile.ReleaseNotes) {
	checkTable(c, "Accounts", c.before.Accounts, n.Added.Accounts, n.Changed.Accounts, n.Withdrawn.Accounts)
	checkTable(c, "Tiers", c.before.Tiers, n.Added.Tiers, n.Changed.Tiers, n.Withdrawn.Tiers)
	checkTable(c, "Releases", c.before.Releases, n.Added.Releases, n.Changed.Releases, n.Withdrawn.Releases)
	checkTable(c, "Services", c.before.Services, n.Added.Services, n.Changed.Services, n.Withdrawn.Services)
	for _, set := range []struct {
		list     string
		entities filbertstile.Entities
	}{{"Added", n.Added}, {"Changed", n.Changed}} {
		for _, a := range set.entities.Accounts {
			c.checkAccount(set.list+".Accounts."+a.Name, a)
		}
		for _, t := range set.entities.Tiers {
			c.checkTier(set.list+".Tiers."+t.Name, t)
		}
		for _, r := range set.entities.Releases {
			c.checkRelease(set.list+".Releases."+r.Name, r)
		}
		for _, s := range set.entities.Services {
			c.checkService(set.list+".Services."+s.Name, s)
		}
	}
	for _, r := range n.Changed.Releases {
		old, ok := c.before.Releases.Get(r.Name)
		if ok && old.Manifest != r.Manifest {
			c.addProblem("Changed.Releases."+r.Name+".Manifest", "a release's weights never change: add a release with another name")
		}
	}
}

// checkTable checks that added rows do not exist yet, that changed and withdrawn rows
// do, and that each row is listed only once.
func checkTable[R filbertstile.Row](c *checker, table string, existing filbertstile.Table[R], added, changed []R, withdrawn []string) {
	listedUnder := make(map[string]string)
	checkListedOnce := func(list, name string) {
		field := list + "." + table + "." + name
		if other, ok := listedUnder[name]; ok {
			c.addProblem(field, "is already listed under %s", other)
		}
		listedUnder[name] = list
	}
	for _, r := range added {
		checkListedOnce("Added", r.Key())
		c.checkName("Added."+table, r.Key())
		if _, ok := existing.Get(r.Key()); ok {
			c.addProblem("Added."+table+"."+r.Key(), "exists already; list it under Changed")
		}
	}
	for _, r := range changed {
		checkListedOnce("Changed", r.Key())
		if _, ok := existing.Get(r.Key()); !ok {
			c.addProblem("Changed."+table+"."+r.Key(), "does not exist; list it under Added")
		}
	}
	for _, name := range withdrawn {
		checkListedOnce("Withdrawn", name)
		if _, ok := existing.Get(name); !ok {
			c.addProblem("Withdrawn."+table+"."+name, "does not exist")
		}
	}
}

func (c *checker) checkName(field, name string) {
	if name == "" {
		c.addProblem(field+".Name", "is missing")
		return
	}
	if len(name) > maxNameLength {
		c.addProblem(field+".Name", "%q is longer than %d characters", name, maxNameLength)
	}
	if strings.Trim(name, nameCharacters) != "" {
		c.addProblem(field+".Name", "%q may contain only lower-case letters, digits, '-' and '.'", name)
	}
}

func (c *checker) checkDigest(field, value string) {
	if _, err := hex.DecodeString(value); err != nil || len(value) != digestHexLength || strings.ToLower(value) != value {
		c.addProblem(field, "must be %d lower-case hexadecimal digits, is %q", digestHexLength, value)
	}
}

func (c *checker) checkAccount(field string, a filbertstile.Account) {
	c.checkDigest(field+".TokenDigest", a.TokenDigest)
	if a.RatePerSecond <= 0 {
		c.addProblem(field+".RatePerSecond", "must be above 0, is %v", a.RatePerSecond)
	}
	if a.Burst < 1 {
		c.addProblem(field+".Burst", "must be at least 1, is %v", a.Burst)
	}
}

func (c *checker) checkTier(field string, t filbertstile.Tier) {
	if t.Weight < 1 {
		c.addProblem(field+".Weight", "must be at least 1, is %d", t.Weight)
	}
	if t.FloorPercent < 0 || t.FloorPercent > maxPercent {
		c.addProblem(field+".FloorPercent", "must be from 0 to 100, is %d", t.FloorPercent)
	}
}

func (c *checker) checkRelease(field string, r filbertstile.Release) {
	c.checkDigest(field+".Manifest", r.Manifest)
	if r.Kind != filbertstile.ReleaseModel && r.Kind != filbertstile.ReleaseAdapter {
		c.addProblem(field+".Kind", "must be Model or Adapter, is %q", r.Kind)
	}
}

func (c *checker) checkService(field string, s filbertstile.Service) {
	switch s.Kind {
	case filbertstile.ServiceModel:
		if len(s.NonIdempotentMethods) > 0 {
			c.addProblem(field+".NonIdempotentMethods", "is allowed only for plain services")
		}
	case filbertstile.ServicePlain:
		if s.Release != "" {
			c.addProblem(field+".Release", "is allowed only for model services")
		}
	default:
		c.addProblem(field+".Kind", "must be Model or Plain, is %q", s.Kind)
	}
	if s.CapacityFloorPercent < 0 || s.CapacityFloorPercent > maxPercent {
		c.addProblem(field+".CapacityFloorPercent", "must be from 0 to 100, is %d", s.CapacityFloorPercent)
	}
	methods := []string{"POST", "PUT", "PATCH", "DELETE"}
	for _, m := range s.NonIdempotentMethods {
		if !slices.Contains(methods, m) {
			c.addProblem(field+".NonIdempotentMethods", "may contain %s, not %q", strings.Join(methods, ", "), m)
		}
	}
}

func (c *checker) checkMarks(marks []filbertstile.Mark) {
	for _, m := range marks {
		if m.Kind != filbertstile.MarkDomain && m.Kind != filbertstile.MarkHost {
			c.addProblem("Marks."+m.Name+".Kind", "must be Domain or Host, is %q", m.Kind)
		}
		c.checkName("Marks", m.Name)
	}
}

// checkReferences checks the constraints between entities in the configuration after
// the change.
func (c *checker) checkReferences() {
	floors := 0
	for _, t := range c.after.Tiers.All() {
		floors += t.FloorPercent
	}
	if floors > maxPercent {
		c.addProblem("Tiers.FloorPercent", "the floors add up to %d, more than 100", floors)
	}
	tokens := make(map[string]string)
	for _, a := range c.after.Accounts.All() {
		if _, ok := c.after.Tiers.Get(a.Tier); !ok {
			c.addProblem("Accounts."+a.Name+".Tier", "no tier is named %q", a.Tier)
		}
		for _, s := range a.Services {
			if _, ok := c.after.Services.Get(s); !ok {
				c.addProblem("Accounts."+a.Name+".Services", "no service is named %q", s)
			}
		}
		if other, ok := tokens[a.TokenDigest]; ok {
			c.addProblem("Accounts."+a.Name+".TokenDigest", "is the same as that of account %s", other)
		}
		tokens[a.TokenDigest] = a.Name
	}
	for _, s := range c.after.Services.All() {
		c.checkServiceRelease(s)
	}
	for _, r := range c.after.Releases.All() {
		s, ok := c.after.Services.Get(r.Service)
		if !ok || s.Kind != filbertstile.ServiceModel {
			c.addProblem("Releases."+r.Name+".Service", "no model service is named %q", r.Service)
		}
	}
}

// checkServiceRelease checks that the service's release exists and is for the service.
func (c *checker) checkServiceRelease(s filbertstile.Service) {
	if s.Release == "" {
		return
	}
	r, ok := c.after.Releases.Get(s.Release)
	if !ok {
		c.addProblem("Services."+s.Name+".Release", "no release is named %q", s.Release)
		return
	}
	if r.Service != s.Name {
		c.addProblem("Services."+s.Name+".Release", "release %s is for service %s", r.Name, r.Service)
	}
}

// ChangedEntities returns the entities and marks that the change lists, each as its
// table and key, separated by a slash.
func ChangedEntities(ch filbertstile.Change) []string {
	var out []string
	for _, set := range []filbertstile.Entities{ch.Notes.Added, ch.Notes.Changed} {
		out = append(out, rowKeys("Accounts", set.Accounts)...)
		out = append(out, rowKeys("Tiers", set.Tiers)...)
		out = append(out, rowKeys("Releases", set.Releases)...)
		out = append(out, rowKeys("Services", set.Services)...)
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
	return append(out, rowKeys("Marks", ch.Marks)...)
}

// rowKeys returns the table and key of each row, separated by a slash.
func rowKeys[R filbertstile.Row](table string, rows []R) []string {
	out := make([]string, 0, len(rows))
	for _, r := range rows {
		out = append(out, table+"/"+r.Key())
	}
	return out
}

// Overlap returns the entities and marks that both changes list, in the form of
// ChangedEntities.
func Overlap(a, b filbertstile.Change) []string {
	var out []string
	inA := ChangedEntities(a)
	for _, k := range ChangedEntities(b) {
		if slices.Contains(inA, k) {
			out = append(out, k)
		}
	}
	return out
}
