package matcher_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/matcher"
)

func routing() filbertstile.Routing {
	return filbertstile.Routing{
		Version: 3,
		Routes: filbertstile.NewTable(
			filbertstile.Route{Name: "long", HostName: "a.example", PathPrefix: "/x/y/", Targets: []filbertstile.Target{{Service: "one", Weight: 1}}},
			filbertstile.Route{Name: "short", HostName: "a.example", PathPrefix: "/x/", Regions: []string{"r1"}, Targets: []filbertstile.Target{{Service: "one", Weight: 90}, {Service: "two", Weight: 10}}},
			filbertstile.Route{Name: "home", HostName: "b.example", PathPrefix: "/", Regions: []string{"r2"}},
		),
		Accounts: filbertstile.NewTable(filbertstile.AccountAccess{Account: "clerk", Keys: []string{"k1", "k2"}}),
	}
}

// TestLongestPathPrefixMatches guards against a request that goes to the route of a
// shorter prefix or of another host name.
func TestLongestPathPrefixMatches(t *testing.T) {
	m := matcher.New(routing())
	for _, c := range []struct{ hostName, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"A.EXAMPLE:80", "/x/y/", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x/", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/y/x/", ""},
		{"b.example", "/anything", "home"},
		{"c.example", "/x/", ""},
	} {
		t.Run(c.hostName+c.path, func(t *testing.T) {
			is := is.New(t)
			r, ok := m.Route(c.hostName, c.path)
			is.Equal(ok, c.want != "")
			is.Equal(r.Name, c.want)
		})
	}
}

// TestIPv6HostMatches guards against an IPv6 address as host that is cut at a colon of its own, so
// that its requests match no route, or that of another address.
func TestIPv6HostMatches(t *testing.T) {
	m := matcher.New(filbertstile.Routing{Routes: filbertstile.NewTable(
		filbertstile.Route{Name: "bare", HostName: "2001:db8::a", PathPrefix: "/"},
		filbertstile.Route{Name: "bracketed", HostName: "[2001:db8::b]", PathPrefix: "/", Regions: []string{"r1"}},
		filbertstile.Route{Name: "cut", HostName: "[2001", PathPrefix: "/"},
	)})
	for _, c := range []struct{ host, want string }{
		{"[2001:db8::a]", "bare"}, {"[2001:db8::a]:8080", "bare"}, {"[2001:DB8::A]:80", "bare"}, {"2001:db8::a", "bare"},
		{"[2001:db8::b]", "bracketed"}, {"[2001:db8::b]:8080", "bracketed"}, {"[2001:db8::b]:", "bracketed"},
		{"[2001:db8::c]:80", ""}, {"[2001:db8::a", ""}, {"[2001:db8::a]x", ""}, {"", ""}, {"[", ""}, {"[]", ""},
	} {
		t.Run(c.host, func(t *testing.T) {
			is := is.New(t)
			r, ok := m.Route(c.host, "/")
			is.Equal(ok, c.want != "")
			is.Equal(r.Name, c.want)
		})
	}
	is.New(t).Equal(m.Regions("[2001:db8::b]:80"), []string{"r1"})
}

func TestOnlyListedKeysHaveAccount(t *testing.T) {
	is := is.New(t)
	m := matcher.New(routing())
	a, ok := m.Account("k2")
	is.True(ok)
	is.Equal(a.Account, "clerk")
	_, ok = m.Account("")
	is.True(!ok)
}

// TestAllowedRegions guards against requests that are served in a region that their
// routes or their account exclude.
func TestAllowedRegions(t *testing.T) {
	is := is.New(t)
	m := matcher.New(routing())
	is.Equal(m.Regions("a.example"), nil) // one of its routes allows all regions
	is.Equal(m.Regions("b.example"), []string{"r2"})
	common, ok := matcher.CommonRegions([]string{"r1", "r2"}, []string{"r2", "r3"})
	is.True(ok)
	is.Equal(common, []string{"r2"})
	_, ok = matcher.CommonRegions([]string{"r1"}, []string{"r2"})
	is.True(!ok)
	common, ok = matcher.CommonRegions(nil, []string{"r2"})
	is.True(ok)
	is.Equal(common, []string{"r2"})
}

// TestTargetsGetShareByWeight guards against a split of requests that differs from the
// weights of the targets, here 90 to 10.
func TestTargetsGetShareByWeight(t *testing.T) {
	is := is.New(t)
	r, _ := matcher.New(routing()).Route("a.example", "/x/")
	two := 0
	for i := range 10000 {
		if matcher.ChooseService(r, fmt.Sprint(i)) == "two" {
			two++
		}
	}
	is.True(two > 850 && two < 1150)
	is.Equal(matcher.ChooseService(filbertstile.Route{}, "1"), "")
}

// TestHugeWeightsKeepTheirShares guards against a sum of weights that overflows, so that requests
// go to one target, or to none.
func TestHugeWeightsKeepTheirShares(t *testing.T) {
	for _, weights := range [][]int{
		{math.MaxInt, math.MaxInt}, {math.MaxInt, math.MaxInt, 2}, {math.MinInt, 1, 1}, {math.MaxInt/2 + 1, math.MaxInt/2 + 1},
	} {
		t.Run(fmt.Sprint(weights), func(t *testing.T) {
			is := is.New(t)
			r := filbertstile.Route{}
			for i, w := range weights {
				r.Targets = append(r.Targets, filbertstile.Target{Service: fmt.Sprint(i), Weight: w})
			}
			chosen := make(map[string]int)
			for i := range 1000 {
				chosen[matcher.ChooseService(r, fmt.Sprint(i))]++
			}
			is.Equal(chosen[""], 0)
			for i, w := range weights {
				if w == slices.Max(weights) {
					is.True(chosen[fmt.Sprint(i)] > 400)
				}
			}
		})
	}
}
