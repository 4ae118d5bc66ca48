package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// must ends the program with status 2, which means that the case could not run.
func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		stopAll()
		os.Exit(2)
	}
}

// record is the log of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	must(err)
	return &record{file: f, start: time.Now()}
}

// printf writes a line to the file and to standard output.
func (r *record) printf(format string, args ...any) { fmt.Print(r.write(format, args...)) }

// notef writes a line to the file only.
func (r *record) notef(format string, args ...any) { _ = r.write(format, args...) }

func (r *record) write(format string, args ...any) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	return line
}

const (
	// The ports are below those that the system gives to connections, which could take one
	// between its choice and its use.
	firstPort = 20000
	portCount = 12000
)

// usedPorts are the ports that freePort has returned.
var usedPorts = make(map[int]bool)

// freePort returns a port that is free for TCP and UDP.
func freePort() int {
	for {
		port := firstPort + rand.IntN(portCount)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		c, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = c.Close()
		if !usedPorts[port] {
			usedPorts[port] = true
			return port
		}
	}
}

func freeAddress() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }

// process is a program of the project that runs as a separate process.
type process struct {
	name, program, settings, log string
	cmd                          *exec.Cmd
	exited                       chan struct{}
}

var (
	processesMu sync.Mutex
	processes   []*process
	// folder is the temporary folder of the case.
	folder string
)

// entryAddresses are the addresses of an entry.
type entryAddresses struct{ callers, ready, directory string }

const bounds = `"Bounds": {"Settle": "3000ms", "Stop": "8s", "Revoke": "5000ms", "Version": "8000ms", "RepeatRatio": 0.2, "RepeatSlack": 102, "Window": "10s", "ColdBurst": 1.5, "ColdSlack": 5}`

// newEntry returns an entry with the settings that deploy/entry.jsonc would have.
func newEntry(name, store string, memoryMB int) (*process, entryAddresses) {
	a := entryAddresses{callers: freeAddress(), ready: freeAddress(), directory: freeAddress()}
	text := fmt.Sprintf(`{
  "Identity": {"Name": %q, "IP": "127.0.0.1", "Domain": "izmir-a", "Region": "izmir", "Port": %d},
  "ObjectAPI": %q, "Domains": [{"Name": "izmir-a", "Region": "izmir"}],
  %s,
  "Limits": {"MemoryMB": %d, "LinkMbps": 1000},
  "Listen": {"Callers": %q, "Ready": %q, "Directory": %q},
}`, name, freePort(), store, bounds, memoryMB, a.callers, a.ready, a.directory)
	return newProcess(name, "target/filbertstile-entry", text), a
}

// newHost returns a host with the settings that deploy/host.jsonc would have.
func newHost(name, store, engine, service string) *process {
	text := fmt.Sprintf(`{
  "Identity": {"Name": %q, "IP": "127.0.0.1", "Domain": "izmir-a", "Region": "izmir", "Port": %d},
  "ObjectAPI": %q, "Domains": [{"Name": "izmir-a", "Region": "izmir"}],
  %s,
  "Limits": {"MemoryMB": 152, "LinkMbps": 7.3},
  "Listen": {},
  "Engine": %q, "Service": %q,
}`, name, freePort(), store, bounds, engine, service)
	return newProcess(name, "target/filbertstile-host", text)
}

func newProcess(name, program, settings string) *process {
	path := filepath.Join(folder, name+".jsonc")
	must(os.WriteFile(path, []byte(settings), 0o600))
	p := &process{name: name, program: program, settings: path, log: filepath.Join(folder, name+".log")}
	processesMu.Lock()
	processes = append(processes, p)
	processesMu.Unlock()
	p.start()
	return p
}

// start starts the process.
func (p *process) start() {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(p.program, "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FILBERTSTILE_NODE_FILE=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// residentBytes returns the memory that the process uses.
func (p *process) residentBytes() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// stopAll ends all processes that were started.
func stopAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.exited
		}
	}
	_ = os.RemoveAll(folder)
}

// awaitReady waits until the entry says that it is ready.
func awaitReady(address string, limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + address + "/api/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}
