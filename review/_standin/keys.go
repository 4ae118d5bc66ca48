package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// revokeTimeout is the bound revokeMs.
const revokeTimeout = 5 * time.Second

// account is a stand-in of a replica of a plain service that records the requests that it runs.
type account struct {
	id     string
	record *record
	mu     sync.Mutex
	runs   map[string]int
}

func (a *account) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Replica") != a.id {
		h.Set("X-Replica-Id", a.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	a.mu.Lock()
	a.runs[id]++
	a.mu.Unlock()
	a.record.printf("server %s: runs request %s, X-Tenant %q", a.id, id, r.Header.Get("X-Tenant"))
	h.Set("X-Replica-Signature", "receipt-"+id)
	_, _ = io.WriteString(w, "paid "+id)
}

// keysConfig returns a manifest with one route that needs a key, and the tenants.
func keysConfig(version int, tenants ...any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": ledgerHost, "pathPrefix": "/pay/", "routeKind": "unsafe", "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 2,
			"service": ledgerService, "maxAttempts": 1, "public": false, "allowedRegions": []any{},
		}},
		"services": []any{map[string]any{"name": ledgerService, "healthPath": "/health"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  append([]any{}, tenants...),
	}
}

// runKeys shows what happens to the keys of the last tenant once it has been removed. With the
// trouble "empty" the tenant stays and loses its key.
func runKeys(r *record, trouble string) bool {
	const heldKey, unknownKey = "jnbanfqasnmgkcuyj8pj", "never-held-by-anyone"
	s := newStore()
	s.put("config", "main", keysConfig(1, map[string]any{"name": "galeri", "apiKeys": []any{heldKey}, "priority": 1, "allowedRegions": []any{}}))
	a := &account{id: "i-1", record: r, runs: make(map[string]int)}
	s.put("servers", a.id, map[string]any{"service": ledgerService, "address": serve(a), "zone": "izmir-a", "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": 0, "born": time.Now().UnixMilli()})
	_, addresses := newEntry("front-izmir-a-1", s.address, 284)
	if !awaitReady(addresses.ready, 20*time.Second) {
		must(fmt.Errorf("the entry isn't ready"))
	}
	send := func(id, key string) int {
		req, err := http.NewRequest(http.MethodPost, "http://"+addresses.callers+"/pay/order", strings.NewReader("heir 100"))
		must(err)
		req.Host = ledgerHost
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Deadline-Ms", "2500")
		req.Header.Set("X-Credential", key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			r.printf("client: request %s with key %s: %v", id, key, err)
			return 0
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		r.printf("client: request %s with key %s gets %d", id, key, resp.StatusCode)
		return resp.StatusCode
	}
	if send("before-1", heldKey) != http.StatusOK || send("before-2", unknownKey) != http.StatusUnauthorized {
		must(fmt.Errorf("keys don't work before the change"))
	}
	switch trouble {
	case "1":
		r.printf("the operator sends version 2 of the manifest, which removes the only tenant: the list of tenants is empty")
		s.put("config", "main", keysConfig(2))
	case "empty":
		r.printf("the operator sends version 2 of the manifest, which takes the key of the only tenant away: the tenant stays without a key")
		s.put("config", "main", keysConfig(2, map[string]any{"name": "galeri", "apiKeys": []any{}, "priority": 1, "allowedRegions": []any{}}))
	}
	confirmed := time.Now()
	time.Sleep(revokeTimeout + 2*time.Second)
	broken := 0
	for i := range 5 {
		held, unknown := fmt.Sprintf("after-held-%d", i), fmt.Sprintf("after-unknown-%d", i)
		sentAt := time.Since(confirmed)
		send(held, heldKey)
		send(unknown, unknownKey)
		a.mu.Lock()
		if a.runs[held] > 0 && trouble != "0" {
			broken++
			r.printf("CONFIG: request %s was sent %.1f s after the manifest that took its key away was confirmed, and ran", held, sentAt.Seconds())
		}
		if a.runs[unknown] > 0 {
			broken++
			r.printf("ROUTE: request %s ran with a key that no manifest ever held", unknown)
		}
		a.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
	return broken > 0
}
