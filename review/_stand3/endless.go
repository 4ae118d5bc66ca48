package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["endless"] = endlessCase }

// chunkOf returns a piece of the weights.
func chunkOf(n int) []byte { return bytes.Repeat([]byte{byte(n), 1}, 24576/2) }

// endlessCase starts a host whose engine answers the reading of what is staged with a body without end.
func endlessCase(k *kit) {
	const memoryMB = 152 // limits.memoryMb of a side machine
	storeAt := "127.63.0.1:8007"
	k.store.serve("all", storeAt)
	engines, originAt := []string{"127.63.1.2", "127.63.1.3"}, "127.63.3.1:8006"
	var mu sync.Mutex
	staged := map[string][]byte{}
	for n := range 96 {
		staged[strconv.Itoa(n)] = chunkOf(n)
	}
	var endless atomic.Bool
	var calls atomic.Int64
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	block := []byte(strings.Repeat("4000\r\n"+strings.Repeat("b", 0x4000)+"\r\n", 64))
	prefix := "/api/stage-get/"
	serveEndless := func(w http.ResponseWriter, r *http.Request) bool {
		if !endless.Load() || !strings.HasPrefix(r.URL.Path, prefix) {
			return false
		}
		calls.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return true
		}
		defer func() { _ = conn.Close() }()
		for _, err = io.WriteString(conn, head); err == nil; {
			_, err = conn.Write(block)
		}
		return true
	}
	serveEngine := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if serveEndless(w, r) {
			return
		}
		num := r.URL.Query().Get("num")
		switch {
		case r.URL.Path == "/api/report":
			_, _ = io.WriteString(w, `{"stage":"both","born":1700000000000,"models":[{"name":"m","version":1,"adapters":[]}],"layers":{"from":0,"to":16,"version":1},"busy":false,"seq":0,"queued":0,"active":0,"kvUsed":0,"kvTotal":90000,"handles":0,"pace":1}`)
		case strings.HasPrefix(r.URL.Path, "/api/stage-put/"):
			data, _ := io.ReadAll(r.Body)
			mu.Lock()
			staged[num] = data
			mu.Unlock()
		case strings.HasPrefix(r.URL.Path, "/api/stage-get/"):
			mu.Lock()
			data, ok := staged[num]
			mu.Unlock()
			if !ok {
				w.WriteHeader(404)
				return
			}
			_, _ = w.Write(data)
		}
	})
	listen(originAt, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if serveEndless(w, r) {
			return
		}
		if strings.HasPrefix(r.URL.Path, "/api/manifest/") {
			digests := []string{}
			for n := range 96 {
				d := sha256.Sum256(chunkOf(n))
				digests = append(digests, hex.EncodeToString(d[:]))
			}
			data, _ := json.Marshal(map[string]any{"model": "m", "version": 1, "chunkBytes": 24576, "layers": 16, "digests": digests})
			_, _ = w.Write(data)
			return
		}
		n, _ := strconv.Atoi(r.URL.Query().Get("num"))
		_, _ = w.Write(chunkOf(n))
	}))
	k.store.put("config", "main", map[string]any{
		"version": 1,
		"routes":  []any{map[string]any{"name": "r", "host": "a.example", "pathPrefix": "/", "routeKind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 500, "priority": 1, "service": "s", "maxAttempts": 2, "public": true, "resumable": true, "gapAimMs": 400}},
		"services": []any{map[string]any{"name": "s", "healthPath": "/health", "maxConns": 294, "coldStartS": 3.0, "coldPerS": 26.0, "engine": map[string]any{
			"slots": 16, "kvCapacity": 1180000, "stride": 5, "models": []any{map[string]any{"name": "m", "pace": 1.0}}, "step_ms": 8.87, "per_seq_ms": 0.0388, "read_per_s": 19100.0, "layers": 16, "chunks": 96, "chunkBytes": 24576,
		}}, map[string]any{"name": "o", "origin": originAt, "zone": "zone-a", "linkMbps": 7.3, "maxConns": 48}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}, "tenants": []any{},
	})
	for i, ip := range engines {
		listen(ip+":8001", serveEngine)
		k.store.put("servers", fmt.Sprintf("i-%d", i+1), map[string]any{"service": "s", "address": ip + ":8001", "zone": "zone-a", "version": "v1", "slots": 16, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1700000000000, "models": []any{map[string]any{"name": "m", "version": 1}}, "layers": map[string]any{"from": 0, "to": 16, "version": 1}})
	}
	k.store.put("versions", "m", map[string]any{"model": "m", "version": 1})
	k.start(machine{name: "front-a-1", ip: "127.63.1.1", zone: "zone-a", memoryMB: 284, storeAt: storeAt})
	k.awaitReady("127.63.1.1", 20*time.Second)
	endless.Store(k.trouble)
	stop := make(chan struct{})
	var ends []*atomic.Int64
	var guards []<-chan struct{}
	var sides []*process
	for i, ip := range engines {
		p := k.start(machine{name: fmt.Sprintf("side-a-%d", i+1), ip: ip, zone: "zone-a", memoryMB: memoryMB, storeAt: storeAt, engine: ip + ":8001", service: "s"})
		n, done := k.guard(p, memoryMB, stop)
		sides, ends, guards = append(sides, p), append(ends, n), append(guards, done)
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end) && (ends[0].Load() < enoughEnds || ends[1].Load() < enoughEnds); {
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	for i, done := range guards {
		<-done
		if _, peak := sides[i].residentMB(); peak > 0 {
			k.logf("%s: the highest memory of the process with the program file was %.0f MB", sides[i].name, peak)
		}
	}
	k.logf("%d answers without end were sent", calls.Load())
	k.judgeEnds(memoryMB, ends...)
}
