package main

import (
	"os"
	"path/filepath"
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

// TestOverloaderRunsApart guards against tests of the memory of processes that run beside others, and
// against packages that no run includes.
func TestOverloaderRunsApart(t *testing.T) {
	is := is.New(t)
	is.Equal(withoutApart([]string{"a/rigs/overloader", "a/rigs/stager", "a/platform"}), []string{"a/rigs/stager", "a/platform"})
	info, err := os.Stat(filepath.Join("..", apartPackage))
	is.NoErr(err)
	is.True(info.IsDir())
}
