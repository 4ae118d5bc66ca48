package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stableWindow is stableWindowMs of the small deployments.
	stableWindow = 3 * time.Second
	// ordinaryClients is the number of ordinary clients, each of which tries again 150 ms after its
	// last try. The rule wants seven.
	ordinaryClients = 12
	// crowdBody is the length of the crowd's bodies, of which the last byte never comes.
	crowdBody = 30_000
)

// crowd lets clients whose bodies stop just short of their end take all connections that the entry
// allows, for 12 s. The ordinary clients open a connection for each request.
func crowd(s *scene) ([]string, error) {
	const host, path, bodies = "lookup.example", "/look/up/", "/bo/dies/"
	if err := requireDescriptors(4096); err != nil {
		return nil, err
	}
	services := map[string]string{path: "ledger1", bodies: "models1"}
	n := 0
	for _, service := range services {
		n++
		r, err := startReplica(s.ip(100+n), fmt.Sprintf("i-%04d", n), "izmir-a", service, s.runs, s.record)
		if err != nil {
			return nil, err
		}
		s.store.put("servers", r.id, r.spec())
	}
	route := func(name, prefix, kind string, timeoutMs int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 400, "priority": 1,
			"service": services[prefix], "maxAttempts": 2, "public": true, "resumable": kind == "streaming", "allowedRegions": []any{},
		}
	}
	s.store.put("config", "main", map[string]any{
		"version": 3, "limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"routes": []any{route("r-look", path, "safe", 2500), route("r-bodies", bodies, "streaming", 6000)},
		"services": []any{
			map[string]any{"name": services[path], "healthPath": "/health", "maxConns": 100, "coldStartS": 0.0, "coldPerS": 0.0},
			map[string]any{"name": services[bodies], "healthPath": "/health", "maxConns": 294, "coldStartS": 0.0, "coldPerS": 0.0},
		},
	})
	e, err := s.newEntry(1, "izmir-a")
	if err != nil {
		return nil, err
	}
	if err := s.start(e); err != nil {
		return nil, err
	}
	if err := awaitReady(15*time.Second, e); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for range ordinaryClients {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
					a := s.send(e, "GET", host, path+"a", "")
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	size := s.maxFds/2 + 60
	began := time.Now()
	var open atomic.Int64
	crowdEnds := make(chan struct{})
	if s.trouble {
		s.record("trouble   %d clients send all but the last byte of bodies of %d bytes", size, crowdBody)
		for i := range size {
			clients.Go(func() { s.sendMost(e, host, bodies, i, &open, crowdEnds) })
			if i%50 == 0 {
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
	readyAt := []time.Time{began}
	notReady := 0
	for time.Since(began) < 12*time.Second {
		ready := e.isReady()
		s.record("ready     %v; %d connections of the crowd are open", ready, open.Load())
		if ready {
			readyAt = append(readyAt, time.Now())
		} else {
			notReady++
		}
		time.Sleep(time.Second)
	}
	ended := time.Now()
	close(crowdEnds)
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	after := 0
	served := []time.Time{began}
	for _, a := range answers {
		if a.err == nil && a.status == http.StatusOK {
			if a.sentAt.Before(began) {
				after++
			} else if a.sentAt.Before(ended) {
				served = append(served, a.sentAt)
			}
		}
	}
	if after == 0 {
		return nil, fmt.Errorf("%w: no ordinary client was answered before the crowd", errCannotRun)
	}
	served = append(served, ended)
	var broken []string
	for i := 1; i < len(served); i++ {
		gap := served[i].Sub(served[i-1])
		if gap < stableWindow {
			continue
		}
		failed := 0
		for _, a := range answers {
			if !a.sentAt.Before(served[i-1]) && a.sentAt.Before(served[i]) {
				failed++
			}
		}
		broken = append(broken, fmt.Sprintf("RECOVER: for %.1f s no request of %d ordinary clients was taken (%d tries), while the entry said that it was ready (%d of %d times)", gap.Seconds(), ordinaryClients, failed, len(readyAt)-1, len(readyAt)-1+notReady))
	}
	return broken, nil
}

// sendMost sends requests whose last byte never comes, one after another.
func (s *scene) sendMost(e *entry, host, path string, n int, open *atomic.Int64, end <-chan struct{}) {
	body := strings.Repeat("x", crowdBody-1)
	for i := 0; ; i++ {
		select {
		case <-end:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", e.front, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		open.Add(1)
		closed := make(chan struct{})
		go func() {
			select {
			case <-end:
				_ = conn.Close()
			case <-closed:
			}
		}()
		id := fmt.Sprintf("c%05d-%d", n, i)
		_, _ = fmt.Fprintf(conn, "POST %sa HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n%s", path, host, id, crowdBody, body)
		status, err := bufio.NewReader(conn).ReadString('\n')
		if n%200 == 0 {
			s.record("crowd     %s got %q, %v", id, strings.TrimSpace(status), err)
		}
		close(closed)
		_ = conn.Close()
		open.Add(-1)
		time.Sleep(50 * time.Millisecond)
	}
}
