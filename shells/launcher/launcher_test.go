package launcher_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// programs are the programs that the test builds and starts.
var programs = []string{"filbertstile", "filbertstile-entry", "filbertstile-host", "filbertstile-standin"}

// withPrograms builds the programs, copies the example settings with free ports and runs
// f with the folder of both.
func withPrograms(t *testing.T, f func(dir string)) {
	t.Helper()
	dir := t.TempDir()
	for _, p := range programs {
		cmd := exec.Command("go", "build", "-o", filepath.Join(dir, p), ".")
		cmd.Dir = filepath.Join("..", "..", "cmd", p)
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", p, err, out)
		}
	}
	files, err := filepath.Glob("../../examples/separate/*")
	if err != nil || len(files) == 0 {
		t.Fatalf("no example settings: %v", err)
	}
	ports := make(map[string]string)
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(file)), replacePorts(t, data, ports), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	f(dir)
}

// replacePorts replaces each port in the settings with a free one, and adds it to the
// map, so that all files get the same ones.
func replacePorts(t *testing.T, data []byte, ports map[string]string) []byte {
	t.Helper()
	const host = "127.0.0.1:"
	text := string(data)
	for _, part := range strings.Split(text, host)[1:] {
		port, _, _ := strings.Cut(part, "\"")
		if ports[port] == "" {
			l, err := net.Listen("tcp", host+"0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			_, ports[port], _ = net.SplitHostPort(l.Addr().String())
		}
	}
	for old, free := range ports {
		text = strings.ReplaceAll(text, host+old+"\"", host+free+"\"")
	}
	return []byte(text)
}

// settingsValue returns the string value of a key in a settings file.
func settingsValue(t *testing.T, path, key string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, ok := strings.Cut(string(data), "\""+key+"\": \"")
	if !ok {
		t.Fatalf("%s has no %s", path, key)
	}
	value, _, _ := strings.Cut(rest, "\"")
	return value
}

// process is a started program.
type process struct {
	cmd *exec.Cmd
	log *bytes.Buffer
}

// start starts a program that runs until the test ends.
func start(t *testing.T, dir, program, command, settings string) *process {
	t.Helper()
	p := &process{log: new(bytes.Buffer)}
	p.cmd = exec.Command(filepath.Join(dir, program), command, "--settings", filepath.Join(dir, settings))
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	return p
}

// stop sends SIGTERM and waits until the process has exited successfully.
func (p *process) stop(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Wait(); err != nil {
		t.Fatalf("stop: %v\n%s", err, p.log.String())
	}
}

// eventually retries f until it succeeds. The timeout only ends a test that hangs.
func eventually(t *testing.T, step string, f func() error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("%s: %v", step, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// TestSeparateProcesses guards against programs that do not work together as separate
// processes with the example settings: it applies a configuration, sends requests, uses
// operator commands and stops all processes with SIGTERM.
func TestSeparateProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and starts real processes")
	}
	withPrograms(t, func(dir string) {
		is := is.New(t)
		standIns := start(t, dir, "filbertstile-standin", "serve", "standins.jsonc")
		entry := start(t, dir, "filbertstile-entry", "run", "entry-1.jsonc")
		modelHost := start(t, dir, "filbertstile-host", "run", "host-1.jsonc")
		plainHost := start(t, dir, "filbertstile-host", "run", "host-2.jsonc")
		callerAddress := settingsValue(t, filepath.Join(dir, "entry-1.jsonc"), "HTTPAddress")
		adminAddress := settingsValue(t, filepath.Join(dir, "entry-1.jsonc"), "AdminAddress")
		runOperator := func(args ...string) ([]byte, error) {
			args = append([]string{"--admin", adminAddress, "--token-file", filepath.Join(dir, "operator.token")}, args...)
			return exec.Command(filepath.Join(dir, "filbertstile"), args...).CombinedOutput()
		}
		eventually(t, "apply", func() error {
			_, err := runOperator("apply", filepath.Join(dir, "notes.jsonc"))
			return err
		})
		post := func(path, body string) (*http.Response, error) {
			req, err := http.NewRequest(http.MethodPost, "http://"+callerAddress+path, strings.NewReader(body))
			if err != nil {
				return nil, err
			}
			req.Header.Set("Authorization", "Bearer clerk-token")
			req.Header.Set("Idempotency-Key", "payout-1")
			return http.DefaultClient.Do(req)
		}
		var text string
		eventually(t, "streamed request", func() error {
			resp, err := post("/v1/chat/completions", `{"model": "filbert-models", "stream": true, "messages": [{"role": "user", "content": "hello"}]}`)
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			data, err := io.ReadAll(resp.Body)
			text = string(data)
			if err == nil && resp.StatusCode != http.StatusOK {
				err = io.ErrUnexpectedEOF
			}
			return err
		})
		is.True(strings.HasSuffix(strings.TrimSpace(text), "data: [DONE]"))
		responses := make([]map[string]any, 2)
		for i := range responses {
			resp, err := post("/services/royalty-ledger/orders", `{"Amount": 1}`)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.NoErr(json.NewDecoder(resp.Body).Decode(&responses[i]))
			_ = resp.Body.Close()
		}
		// Calls with the same idempotency key run only once.
		is.Equal(responses[0]["RequestID"], responses[1]["RequestID"])
		out, err := runOperator("dump", "royalty-ledger-1")
		is.NoErr(err)
		is.True(json.Valid(out))
		out, err = runOperator("host", "out", "royalty-ledger-1")
		is.NoErr(err)
		is.True(strings.Contains(string(out), "accepted as revision 2"))
		plainHost.stop(t)
		modelHost.stop(t)
		entry.stop(t)
		standIns.stop(t)
	})
}
