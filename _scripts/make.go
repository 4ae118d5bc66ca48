// Command make builds, tests and documents the workspace. The Makefile calls it.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

const (
	linter        = "github.com/golangci/golangci-lint/v2/cmd/golangci-lint"
	linterVersion = "v2.15.0"
	binDir        = "bin"
)

// target is a make target.
type target struct {
	name string
	help string
	run  func() error
}

func targets() []target {
	return []target{
		{"build", "build all programs into bin/", build},
		{"test", "run the tests of every module", test},
		{"lint", "check formatting and run the linter", lint},
		{"demo", "run a deployment and check it (DEPLOYMENT=examples/...)", demo},
		{"measure", "run the measurements and print each as a line of JSON", measure},
		{"compare", "play days on BASE and HEAD side by side (BASE=commit BENCH=program SITES=files DAYS=names)", compare},
		{"docs", "generate the pages that are derived from code and figures", docs},
	}
}

func main() {
	if len(os.Args) == 2 {
		for _, t := range targets() {
			if t.name == os.Args[1] {
				if err := t.run(); err != nil {
					fmt.Fprintln(os.Stderr, err)
					os.Exit(1)
				}
				return
			}
		}
	}
	fmt.Fprintln(os.Stderr, "targets:")
	for _, t := range targets() {
		fmt.Fprintf(os.Stderr, "  %-8s %s\n", t.name, t.help)
	}
	os.Exit(2)
}

// command runs a program in a directory and passes its output through.
func command(dir, name string, args ...string) error {
	c := exec.Command(name, args...)
	c.Dir = dir
	c.Stdout = os.Stdout
	c.Stderr = os.Stderr
	if err := c.Run(); err != nil {
		return fmt.Errorf("%s %s in %s: %w", name, strings.Join(args, " "), dir, err)
	}
	return nil
}

// modules returns the directories of the workspace's modules. The first one is the
// main module; the others are the programs.
func modules() []string {
	programs, err := filepath.Glob("cmd/*/go.mod")
	if err != nil {
		panic(err) // the pattern is constant
	}
	out := []string{"."}
	for _, p := range programs {
		out = append(out, filepath.Dir(p))
	}
	return out
}

func build() error {
	bin, err := filepath.Abs(binDir)
	if err != nil {
		return err
	}
	for _, m := range modules()[1:] {
		if err := command(m, "go", "build", "-o", filepath.Join(bin, filepath.Base(m)), "."); err != nil {
			return err
		}
	}
	return nil
}

func test() error {
	// The pattern ./... leaves out folders whose names begin with an underscore.
	if err := command(".", "go", "test", "./_scripts"); err != nil {
		return err
	}
	args := []string{"test", "-timeout", "9m"}
	red, err := os.ReadFile("KNOWN-RED.txt")
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("known red tests: %w", err)
	}
	if names := passedOver(string(red)); len(names) > 0 {
		fmt.Println("passed over, see KNOWN-RED.txt:", strings.Join(names, ", "))
		args = append(args, "-skip", skipPattern(names))
	}
	shared, err := sharedPackages()
	if err != nil {
		return err
	}
	if err := command(".", "go", slices.Concat(args, shared)...); err != nil {
		return err
	}
	if err := command(".", "go", slices.Concat(args, []string{apartPackage})...); err != nil {
		return err
	}
	for _, m := range modules()[1:] {
		if err := command(m, "go", slices.Concat(args, []string{"./..."})...); err != nil {
			return err
		}
	}
	return nil
}

// apartPackage is the package whose tests run while no others do: they start processes and check
// their memory, which is higher on a busy machine.
const apartPackage = "./rigs/overloader"

// sharedPackages returns the packages of the main module whose tests may run at the same time.
func sharedPackages() ([]string, error) {
	list, err := exec.Command("go", "list", "./...").Output()
	if err != nil {
		return nil, fmt.Errorf("list packages: %w", err)
	}
	return withoutApart(strings.Fields(string(list))), nil
}

// withoutApart returns the packages other than apartPackage.
func withoutApart(packages []string) []string {
	return slices.DeleteFunc(packages, func(p string) bool {
		return strings.HasSuffix(p, strings.TrimPrefix(apartPackage, "."))
	})
}

// passedOver returns the names of the tests that the list of known faults says to pass over:
// those whose entry begins with the name and has the line "CI: passes over it".
func passedOver(list string) []string {
	var out []string
	name := ""
	for line := range strings.SplitSeq(list, "\n") {
		if !strings.HasPrefix(line, " ") {
			name, _, _ = strings.Cut(line, " ")
		} else if strings.TrimSpace(line) == "CI: passes over it" && strings.HasPrefix(name, "Test") {
			out = append(out, name)
		}
	}
	return out
}

// skipPattern returns the pattern that makes go test leave out exactly these tests and subtests.
func skipPattern(names []string) string {
	patterns := make([]string, 0, len(names))
	for _, name := range names {
		patterns = append(patterns, "^"+strings.ReplaceAll(name, "/", "$/^")+"$")
	}
	return strings.Join(patterns, "|")
}

func lint() error {
	out, err := exec.Command("gofmt", "-l", ".").Output()
	if err != nil {
		return fmt.Errorf("gofmt: %w", err)
	}
	if len(out) > 0 {
		return fmt.Errorf("not formatted:\n%s", out)
	}
	bin, err := filepath.Abs(binDir)
	if err != nil {
		return err
	}
	tool := filepath.Join(bin, "golangci-lint")
	if _, err := os.Stat(tool); err != nil {
		install := exec.Command("go", "install", linter+"@"+linterVersion)
		install.Env = append(os.Environ(), "GOBIN="+bin, "GOWORK=off")
		install.Stdout, install.Stderr = os.Stdout, os.Stderr
		if err := install.Run(); err != nil {
			return fmt.Errorf("install linter: %w", err)
		}
	}
	config, err := filepath.Abs(".golangci.yml")
	if err != nil {
		return err
	}
	for _, m := range modules() {
		if err := command(m, tool, "run", "--config", config, "./..."); err != nil {
			return err
		}
	}
	return nil
}

func demo() error {
	deployment := os.Getenv("DEPLOYMENT")
	if deployment == "" {
		deployment = "examples/royalty-office"
	}
	if !strings.HasSuffix(deployment, ".jsonc") {
		deployment = filepath.Join(deployment, "deployment.jsonc")
	}
	path, err := filepath.Abs(deployment)
	if err != nil {
		return err
	}
	args := []string{"run", ".", "demo", "--deployment", path}
	if os.Getenv("JSON") != "" {
		args = append(args, "--json")
	}
	return command("cmd/filbertstile-standin", "go", args...)
}

// measure runs the measurements as a test binary, because they need the virtual time
// that only package testing provides. It prints the measurements to standard output
// and everything else to standard error.
func measure() error {
	binary := filepath.Join(binDir, "measure.test")
	if err := command(".", "go", "test", "-c", "-o", binary, "./rigs/measurer"); err != nil {
		return err
	}
	c := exec.Command(binary, "-test.run", "^TestMeasure$", "-test.timeout", "60m", "-measure", "-only", os.Getenv("ONLY"))
	c.Stderr = os.Stderr
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		dst := os.Stderr
		if strings.HasPrefix(lines.Text(), "{") {
			dst = os.Stdout
		}
		fmt.Fprintln(dst, lines.Text())
	}
	return c.Wait()
}

func docs() error {
	args := []string{"run", "./rigs/documenter/document"}
	return command(".", "go", slices.Concat(args, os.Args[2:])...)
}
