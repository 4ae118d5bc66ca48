package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// killsOfFault is how often processes end by themselves on a machine that counts, and presses
	// how often an entry is pressed at most.
	killsOfFault = 3
	presses      = 4
	// attackTime is how long one crowd presses an entry at most.
	attackTime = 11 * time.Second
	// Sizes of the parts of the crowd: clients with whole bodies of wholeBody bytes, clients that
	// read slowly, and clients whose heads have no end at the callers' address and at the directory.
	wholeBodies   = 1780
	wholeBody     = 200_000
	slowReaders   = 40
	endlessHeads  = 220
	endlessLooks  = 510
	endlessLength = 60 << 10
)

// memory lets a crowd press each of two entries, which the platform kills once their memory is over the
// limit, and starts again. The crowd sends what the twelfth letter names: many large bodies of legal
// size, and heads without end. Some of it read their answers slowly.
func memory(s *scene) ([]string, error) {
	const host, path, bodies = "lookup.example", "/look/up/", "/bo/dies/"
	if err := requireDescriptors(4096); err != nil {
		return nil, err
	}
	services := map[string]string{path: "ledger1", bodies: "models1", longPath: "papers1"}
	for i := range 3 {
		for n, service := range []string{services[path], services[bodies], services[longPath]} {
			r, err := startReplica(s.ip(100+10*n+i), fmt.Sprintf("i-%d%03d", n, i+1), "izmir-a", service, s.runs, s.record)
			if err != nil {
				return nil, err
			}
			s.store.put("servers", r.id, r.spec())
		}
	}
	route := func(name, prefix, kind string, timeoutMs int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 400, "priority": 1,
			"service": services[prefix], "maxAttempts": 2, "public": true, "resumable": kind == "streaming", "allowedRegions": []any{},
		}
	}
	s.store.put("config", "main", map[string]any{
		"version": 3, "limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"routes": []any{route("r-look", path, "safe", 2500), route("r-bodies", bodies, "streaming", 6000), route("r-papers", longPath, "safe", 6000)},
		"services": []any{
			map[string]any{"name": services[path], "healthPath": "/health", "maxConns": 294, "coldStartS": 0.0, "coldPerS": 0.0},
			map[string]any{"name": services[bodies], "healthPath": "/health", "maxConns": 294, "coldStartS": 0.0, "coldPerS": 0.0},
			map[string]any{"name": services[longPath], "healthPath": "/health", "maxConns": 294, "coldStartS": 0.0, "coldPerS": 0.0},
		},
	})
	var broken []string
	machines := 0
	for n := 1; n <= 2; n++ {
		e, err := s.newEntry(n, "izmir-a")
		if err != nil {
			return nil, err
		}
		kills := 0
		for try := 0; try < presses && kills < killsOfFault; try++ {
			if err := s.start(e); err != nil {
				return nil, err
			}
			if err := awaitReady(15*time.Second, e); err != nil {
				return nil, err
			}
			if a := s.send(e, "GET", host, path+"a", ""); a.status != 200 {
				return nil, fmt.Errorf("%w: an ordinary request is not served: %d, %v", errCannotRun, a.status, a.err)
			}
			peak, over := s.press(e, host, path, bodies)
			s.record("platform  %s has had %d MiB at most, of %d", e.name, peak>>10, s.memoryMB)
			fmt.Printf("%s: %d MiB at most, of %d\n", e.name, peak>>10, s.memoryMB)
			if over {
				kills++
				s.record("platform  %s has been killed, as its memory is over the limit", e.name)
			}
			e.kill()
			time.Sleep(500 * time.Millisecond)
		}
		if kills >= killsOfFault {
			machines++
			broken = append(broken, fmt.Sprintf("Fault: the process of %s ended %d times, as its memory was over the limit", e.name, kills))
		}
	}
	if machines < 2 {
		return nil, nil
	}
	return broken, nil
}

// press presses the entry until its memory is over the limit, or attackTime is over. It returns the
// largest memory, in KiB, and whether that was over the limit.
func (s *scene) press(e *entry, host, path, bodies string) (peak int, over bool) {
	end := make(chan struct{})
	var crowd sync.WaitGroup
	defer crowd.Wait()
	defer close(end)
	if s.trouble {
		s.record("trouble   a crowd presses %s", e.name)
		join := func(count int, address string, head func() string, send func(c net.Conn, ended func() bool)) {
			for i := range count {
				crowd.Go(func() { member(address, head, end, send) })
				if i%100 == 0 {
					time.Sleep(5 * time.Millisecond)
				}
			}
		}
		post := func() string {
			return fmt.Sprintf("POST %sa HTTP/1.1\r\nHost: %s\r\nX-Request-Id: w%07d\r\nX-Deadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n", bodies, host, s.lastID.Add(1), wholeBody)
		}
		read := func() string {
			return fmt.Sprintf("GET %sa HTTP/1.1\r\nHost: %s\r\nX-Request-Id: r%07d\r\nX-Deadline-Ms: 6000\r\n\r\n", longPath, host, s.lastID.Add(1))
		}
		headOf := func(text string) func() string { return func() string { return text } }
		sendWhole := func(c net.Conn, ended func() bool) {
			for body := []byte(strings.Repeat("x", wholeBody)); !ended(); {
				if _, err := c.Write(body); err != nil {
					return
				}
				if _, err := c.Read(make([]byte, 4096)); err != nil {
					return
				}
				if _, err := c.Write([]byte(post())); err != nil {
					return
				}
			}
		}
		join(wholeBodies, e.front, post, sendWhole)
		readSlowly := func(c net.Conn, ended func() bool) {
			for b := make([]byte, 1<<10); !ended(); time.Sleep(100 * time.Millisecond) {
				if _, err := c.Read(b); err != nil {
					return
				}
			}
		}
		join(slowReaders, e.front, read, readSlowly)
		headWithoutEnd := func(c net.Conn, ended func() bool) {
			for n := 0; n < endlessLength && !ended(); n += 1 << 10 {
				if _, err := c.Write([]byte(strings.Repeat("y", 1<<10))); err != nil {
					return
				}
			}
		}
		join(endlessHeads, e.front, headOf("GET "+path+"a HTTP/1.1\r\nHost: "+host+"\r\nX-Any: "), headWithoutEnd)
		join(endlessLooks, e.direc, headOf("GET /api/resolve HTTP/1.1\r\nHost: "+host+"\r\nX-Any: "), headWithoutEnd)
	}
	for began := time.Now(); time.Since(began) < attackTime && !(over || !s.trouble && time.Since(began) > 3*time.Second); {
		kb := residentKB(e.cmd.Process.Pid)
		peak = max(peak, kb)
		over = kb > s.memoryMB<<10
		time.Sleep(2 * time.Millisecond)
	}
	if over {
		_ = e.cmd.Process.Kill()
	}
	return peak, over
}

// member is a client of the crowd, which stays until the end or until its connection ends.
func member(address string, head func() string, end <-chan struct{}, send func(net.Conn, func() bool)) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	ended := func() bool {
		select {
		case <-end:
			return true
		default:
			return false
		}
	}
	left := make(chan struct{})
	defer close(left)
	go func() {
		select {
		case <-end:
			_ = c.Close() // ends all that is in progress
		case <-left:
		}
	}()
	if _, err := c.Write([]byte(head())); err != nil {
		return
	}
	send(c, ended)
	_, _ = c.Read(make([]byte, 1))
}

// residentKB returns the resident memory of the process in KiB, without that of its program file.
func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb
		}
	}
	return 0
}
