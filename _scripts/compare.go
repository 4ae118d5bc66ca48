package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
)

// defaultCompareDays are the days of each site that compare plays.
const defaultCompareDays = "quiet-1 trouble-1 scale-1"

// comparison describes the plays of two commits that compare sets side by side.
type comparison struct {
	base string
	// bench is the path of the users' bench, and sites are those of its site files.
	bench string
	sites []string
	days  []string
}

// comparisonFromEnv reads BASE, BENCH, SITES and DAYS.
func comparisonFromEnv() (comparison, error) {
	c := comparison{base: os.Getenv("BASE"), bench: os.Getenv("BENCH")}
	if c.base == "" {
		return c, errors.New("compare: BASE: no commit is named")
	}
	if c.bench == "" {
		return c, errors.New("compare: BENCH: no program is named")
	}
	paths := strings.Fields(os.Getenv("SITES"))
	if len(paths) == 0 {
		return c, errors.New("compare: SITES: no site file is named")
	}
	for i, p := range append(paths, c.bench) {
		absolute, err := filepath.Abs(p)
		if err != nil {
			return c, fmt.Errorf("compare: path %q: %w", p, err)
		}
		if i == len(paths) {
			c.bench = absolute
		} else {
			c.sites = append(c.sites, absolute)
		}
	}
	days := os.Getenv("DAYS")
	if days == "" {
		days = defaultCompareDays
	}
	c.days = strings.Fields(days)
	return c, nil
}

// result is what a play of one day reached.
type result struct {
	worth   string
	windows string
	prices  string
	// broken lists the rules that were broken, with the number of times.
	broken string
}

var (
	dayLine    = regexp.MustCompile(`(?m)^\S+ +\d+/\d+ +\S+ +(\S+) +\S+ +\S+ +\S+`)
	windowText = regexp.MustCompile(`worst windows ([\d.]+)`)
	priceText  = regexp.MustCompile(`prices ([\d.]+)`)
	brokenText = regexp.MustCompile(`(?m)^\s*([A-Z]{4,}) at -?[\d.]+ s:`)
)

// parseResult reads the output of a play.
func parseResult(out string) result {
	first := func(re *regexp.Regexp) string {
		if m := re.FindStringSubmatch(out); m != nil {
			return m[1]
		}
		return "?"
	}
	r := result{worth: first(dayLine), windows: first(windowText), prices: first(priceText), broken: "none"}
	counts := make(map[string]int)
	var rules []string
	for _, m := range brokenText.FindAllStringSubmatch(out, -1) {
		if counts[m[1]]++; counts[m[1]] == 1 {
			rules = append(rules, m[1])
		}
	}
	for i, rule := range rules {
		rules[i] = fmt.Sprintf("%s x%d", rule, counts[rule])
	}
	if len(rules) > 0 {
		r.broken = strings.Join(rules, ", ")
	}
	return r
}

// String returns the cells of a table row.
func (r result) String() string {
	return fmt.Sprintf("%s | %s | %s | %s", r.worth, r.windows, r.prices, r.broken)
}

// compare plays days on the commit BASE and on HEAD, and prints the results side by side. It
// plays in clones, without processor time, and uses half of the cores. The entries that the
// plays leave in the journal are kept.
func compare() error {
	c, err := comparisonFromEnv()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "compare")
	if err != nil {
		return fmt.Errorf("compare: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	clones := make(map[string]string)
	for _, commit := range []string{c.base, "HEAD"} {
		clone := filepath.Join(dir, strings.ToLower(commit))
		if err := c.prepare(clone, commit); err != nil {
			return err
		}
		clones[commit] = clone
	}
	results, err := c.playAll(clones)
	if err != nil {
		return err
	}
	fmt.Println("| Site | Day | Commit | worth | worst windows | prices | broken |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, site := range c.sites {
		for _, day := range c.days {
			for _, commit := range []string{c.base, "HEAD"} {
				name := strings.TrimSuffix(filepath.Base(site), filepath.Ext(site))
				fmt.Printf("| %s | %s | %s | %s |\n", name, day, commit, results[playKey{commit, site, day}])
			}
		}
	}
	return nil
}

// prepare clones the repository at the commit and builds it.
func (c comparison) prepare(clone, commit string) error {
	hash, err := exec.Command("git", "rev-parse", "--verify", commit+"^{commit}").Output()
	if err != nil {
		return fmt.Errorf("compare: commit %q: %w", commit, err)
	}
	if err := command(".", "git", "clone", "--quiet", "--no-hardlinks", ".", clone); err != nil {
		return err
	}
	if err := command(clone, "git", "checkout", "--quiet", strings.TrimSpace(string(hash))); err != nil {
		return err
	}
	return command(clone, c.bench, "build")
}

// playKey identifies a play.
type playKey struct{ commit, site, day string }

// playAll plays all days on all clones.
func (c comparison) playAll(clones map[string]string) (map[playKey]result, error) {
	slots := make(chan struct{}, max(1, runtime.NumCPU()/2))
	var wg sync.WaitGroup
	var mu sync.Mutex
	results := make(map[playKey]result)
	var failures []error
	for commit, clone := range clones {
		for _, site := range c.sites {
			for _, day := range c.days {
				wg.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					r, err := c.play(clone, commit, site, day)
					mu.Lock()
					defer mu.Unlock()
					results[playKey{commit, site, day}] = r
					failures = append(failures, err)
				})
			}
		}
	}
	wg.Wait()
	for _, clone := range clones {
		failures = append(failures, os.CopyFS("journal", newFiles{os.DirFS(filepath.Join(clone, "journal"))}))
	}
	return results, errors.Join(failures...)
}

// play plays one day. A play in which a rule was broken is no error.
func (c comparison) play(clone, commit, site, day string) (result, error) {
	p := exec.Command(c.bench, "run", site, day, "--no-cpu", "--jobs", "1", "--why", "compare "+c.base+" with HEAD: "+commit)
	p.Dir = clone
	out, err := p.CombinedOutput()
	r := parseResult(string(out))
	var exit *exec.ExitError
	if err != nil && (!errors.As(err, &exit) || r.worth == "?") {
		return r, fmt.Errorf("compare: %s on %s: %w\n%s", day, commit, err, out)
	}
	return r, nil
}
