package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment is what the processes of a script have in common.
type deployment struct {
	dir   string
	store string
	zones map[string]string
	octet int
	// memoryMB is the memory of an entry's machine.
	memoryMB int
	// maxFds is the number of descriptors that an entry may have.
	maxFds  int
	mu      sync.Mutex
	started []*exec.Cmd
	// ended is true once nothing may be started any more.
	ended bool
}

// ip returns a loopback address of the script.
func (d *deployment) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 60+d.octet/200, 1+d.octet%200, n)
}

// entry is an entry process.
type entry struct {
	name, ip, zone      string
	front, ready, direc string
	port                int
	settings            string
	cmd                 *exec.Cmd
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newEntry fills in the template of the deploy file for an entry.
func (d *deployment) newEntry(n int, zone string) (*entry, error) {
	e := &entry{name: fmt.Sprintf("front-%s-%d", zone, n), ip: d.ip(n), zone: zone}
	var ports []int
	for range 4 {
		p, err := freePort(e.ip)
		if err != nil {
			return nil, err
		}
		ports = append(ports, p)
	}
	address := func(i int) string { return fmt.Sprintf("%s:%d", e.ip, ports[i]) }
	e.front, e.ready, e.direc, e.port = address(0), address(1), address(2), ports[3]
	template, err := os.ReadFile("deploy/entry.jsonc")
	if err != nil {
		return nil, err
	}
	values := map[string]any{
		"nodeName": e.name, "ip": e.ip, "zone": zone, "region": d.zones[zone], "internalPorts.0": e.port, "platform.address": d.store,
		"bounds.stableWindowMs": 3000, "bounds.graceS": 8, "bounds.revokeMs": 5000, "bounds.version_ms": 8000, "bounds.retryBudgetRatio": 0.2,
		"bounds.budgetSlack": 102, "bounds.budgetWindowS": 10, "bounds.coldBurstFactor": 1.5, "bounds.coldSlack": 5,
		"limits.memoryMb": d.memoryMB, "limits.linkMbps": 1000.0,
		"listen.front": e.front, "listen.readyAddress": e.ready, "listen.directory": e.direc,
	}
	text := regexp.MustCompile(`(?s)\{\{#zones\}\}.*?\{\{/zones\}\}`).ReplaceAllStringFunc(string(template), func(string) string {
		var out []string
		for z, r := range d.zones {
			out = append(out, fmt.Sprintf(`{"Name": %q, "Region": %q}`, z, r))
		}
		return strings.Join(out, ",")
	})
	missing := ""
	text = regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(text, func(p string) string {
		name, asJSON := strings.CutSuffix(strings.Trim(p, "{}"), "|json")
		v, ok := values[name]
		if !ok {
			missing = p
		}
		if asJSON {
			data, _ := json.Marshal(v)
			return string(data)
		}
		return fmt.Sprint(v)
	})
	if missing != "" {
		return nil, fmt.Errorf("deploy/entry.jsonc: no value for %s", missing)
	}
	e.settings = filepath.Join(d.dir, e.name+".jsonc")
	return e, os.WriteFile(e.settings, []byte(text), 0o600)
}

// start starts the entry with the command of the deploy file.
func (d *deployment) start(e *entry) error {
	log, err := os.OpenFile(filepath.Join(d.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The platform limits the descriptors of each process.
	e.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/filbertstile-entry platform", d.maxFds))
	e.cmd.Env = []string{"FILBERTSTILE_NODE_FILE=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return errCannotRun
	}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	d.started = append(d.started, e.cmd)
	return nil
}

// kill kills the entry, and returns once it has ended.
func (e *entry) kill() {
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Wait()
}

// stopAll kills all processes that the script has started.
func (d *deployment) stopAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	for _, c := range d.started {
		if c.ProcessState == nil {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	}
}

// requireDescriptors returns an error if this process may not have that many descriptors.
func requireDescriptors(n int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < uint64(n) {
		return fmt.Errorf("%w: it needs %d descriptors and may have %d", errCannotRun, n, limit.Cur)
	}
	return nil
}

// isReady reports whether the entry says that it is ready.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the entries are ready.
func awaitReady(timeout time.Duration, entries ...*entry) error {
	deadline := time.Now().Add(timeout)
	for _, e := range entries {
		for !e.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", e.name, timeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
