package main

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	ledgerService = "royalty-ledger"
	ledgerHost    = "ledger.example"
	// maxBodyBytes is the operators' limit, and the size of the bodies.
	maxBodyBytes = 4194304
	// memoryMB is the memory of an entry's process.
	memoryMB = 284
	// uploadBytesPerSecond is the rate at which all clients of an entry send together, 0.6 of its
	// link of 1,000 Mbit/s, so that no packets wait.
	uploadBytesPerSecond = 0.6 * 125e6
	// usualClients is the number of clients that send a long body at the same time to one entry,
	// and burstFactor by how much more a burst is.
	usualClients = 24
	burstFactor  = 1.7
	// payers is the number of clients that send short requests to one entry all the time, each on a
	// connection that it keeps.
	payers = 6
	// ledgerWork is the time that a replica takes for a request.
	ledgerWork = 100 * time.Millisecond
)

// ledger is a stand-in of a replica with slots, which rejects what exceeds them.
type ledger struct {
	id     string
	record *record
	slots  chan struct{}
	mu     *sync.Mutex
	runs   map[string]int
}

func (l *ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Replica") != l.id {
		h.Set("X-Replica-Id", l.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case l.slots <- struct{}{}:
		defer func() { <-l.slots }()
	default:
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	l.mu.Lock()
	l.runs[id]++
	l.mu.Unlock()
	l.record.notef("server %s: runs request %s", l.id, id)
	time.Sleep(ledgerWork)
	h.Set("X-Replica-Signature", "receipt-"+id)
	_, _ = io.WriteString(w, "paid "+id)
}

// limitedProcess is a process that the platform kills if it uses more than its memory, and
// starts again.
type limitedProcess struct {
	*process
	record *record
	mu     sync.Mutex
	kills  int
	peak   int64
}

func (p *limitedProcess) watch(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := p.residentBytes()
		p.mu.Lock()
		p.peak = max(p.peak, used)
		p.mu.Unlock()
		if used <= memoryMB<<20 {
			continue
		}
		p.record.printf("platform: %s uses %d MiB, over its %d MiB, and is killed", p.name, used>>20, memoryMB)
		p.signal(syscall.SIGKILL)
		<-p.exited
		p.mu.Lock()
		p.kills++
		p.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		p.start()
	}
}

// sendBody sends a request with a body over a new connection, at the rate in bytes per second.
func sendBody(address, id string, rate float64) (status int, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /pay/order HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", ledgerHost, id, maxBodyBytes)
	if err != nil {
		return 0, err
	}
	begun, part := time.Now(), make([]byte, 64<<10)
	for sent := 0; sent < maxBodyBytes; sent += len(part) {
		time.Sleep(time.Until(begun.Add(time.Duration(float64(sent) / rate * float64(time.Second)))))
		if _, err := conn.Write(part); err != nil {
			return 0, err
		}
	}
	answer := make([]byte, 4096)
	n, err := conn.Read(answer)
	if err != nil {
		return 0, err
	}
	if n < 12 {
		return 0, io.ErrUnexpectedEOF
	}
	return strconv.Atoi(string(answer[9:12]))
}

// payer sends short requests on a kept connection until done is closed.
type payer struct {
	name, address string
	record        *record
	ran           func(id string) bool
	mu            *sync.Mutex
	// lost counts the requests that ran and got no answer.
	lost *int
}

func (p payer) run(done <-chan struct{}) {
	var conn net.Conn
	for n := 0; ; n++ {
		select {
		case <-done:
			if conn != nil {
				_ = conn.Close()
			}
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", p.address, time.Second); err != nil {
				conn = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", p.name, n)
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		p.record.notef("client: sends request %s", id)
		_, err := fmt.Fprintf(conn, "POST /pay/order HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 8000\r\nContent-Length: 8\r\n\r\nheir 100", ledgerHost, id)
		answer := make([]byte, 4096)
		if err == nil {
			_, err = conn.Read(answer)
		}
		if err == nil {
			p.record.notef("client: request %s gets %s", id, answer[9:12])
			time.Sleep(20 * time.Millisecond)
			continue
		}
		_ = conn.Close()
		conn = nil
		if p.ran(id) {
			p.record.printf("client: request %s was sent on a kept connection and passed on to a replica, which ran it; the connection ended without an answer (%v)", id, err)
			p.mu.Lock()
			*p.lost++
			p.mu.Unlock()
		}
	}
}

// runBodies shows how much memory an entry needs for the bodies of requests.
func runBodies(r *record, trouble string) bool {
	clients := usualClients
	if trouble == "1" {
		clients = int(math.Floor(usualClients * burstFactor))
	}
	if n, err := strconv.Atoi(os.Getenv("CLIENTS")); err == nil {
		clients = n
	}
	s := newStore()
	s.put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-1", "host": ledgerHost, "pathPrefix": "/pay/", "routeKind": "unsafe", "timeoutMs": 8000, "targetLatencyMs": 150, "priority": 2,
			"service": ledgerService, "maxAttempts": 1, "public": true,
		}},
		"services": []any{map[string]any{"name": ledgerService, "healthPath": "/health"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
	var mu sync.Mutex
	runs := make(map[string]int)
	for i := range 3 {
		l := &ledger{id: fmt.Sprintf("i-%d", i), record: r, slots: make(chan struct{}, 6), mu: &mu, runs: runs}
		s.put("servers", l.id, map[string]any{"service": ledgerService, "address": serve(l), "zone": "izmir-a", "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": 0, "born": time.Now().UnixMilli()})
	}
	done := make(chan struct{})
	var entries []*limitedProcess
	var addresses []entryAddresses
	for i := range 2 {
		p, a := newEntry(fmt.Sprintf("front-izmir-a-%d", i+1), s.address, memoryMB)
		entries, addresses = append(entries, &limitedProcess{process: p, record: r}), append(addresses, a)
	}
	var watchers sync.WaitGroup
	for _, e := range entries {
		watchers.Go(func() { e.watch(done) })
	}
	lost, ranAndLost := 0, 0
	stopPayers := make(chan struct{})
	var paying sync.WaitGroup
	for i, a := range addresses {
		if !awaitReady(a.ready, 20*time.Second) {
			must(fmt.Errorf("an entry isn't ready"))
		}
		for j := range payers {
			p := payer{name: fmt.Sprintf("order-%d-%d", i+1, j), address: a.callers, record: r, mu: &mu, lost: &ranAndLost, ran: func(id string) bool {
				mu.Lock()
				defer mu.Unlock()
				return runs[id] > 0
			}}
			paying.Go(func() { p.run(stopPayers) })
		}
	}
	for round := range 3 {
		for _, a := range addresses {
			if !awaitReady(a.ready, 20*time.Second) {
				must(fmt.Errorf("an entry isn't ready"))
			}
		}
		time.Sleep(time.Second)
		r.printf("round %d: %d clients at each entry send one request with a body of %d bytes", round+1, clients, maxBodyBytes)
		results := make(map[string]int)
		var wg sync.WaitGroup
		for i, a := range addresses {
			for j := range clients {
				id := fmt.Sprintf("pay-%d-%d-%d", round, i, j)
				wg.Go(func() {
					r.notef("client: sends request %s with a body of %d bytes", id, maxBodyBytes)
					status, err := sendBody(a.callers, id, uploadBytesPerSecond/float64(clients))
					text := strconv.Itoa(status)
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						text = "no answer"
						lost++
					}
					r.notef("client: request %s gets %s", id, text)
					results[fmt.Sprintf("%s, run %d times", text, runs[id])]++
				})
			}
		}
		wg.Wait()
		r.printf("round %d: answers: %v", round+1, results)
	}
	close(stopPayers)
	paying.Wait()
	close(done)
	watchers.Wait()
	for _, e := range entries {
		r.printf("%s: killed %d times for its memory; peak %d MiB of %d MiB", e.name, e.kills, e.peak>>20, memoryMB)
	}
	r.printf("requests with long bodies without an answer: %d; requests of kept connections that ran and got no answer: %d", lost, ranAndLost)
	return ranAndLost > 3
}
