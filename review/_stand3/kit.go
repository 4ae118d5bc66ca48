// Command review-stand3 plays cases of an independent review: it starts the project's programs as
// separate processes on loopback addresses, beside stand-ins of the platform's store, of replicas and
// of clients, and checks what these see.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// cannotRun is the panic of a case that cannot run.
type cannotRun struct{ why string }

// kit is what all cases share.
type kit struct {
	folder string
	// temp holds the settings and the logs.
	temp    string
	trouble bool
	started time.Time
	store   *store

	mu     sync.Mutex
	record *os.File
	procs  []*process
	broken []string
}

// logf writes a line to record.txt.
func (k *kit) logf(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	line := fmt.Sprintf("%9.3f  %s\n", time.Since(k.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = k.record.WriteString(line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Print(line)
	}
}

// breaks records that a rule is broken.
func (k *kit) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	k.logf("BROKEN: %s", text)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.broken = append(k.broken, text)
}

// process is a process of the system.
type process struct {
	name string
	ip   string
	cmd  *exec.Cmd
	args []string
	env  string
	log  string
	done chan struct{}
	mu   sync.Mutex
	// ended is true once the process has ended.
	ended bool
}

// machine describes a machine.
type machine struct {
	name, ip, zone, region string
	memoryMB               int
	stop                   time.Duration
	// storeAt is the address at which the machine reaches the store.
	storeAt string
	// engine and service are those of the model engine beside a host.
	engine, service string
}

var zones = map[string]string{"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}

// settings returns the settings file that the platform fills in from the template.
func (m machine) settings() []byte {
	domains := []any{}
	for _, z := range []string{"zone-a", "zone-b", "zone-c"} {
		domains = append(domains, map[string]any{"Name": z, "Region": zones[z]})
	}
	listen := map[string]any{"Metrics": 9464}
	link := 1000.0
	out := map[string]any{
		"Identity":  map[string]any{"Name": m.name, "IP": m.ip, "Domain": m.zone, "Region": zones[m.zone], "Port": 7700},
		"ObjectAPI": m.storeAt, "Domains": domains,
		"Bounds": map[string]any{
			"Settle": "3000ms", "Stop": "8s", "Revoke": "5000ms", "Version": "8000ms", "RepeatRatio": 0.2, "RepeatSlack": 102,
			"Window": "10s", "ColdBurst": 1.5, "ColdSlack": 5,
		},
	}
	if m.engine != "" {
		out["Engine"], out["Service"] = m.engine, m.service
		link = 7.3
	} else {
		listen["Callers"], listen["Ready"], listen["Directory"] = m.ip+":8005", m.ip+":8002", m.ip+":8009"
	}
	out["Listen"] = listen
	out["Limits"] = map[string]any{"MemoryMB": m.memoryMB, "LinkMbps": link}
	data, err := json.MarshalIndent(out, "", "  ")
	check(err)
	return data
}

// start starts the program of the deploy file on the machine.
func (k *kit) start(m machine) *process {
	program := "target/filbertstile-entry"
	if m.engine != "" {
		program = "target/filbertstile-host"
	}
	settings := filepath.Join(k.temp, m.name+".settings")
	check(os.WriteFile(settings, m.settings(), 0o600))
	p := &process{name: m.name, ip: m.ip, args: []string{program, "platform"}, env: "FILBERTSTILE_NODE_FILE=" + settings, log: filepath.Join(k.temp, m.name+".log")}
	k.run(p)
	k.mu.Lock()
	k.procs = append(k.procs, p)
	k.mu.Unlock()
	return p
}

// run starts the process, again if it has ended.
func (k *kit) run(p *process) {
	f, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), p.env}
	cmd.Stdout, cmd.Stderr = f, f
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	_ = f.Close()
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended, p.done = cmd, false, done
	p.mu.Unlock()
	k.logf("%s: started", p.name)
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.ended = true
		p.mu.Unlock()
		k.logf("%s: ended: %v", p.name, err)
		close(done)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// residentMB returns the resident memory of the process without the program file, in MiB, and the
// highest with it so far.
func (p *process) residentMB() (now, peak float64) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	f, err := os.Open("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, 0
	}
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "RssAnon:":
			now = kb / 1024
		case "VmHWM:":
			peak = kb / 1024
		}
	}
	return now, peak
}

// enoughEnds is how often a process must end on each of two machines for a fault of the day.
const enoughEnds = 3

// guard does what the platform does: it ends the process whenever it exceeds the memory of its machine,
// until stop is closed, and starts it again after a short delay. It counts the ends.
func (k *kit) guard(p *process, memoryMB float64, stop <-chan struct{}) (ends *atomic.Int64, done <-chan struct{}) {
	ends = &atomic.Int64{}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		last := 0.0
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			now, _ := p.residentMB()
			if now > last*1.3 {
				k.logf("%s: memory %.0f MB", p.name, now)
				last = now
			}
			if now <= memoryMB {
				continue
			}
			k.logf("%s: takes %.0f MB, the machine has %.0f MB: the platform ends the process", p.name, now, memoryMB)
			p.signal(syscall.SIGKILL)
			<-p.done
			if ends.Add(1) == enoughEnds {
				return
			}
			last = 0
			time.Sleep(500 * time.Millisecond)
			k.run(p)
		}
	}()
	return ends, finished
}

// judgeEnds breaks the rule if processes have ended often enough on both machines.
func (k *kit) judgeEnds(memoryMB float64, ends ...*atomic.Int64) {
	enough := 0
	for _, n := range ends {
		if n.Load() >= enoughEnds {
			enough++
		}
	}
	k.logf("machines on which the process ended %d times: %d of %d", enoughEnds, enough, len(ends))
	if enough >= 2 {
		k.breaks("processes exceeded the memory of their machines (%.0f MB) and ended %d times on each of %d machines", memoryMB, enoughEnds, enough)
	}
}

// awaitReady waits until the readiness check of the entry succeeds.
func (k *kit) awaitReady(ip string, within time.Duration) {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + ip + ":8002/api/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				k.logf("%s is ready", ip)
				return
			}
		}
	}
	panic(cannotRun{ip + " did not get ready"})
}

// listen serves the handler at the address.
func listen(address string, h http.Handler) *http.Server {
	l, err := net.Listen("tcp", address)
	check(err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return s
}

var cases = map[string]func(k *kit){}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: review-stand3 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) (code int) {
	temp, err := os.MkdirTemp("", "review-stand3-")
	if err != nil {
		return 2
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return 2
	}
	k := &kit{folder: folder, temp: temp, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), store: newStore(), record: record}
	defer func() {
		for _, p := range k.procs {
			p.signal(syscall.SIGKILL)
			p.signal(syscall.SIGCONT)
			<-p.done
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(temp)
		} else {
			fmt.Println(temp)
		}
		_ = record.Close()
	}()
	defer func() {
		if r := recover(); r != nil {
			c, ok := r.(cannotRun)
			if !ok {
				panic(r)
			}
			k.logf("the case could not run: %s", c.why)
			fmt.Println("the case could not run:", c.why)
			code = 2
		}
	}()
	f := cases[name]
	if f == nil {
		panic(cannotRun{"no such case"})
	}
	f(k)
	for _, b := range k.broken {
		fmt.Println("broken:", b)
	}
	if len(k.broken) > 0 {
		return 1
	}
	k.logf("the rule held")
	fmt.Println("the rule held")
	return 0
}
