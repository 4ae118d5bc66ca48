package main

import (
	"testing"

	"github.com/matryer/is"
)

// TestOnlyMarkedTestsArePassedOver guards against tests that CI leaves out although their entry does not
// say so, or although they are not listed.
func TestOnlyMarkedTestsArePassedOver(t *testing.T) {
	is := is.New(t)
	list := `Entry.AddedLatency
  Command: make measure
  CI: passes over it
TestCounts (platform)
  Seen: once
TestRed (tracker)
  Seen: always
  CI: passes over it
  Open issue: 19
`
	is.Equal(passedOver(list), []string{"TestRed"})
	is.Equal(len(passedOver("")), 0)
}

// TestSkipPatternOfSubtest guards against other subtests that are left out with one.
func TestSkipPatternOfSubtest(t *testing.T) {
	is := is.New(t)
	is.Equal(skipPattern([]string{"TestA", "TestB/Seed3"}), "^TestA$|^TestB$/^Seed3$")
}
