package main

import (
	"fmt"
	"sync"
	"time"
)

// evacuateAfter is evacuateMs of the small deployments.
const evacuateAfter = 5 * time.Second

// evacuation takes a zone out of service right after the entries' reader has begun to wait for
// that. The disruption is that the open connections to the store go silent, while new ones work.
func evacuation(s *scene) ([]string, error) {
	const service, host, path, zone = "ledger1", "lookup.example", "/look/up/", "izmir-a"
	for i, z := range []string{zone, zone, "ankara-a"} {
		r, err := startReplica(s.ip(100+i), fmt.Sprintf("i-%04d", i+1), z, service, s.runs, s.record)
		if err != nil {
			return nil, err
		}
		s.store.put("servers", r.id, r.spec())
	}
	s.store.put("config", "main", map[string]any{
		"version": 3, "limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"routes": []any{map[string]any{
			"name": "r-look", "host": host, "pathPrefix": path, "routeKind": "safe", "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 1,
			"service": service, "maxAttempts": 2, "public": true, "resumable": false, "allowedRegions": []any{},
		}},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 100, "coldStartS": 0.0, "coldPerS": 0.0}},
	})
	var entries []*entry
	for n := 1; n <= 2; n++ {
		e, err := s.newEntry(n, zone)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	watches := make(chan struct{}, 64)
	s.store.onWatch = func(kind string, wait time.Duration) {
		if kind == "evacuations" && wait > 4*time.Second {
			select {
			case watches <- struct{}{}:
			default:
			}
		}
	}
	for _, e := range entries {
		if err := s.start(e); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(15*time.Second, entries...); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
					s.send(entries[n%2], "GET", host, path+"a", "")
				}
			}
		})
	}
	time.Sleep(12 * time.Second) // one of the entries reads the store for both by now
	for len(watches) > 0 {
		<-watches
	}
	select {
	case <-watches:
	case <-time.After(15 * time.Second):
		close(stop)
		clients.Wait()
		return nil, fmt.Errorf("%w: no entry waits for evacuations", errCannotRun)
	}
	time.Sleep(100 * time.Millisecond)
	if s.trouble {
		s.record("trouble   %d open connections to the store go silent", s.store.silence())
	}
	s.store.put("evacuations", zone, map[string]any{})
	acked := time.Now()
	s.record("operator  the evacuation of %s is confirmed", zone)
	time.Sleep(9 * time.Second)
	ended := time.Now()
	s.store.remove("evacuations", zone)
	s.record("operator  the evacuation of %s is taken back", zone)
	close(stop)
	clients.Wait()
	var broken []string
	before, after := 0, 0
	for _, r := range s.runs.list() {
		switch d := r.at.Sub(acked); {
		case r.replica == "i-0003":
			after++
		case d < 0:
			before++
		case d > evacuateAfter && r.at.Before(ended):
			broken = append(broken, fmt.Sprintf("EVAC: %s reaches %s in %s %.3f s after the evacuation was confirmed", r.id, r.replica, zone, d.Seconds()))
		}
	}
	if before == 0 || after == 0 {
		return nil, fmt.Errorf("%w: %d requests reached the zone before, %d the other zone", errCannotRun, before, after)
	}
	return broken, nil
}
