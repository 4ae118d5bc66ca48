package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["heads"] = headsCase }

// headsCase has clients that send heads over the limit, with bodies that stop short.
func headsCase(k *kit) {
	const (
		memoryMB   = 284 // limits.memoryMb of a front machine
		maxClients = 600
		length     = 45 * time.Second // at one machine
	)
	ips, storeAt := []string{"127.61.1.1", "127.61.1.2"}, "127.61.0.1:8007"
	k.store.serve("front", storeAt)
	replicaAt := "127.61.2.1:9000"
	listen(replicaAt, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Replica-Signature", "receipt")
		_, _ = io.WriteString(w, "ok")
	}))
	k.store.put("config", "main", map[string]any{
		"version":  1,
		"routes":   []any{map[string]any{"name": "r", "host": "a.example", "pathPrefix": "/", "routeKind": "safe", "timeoutMs": 6000, "targetLatencyMs": 500, "priority": 1, "service": "s", "maxAttempts": 2, "public": true}},
		"services": []any{map[string]any{"name": "s", "healthPath": "/health", "maxConns": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{},
	})
	k.store.put("servers", "i-1", map[string]any{"service": "s", "address": replicaAt, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": 1})
	var fronts []*process
	for i, ip := range ips {
		fronts = append(fronts, k.start(machine{name: fmt.Sprintf("front-a-%d", i+1), ip: ip, zone: "zone-a", memoryMB: memoryMB, storeAt: storeAt}))
	}
	for _, ip := range ips {
		k.awaitReady(ip, 20*time.Second)
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var ends []*atomic.Int64
	var guards []<-chan struct{}
	for _, p := range fronts {
		n, done := k.guard(p, memoryMB, stop)
		ends, guards = append(ends, n), append(guards, done)
	}
	var b strings.Builder
	// The manifest's limit is 16,384 bytes.
	b.WriteString("POST /order HTTP/1.1\r\nHost: unknown.example\r\nContent-Length: 1000\r\n")
	for i := 0; b.Len() < 63<<10; i++ {
		fmt.Fprintf(&b, "%sz:\r\n", strconv.FormatInt(int64(i), 36))
	}
	b.WriteString("\r\n")
	head := b.String()
	var wg sync.WaitGroup
	if k.trouble {
		k.logf("clients come, at most %d at a time at one machine after the other; each sends a head of %d bytes and nothing of its body of 1000 bytes", maxClients, len(head))
		for i, ip := range ips {
			var open, sent, answered atomic.Int64
			for end := time.Now().Add(length); time.Now().Before(end) && ends[i].Load() < enoughEnds; time.Sleep(time.Millisecond) {
				if open.Load() >= maxClients {
					continue
				}
				open.Add(1)
				wg.Go(func() {
					defer open.Add(-1)
					sent.Add(1)
					if sendHead(ip+":8005", head) {
						answered.Add(1)
					} else {
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
			wg.Wait()
			k.logf("%s: %d clients came, %d were answered, the process ended %d times", ip, sent.Load(), answered.Load(), ends[i].Load())
		}
	}
	close(stop)
	for _, done := range guards {
		<-done
	}
	k.judgeEnds(memoryMB, ends...)
	for i, ip := range ips {
		if !fronts[i].hasEnded() {
			k.ordinaryRequest(ip)
			_, peak := fronts[i].residentMB()
			k.logf("%s: the highest memory of the process with the program file was %.0f MB", ip, peak)
		}
	}
}

// sendHead sends the head on a connection of its own, and reports whether there is an answer.
func sendHead(address, head string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	n, _ := c.Read(make([]byte, 4096))
	return n > 0
}

// ordinaryRequest sends a request within all limits.
func (k *kit) ordinaryRequest(ip string) {
	req, _ := http.NewRequest("GET", "http://"+ip+":8005/x", nil)
	req.Host = "a.example"
	req.Header.Set("X-Request-Id", "0123456789abcdef")
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
	if err != nil {
		k.logf("an ordinary request got %v", err)
		return
	}
	_ = resp.Body.Close()
	k.logf("an ordinary request got %d", resp.StatusCode)
}
