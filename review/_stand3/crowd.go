package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["crowd"] = crowdCase }

// crowdCase has clients whose bodies stop one byte short of their end and stay open, as many as the
// entry takes, beside ordinary clients that open new connections.
func crowdCase(k *kit) {
	const (
		crowd    = 2300
		ordinary = 10
		stable   = 3 * time.Second // stableWindowMs
		length   = 12 * time.Second
	)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 4100 {
		panic(cannotRun{fmt.Sprintf("the limit of descriptors is %d, not 4100 (maxFds of a front machine)", limit.Cur)})
	}
	ip, storeAt := "127.64.1.1", "127.64.0.1:8007"
	k.store.serve("front", storeAt)
	r := newReplica(k, "i-1", "127.64.2.1:9000", 5*time.Millisecond)
	config := keyConfig(1)
	config["tenants"] = []any{}
	config["routes"] = []any{map[string]any{
		"name": "r", "host": "a.example", "pathPrefix": "/", "routeKind": "safe", "timeoutMs": 6000, "targetLatencyMs": 500, "priority": 1, "service": "s", "maxAttempts": 2, "public": true,
	}}
	k.store.put("config", "main", config)
	k.store.put("servers", r.id, r.entry("s", "zone-a", "ready"))
	p := k.start(machine{name: "front-a-1", ip: ip, zone: "zone-a", memoryMB: 284, storeAt: storeAt})
	k.awaitReady(ip, 20*time.Second)
	time.Sleep(time.Second)

	var wg sync.WaitGroup
	stop := make(chan struct{})
	stopped := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	var open atomic.Int64
	if k.trouble {
		k.logf("%d clients come; each sends a request without the last byte of its body, and comes again once its connection is closed", crowd)
		for range crowd {
			wg.Go(func() {
				for !stopped() {
					holdBody(ip+":8005", &open, stopped)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	lastAnswer, tried, answered, longest := time.Now(), 0, 0, time.Duration(0)
	began := time.Now()
	for i := range ordinary {
		wg.Go(func() {
			client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for n := 0; !stopped(); n++ {
				id := fmt.Sprintf("%08x%08x", i, n)
				req, _ := http.NewRequest("POST", "http://"+ip+":8005/read", strings.NewReader("a question"))
				req.Host = "a.example"
				req.Header.Set("X-Request-Id", id)
				req.Header.Set("X-Deadline-Ms", "1000")
				resp, err := client.Do(req)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				mu.Lock()
				tried++
				if err == nil {
					answered++
					longest = max(longest, time.Since(lastAnswer))
					lastAnswer = time.Now()
				}
				mu.Unlock()
				if err != nil {
					k.logf("ordinary client gets for %s: %v", id, err)
				} else {
					k.logf("ordinary client gets for %s: %d", id, resp.StatusCode)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	ready := true
	for time.Since(began) < length {
		time.Sleep(time.Second)
		resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + ip + ":8002/api/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		now, _ := p.residentMB()
		k.logf("readiness check passed: %v; the crowd has %d connections; memory %.0f MB", ok, open.Load(), now)
		ready = ready && ok
	}
	mu.Lock()
	longest = max(longest, time.Since(lastAnswer))
	k.logf("%d ordinary requests on new connections, %d answered, the longest time without an answer %.1f s", tried, answered, longest.Seconds())
	if longest > stable && ready {
		k.breaks("the machine says that it is ready, and took no new connection for %.1f s while %d clients tried (%d of %d requests answered)", longest.Seconds(), ordinary, answered, tried)
	}
	mu.Unlock()
	close(stop)
	wg.Wait()
}

// holdBody sends a request without the last byte of its body, and waits until the connection is closed.
func holdBody(address string, open *atomic.Int64, stopped func() bool) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer func() { _ = c.Close() }()
	open.Add(1)
	defer open.Add(-1)
	body := strings.Repeat("q", 600)
	if _, err := fmt.Fprintf(c, "POST /read HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n%s", len(body)+1, body); err != nil {
		return
	}
	for !stopped() {
		_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		_, err := c.Read(make([]byte, 1024))
		if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
			return
		}
	}
}
