// Command drive plays the scripts of review/6 and later: it starts the project's entries as separate
// processes beside stand-ins of the platform's store, of replicas and of clients, writes what
// was sent, answered and run to record.txt, and judges one rule.
//
//	drive SCRIPT FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the script could not run. With
// TROUBLE=0 it leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// errCannotRun is the cause of a script that shows nothing.
var errCannotRun = errors.New("the script could not run")

// scene is what a script plays with.
type scene struct {
	*deployment
	trouble bool
	store   *store
	runs    *runs
	began   time.Time

	mu     sync.Mutex
	out    *os.File
	lastID atomic.Int64
	// sent are the requests of clients.
	sent []sentRequest
}

// sentRequest is a request that a client has sent.
type sentRequest struct {
	id, key string
	at      time.Time
}

// longestRun is how long a script may run.
const longestRun = 115 * time.Second

// endEarly ends the script and all that it has started on a signal, or after longestRun.
func (s *scene) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(longestRun):
	}
	s.record("cannot run: ended early")
	s.stopAll()
	_ = os.RemoveAll(s.dir)
	os.Exit(2)
}

// record writes a line with the time since the start of the script.
func (s *scene) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.out, "%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// answer is what a client got.
type answer struct {
	id     string
	sentAt time.Time
	status int
	err    error
}

// send sends a request to the entry on a new connection, and returns its answer.
func (s *scene) send(e *entry, method, host, path, key string) answer {
	a := answer{id: fmt.Sprintf("q%06d", s.lastID.Add(1)), sentAt: time.Now()}
	q, err := http.NewRequest(method, "http://"+e.front+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	q.Host = host
	q.Header.Set("X-Request-Id", a.id)
	q.Header.Set("X-Deadline-Ms", "1500")
	if key != "" {
		q.Header.Set("X-Credential", key)
	}
	s.mu.Lock()
	s.sent = append(s.sent, sentRequest{id: a.id, key: key, at: a.sentAt})
	s.mu.Unlock()
	s.record("sent      %s to %s: %s %s%s %s", a.id, e.name, method, host, path, key)
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(q)
	if err != nil {
		a.err = err
		s.record("no answer %s: %v", a.id, err)
		return a
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	a.status, a.err = resp.StatusCode, err
	s.record("answered  %s %d %q", a.id, resp.StatusCode, strings.TrimSpace(string(body)))
	return a
}

// scripts are the scripts by name. Each returns what breaks the rule.
var scripts = map[string]func(s *scene) (broken []string, err error){
	"evacuation": evacuation,
	"drill":      drill,
	"crowd":      crowd,
	"memory":     memory,
}

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Println("usage: drive SCRIPT FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	s := &scene{
		deployment: &deployment{dir: dir, octet: rand.IntN(8000), memoryMB: 284, maxFds: 4100, zones: map[string]string{"izmir-a": "izmir", "ankara-a": "ankara"}},
		trouble:    os.Getenv("TROUBLE") != "0", runs: &runs{}, began: time.Now(), out: out,
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	defer s.stopAll()
	go s.endEarly()
	s.store, err = newStore(net.JoinHostPort(s.ip(250), "0"), s.record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	s.deployment.store = s.store.address
	broken, err := scripts[name](s)
	if err != nil {
		s.record("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return 2
	}
	for _, b := range broken[:min(len(broken), 10)] {
		s.record("broken    %s", b)
		fmt.Println(b)
	}
	if len(broken) > 0 {
		s.record("the rule was broken %d times", len(broken))
		fmt.Printf("the rule was broken %d times\n", len(broken))
		return 1
	}
	s.record("the rule held")
	fmt.Println("the rule held")
	return 0
}
