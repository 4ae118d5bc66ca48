package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	modelService = "filbert-models"
	modelHost    = "models.example"
)

// modelConfig returns a manifest with one streaming route to the model replicas.
func modelConfig(originAddress string) map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-1", "host": modelHost, "pathPrefix": "/read/", "routeKind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 400, "priority": 1,
			"service": modelService, "maxAttempts": 2, "public": true, "affinity": true, "resumable": true, "gapAimMs": 400,
		}},
		"services": []any{
			map[string]any{"name": modelService, "healthPath": "/health", "coldPerS": 36, "engine": map[string]any{
				"models": []any{map[string]any{"name": modelName}}, "layers": layers, "chunks": chunks, "chunkBytes": chunkBytes,
				"read_per_s": 19100, "step_ms": 8.87, "per_seq_ms": 0.0388, "stride": 5,
			}},
			map[string]any{"name": "dealer-portal", "origin": originAddress, "zone": "izmir-a"},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	}
}

// runWeights shows what a host orders if more than 3 s pass between the read-back of the first
// staged pieces and the order to load them, and pieces that it has read back turn bad meanwhile:
// the server is slow or, with the trouble "freeze", the host stands still. "slow" and "rot" are
// one of the two disruptions alone.
func runWeights(r *record, trouble string) bool {
	slow, freezes, rots := trouble == "1" || trouble == "slow", trouble == "freeze", trouble == "1" || trouble == "rot" || trouble == "freeze"
	const (
		freezeFor = 4 * time.Second
		after     = 10
	)
	rotten := []int{1, 3, 5, 7, 9}
	s := newStore()
	e := newEngine("i-1", r)
	if slow {
		e.stageTime = e.stageTime * 15 / 2
		r.printf("server %s works 7.5 times as long: a call for a piece takes %s", e.id, e.stageTime)
	}
	s.put("config", "main", modelConfig(serve(origin())))
	s.put("servers", e.id, e.entry(modelService))
	_, addresses := newEntry("front-izmir-a-1", s.address, 284)
	host := newHost("side-izmir-a-1", s.address, e.address, modelService)
	var once sync.Once
	thawed := make(chan struct{})
	e.onStaged = func(num int) {
		if num != after {
			return
		}
		once.Do(func() {
			if freezes {
				r.printf("machine %s stands still for %s; it has staged and read back pieces 0 to about %d", host.name, freezeFor, num)
				host.signal(syscall.SIGSTOP)
			}
			if rots {
				time.Sleep(50 * time.Millisecond)
				r.printf("%d of the %d pieces at server %s turn bad: %v", len(rotten), chunks, e.id, rotten)
				for _, n := range rotten {
					e.rot(n)
				}
			}
			go func() {
				if freezes {
					time.Sleep(freezeFor)
					r.printf("machine %s goes on", host.name)
					host.signal(syscall.SIGCONT)
				}
				close(thawed)
			}()
		})
	}
	if !awaitReady(addresses.ready, 20*time.Second) {
		must(fmt.Errorf("the entry isn't ready"))
	}
	time.Sleep(4 * time.Second)
	r.printf("the operator names version 2 of %s", modelName)
	s.put("versions", modelName, map[string]any{"model": modelName, "version": 2})
	select {
	case <-thawed:
	case <-time.After(40 * time.Second):
		must(fmt.Errorf("the host has staged nothing"))
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		e.mu.Lock()
		version := e.version
		e.mu.Unlock()
		if version == 2 {
			break
		}
	}
	s.put("servers", e.id, e.entry(modelService))
	time.Sleep(2 * time.Second)
	served := 0
	for i := range 6 {
		id := fmt.Sprintf("read-%d", i)
		req, err := http.NewRequest(http.MethodPost, "http://"+addresses.callers+"/read/letter", bytes.NewReader([]byte("prompt")))
		must(err)
		req.Host = modelHost
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Model", modelName)
		req.Header.Set("X-Token-Usage", "800,20")
		req.Header.Set("X-Deadline-Ms", "6000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			r.printf("client: request %s: %v", id, err)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.printf("client: request %s gets %d, version %s, %d bytes, error %v", id, resp.StatusCode, resp.Header.Get("X-Weight-Versions"), len(body), err)
		if resp.StatusCode == http.StatusOK && resp.Header.Get("X-Weight-Versions") == "2" {
			served++
		}
		time.Sleep(200 * time.Millisecond)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if served == 0 {
		must(fmt.Errorf("no request was served on version 2"))
	}
	r.printf("tokens made with layers that were taken while a piece was spoilt: %d", e.tokens)
	return e.tokens > 0
}
