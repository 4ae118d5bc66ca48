package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile/operators/operator"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/rigs/stager"
	"filbertstile.example/filbertstile/transport/connector"
)

// screenColumns is the width of the terminal that the output of status must fit.
const screenColumns = 80

// withSystem runs a small deployment on loopback and calls f with a function that
// executes a command line against it.
func withSystem(t *testing.T, f func(run func(args ...string) (string, error))) {
	t.Helper()
	d, err := stager.Load("../../examples/royalty-office/deployment.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	d.Entries = 2
	d.Services = d.Services[:2]
	d.Services[0].Replicas = 1
	d.Services[1].Replicas = 1
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	s := stager.New(stager.Config{Deployment: d, Base: connector.NewTCP(), Logger: log, Direct: true, ListLag: 50 * time.Millisecond})
	if err := s.Start(ctx); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	s.Weights.AddRelease(imitator.ReleaseConfig{Name: "filbert-1", Seed: 1, ChunkBytes: 65536, Chunks: 32})
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte(stager.OperatorToken()+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	f(func(args ...string) (string, error) {
		var out bytes.Buffer
		commandLine := append([]string{"filbertstile", "--admin", s.Entries[0].Settings.AdminAddress, "--token-file", token}, args...)
		err := operator.App(&out).Run(ctx, commandLine)
		return out.String(), err
	})
}

// pageCommands returns the arguments of the filbertstile commands in the fenced code
// blocks of docs/OPERATING.md.
func pageCommands(t *testing.T) [][]string {
	t.Helper()
	data, err := os.ReadFile("../../docs/OPERATING.md")
	if err != nil {
		t.Fatal(err)
	}
	var out [][]string
	for i, block := range strings.Split(string(data), "```") {
		if i%2 == 0 {
			continue
		}
		for _, line := range strings.Split(block, "\n") {
			if words := strings.Fields(line); len(words) > 0 && words[0] == "filbertstile" {
				out = append(out, words[1:])
			}
		}
	}
	return out
}

// pageFiles maps the file names in the commands of docs/OPERATING.md to files of this
// repository.
var pageFiles = map[string]string{
	"notes.jsonc":    "../../examples/separate/notes.jsonc",
	"rollback.jsonc": "../../examples/separate/rollback.jsonc",
	"society.jsonc":  "../../examples/graffiti-society/notes.jsonc",
}

// TestPageCommandsRun guards against commands in docs/OPERATING.md that fail.
func TestPageCommandsRun(t *testing.T) {
	withSystem(t, func(run func(args ...string) (string, error)) {
		commands := pageCommands(t)
		if len(commands) < 7 {
			t.Fatalf("docs/OPERATING.md has only %d commands, want at least 7", len(commands))
		}
		for _, args := range commands {
			for i := range args {
				if file, ok := pageFiles[args[i]]; ok {
					args[i] = file
				}
			}
			if out, err := run(args...); err != nil {
				t.Errorf("%v: %v\n%s", args, err, out)
			}
		}
	})
}

// TestCommands guards against status lines that do not fit the terminal, output that
// is not valid JSON, and error messages that do not name the problem.
func TestCommands(t *testing.T) {
	withSystem(t, func(run func(args ...string) (string, error)) {
		is := is.New(t)
		_, err := run("apply", "../../examples/separate/notes.jsonc")
		is.NoErr(err)
		_, err = run("watch")
		is.NoErr(err)
		out, err := run("status")
		is.NoErr(err)
		for _, line := range strings.Split(out, "\n") {
			if len(line) > screenColumns {
				t.Errorf("status line has %d columns: %s", len(line), line)
			}
		}
		for _, args := range [][]string{{"--json", "status"}, {"--json", "history"}, {"get", "Accounts"}, {"dump", "entry-2"}} {
			out, err := run(args...)
			is.NoErr(err)
			if !json.Valid([]byte(out)) {
				t.Errorf("%v does not print JSON: %.80s", args, out)
			}
		}
		for _, c := range []struct {
			args []string
			want string
		}{
			{[]string{"apply", "../../examples/separate/notes.jsonc"}, "exists already"},
			{[]string{"apply", "../../examples/separate/host-1.jsonc"}, "not a known key"},
			{[]string{"apply"}, "FILE"},
			{[]string{"domain", "away", "x"}, "out|in"},
			{[]string{"host", "out"}, "NAME"},
			{[]string{"get", "Nothing"}, "TABLE"},
			{[]string{"dump", "nobody"}, "NotFound"},
			{[]string{"watch", "x"}, "REVISION"},
		} {
			_, err := run(c.args...)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v: error does not contain %q: %v", c.args, c.want, err)
			}
		}
		_, err = run("--token-file", "../../README.md", "status")
		is.True(err != nil) // a wrong token is rejected
	})
}

// TestConcurrentChangesConflict guards against a change that silently overwrites
// another operator's change of the same entity, both based on the same revision.
func TestConcurrentChangesConflict(t *testing.T) {
	withSystem(t, func(run func(args ...string) (string, error)) {
		is := is.New(t)
		_, err := run("apply", "../../examples/separate/notes.jsonc")
		is.NoErr(err)
		notes := filepath.Join(t.TempDir(), "tier.jsonc")
		is.NoErr(os.WriteFile(notes, []byte(`{"Changed": {"Tiers": [{"Name": "public", "Rank": 1, "Weight": 2, "FloorPercent": 5}]}}`), 0o600))
		_, err = run("apply", "--base", "1", notes)
		is.NoErr(err)
		_, err = run("apply", "--base", "1", notes)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "Conflict"))
		is.True(strings.Contains(err.Error(), "Tiers/public"))
	})
}
