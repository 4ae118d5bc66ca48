package overloader

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"testing"

	"filbertstile.example/filbertstile/rigs/claimer"
)

// programs is the folder of the programs that TestMain has built.
var programs string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

// runTests builds the programs and runs the tests.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "overloader")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programs = dir
	for _, name := range []string{"filbertstile-entry", "filbertstile-host", "filbertstile-standin"} {
		build := exec.Command("go", "build", "-o", dir, ".")
		build.Dir = filepath.Join("..", "..", "cmd", name)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintln(os.Stderr, string(out), err)
			return 1
		}
	}
	return m.Run()
}

// process is a program that runs.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts the program with the settings as its file. It is killed with the test.
func start(t *testing.T, name, settings string, args ...string) *process {
	t.Helper()
	return startWithin(t, "", name, settings, args...)
}

// startWithin is like start, with a maximum number of descriptors unless that is empty.
func startWithin(t *testing.T, descriptors, name, settings string, args ...string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	if args[0] != "platform" {
		args = append(args, "--settings", path)
	}
	cmd := exec.Command(filepath.Join(programs, name), args...)
	if descriptors != "" {
		cmd = exec.Command("/bin/sh", append([]string{"-c", "ulimit -n " + descriptors + ` && exec "$0" "$@"`, cmd.Path}, args...)...)
	}
	cmd.Env = append(os.Environ(), "FILBERTSTILE_NODE_FILE="+path)
	log, err := os.Create(path + ".log")
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.exited
		_ = log.Close()
		if data, _ := os.ReadFile(path + ".log"); t.Failed() && len(data) > 0 {
			t.Logf("end of the log of %s: %s", name, data[max(0, len(data)-3000):])
		}
	})
	return p
}

// lives reports whether the process has not exited.
func (p *process) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// peakMiB returns the largest resident size of the process so far; 0 if it has exited.
func (p *process) peakMiB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	m := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	if m == nil {
		return 0
	}
	kb, _ := strconv.Atoi(string(m[1]))
	return kb >> 10
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}

// freePort returns a port on loopback for the duration of the test.
func freePort(t *testing.T) int {
	t.Helper()
	c, err := claimer.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Release)
	return c.Port
}

func freeAddress(t *testing.T) string {
	t.Helper()
	return fmt.Sprintf("127.0.0.1:%d", freePort(t))
}
