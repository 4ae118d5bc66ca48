package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drill"] = drillCase }

// keyConfig is a manifest with the keys of a tenant.
func keyConfig(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r", "host": "a.example", "pathPrefix": "/", "routeKind": "unsafe", "timeoutMs": 1200, "targetLatencyMs": 150, "priority": 1,
			"service": "s", "maxAttempts": 1, "public": false, "affinity": false, "resumable": false, "allowedRegions": []string{},
		}},
		"services": []any{map[string]any{"name": "s", "healthPath": "/health", "maxConns": 100, "coldStartS": 0, "coldPerS": 0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "tenant-1", "apiKeys": keys, "priority": 1, "allowedRegions": []string{}}},
	}
}

// drillCase takes a key away. Some seconds later the store comes back from a copy of before, and the
// entry's process is killed and started again. The operator then writes its manifest again.
func drillCase(k *kit) {
	const (
		taken, kept = "key-that-is-taken-away", "key-that-stays"
		revoke      = 5 * time.Second // revokeMs
		away        = 3200 * time.Millisecond
		back        = 3700 * time.Millisecond
		rewrite     = 6200 * time.Millisecond
	)
	k.store.era = 0 // the number of drills so far
	ip, storeAt := "127.62.1.1", "127.62.0.1:8007"
	k.store.serve("front", storeAt)
	r := newReplica(k, "i-1", "127.62.2.1:9000", 20*time.Millisecond)
	k.store.put("config", "main", keyConfig(3, taken, kept))
	k.store.put("servers", r.id, r.entry("s", "zone-a", "ready"))
	p := k.start(machine{name: "front-a-1", ip: ip, zone: "zone-a", memoryMB: 284, stop: 8 * time.Second, storeAt: storeAt})
	k.awaitReady(ip, 20*time.Second)
	time.Sleep(8 * time.Second) // it has run for a while
	copied := k.store.backup()
	time.Sleep(500 * time.Millisecond)

	revokedAt := time.Now()
	k.store.put("config", "main", keyConfig(7, kept))
	k.logf("the store confirms manifest 7, which takes a key away")
	var wg sync.WaitGroup
	at := func(d time.Duration, f func()) {
		wg.Go(func() {
			time.Sleep(time.Until(revokedAt.Add(d)))
			f()
		})
	}
	if k.trouble {
		var mu sync.Mutex
		isAway := false
		k.store.refuse = func(_ string, w http.ResponseWriter, _ *http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			if isAway {
				panic(http.ErrAbortHandler)
			}
			return false
		}
		at(away, func() {
			k.logf("the store goes away, and the process is killed")
			mu.Lock()
			isAway = true
			mu.Unlock()
			p.signal(syscall.SIGKILL)
		})
		at(back, func() {
			k.store.restore(copied)
			mu.Lock()
			isAway = false
			mu.Unlock()
			k.logf("the store is back, with a copy that is %.1f s old, Store-Era is %d", (back + 500*time.Millisecond).Seconds(), k.store.era)
			k.store.put("servers", r.id, r.entry("s", "zone-a", "ready"))
			k.run(p)
		})
		at(rewrite, func() {
			k.store.put("config", "main", keyConfig(7, kept))
			k.logf("the operator writes manifest 7 again")
		})
	}
	client := http.Client{Timeout: 1200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	n := 0
	send := func(key string) {
		n++
		id := fmt.Sprintf("%016x", n)
		wg.Go(func() {
			sentAt := time.Now()
			req, _ := http.NewRequest("POST", "http://"+ip+":8005/order", nil)
			req.Host = "a.example"
			req.Header.Set("X-Request-Id", id)
			req.Header.Set("X-Deadline-Ms", "1200")
			req.Header.Set("X-Credential", key)
			k.logf("client sends %s with the %s", id, key)
			resp, err := client.Do(req)
			result := fmt.Sprint(err)
			if err == nil {
				body, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				result = fmt.Sprintf("%d %q", resp.StatusCode, body)
			}
			k.logf("client gets for %s: %s", id, result)
			if late := sentAt.Sub(revokedAt) - revoke; key == taken && late > 0 && len(r.find(id)) > 0 {
				k.breaks("%s was sent %.0f ms after the confirmation with a key that was taken away, and ran (revokeMs %d): %s", id, float64((late + revoke).Milliseconds()), revoke.Milliseconds(), result)
			}
		})
	}
	for time.Since(revokedAt) < 12*time.Second {
		send(taken)
		send(kept)
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	served := 0
	for _, x := range r.runs {
		if x.tenant == "tenant-1" {
			served++
		}
	}
	k.logf("%d requests ran", served)
	if served == 0 {
		panic(cannotRun{"no request ran"})
	}
}
