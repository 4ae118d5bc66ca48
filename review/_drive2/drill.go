package main

import (
	"fmt"
	"sync"
	"time"
)

// revokeAfter is revokeMs of the small deployments.
const revokeAfter = 5 * time.Second

// drill takes a key away, and later starts one of the two entries again. The disruption is a drill: the
// store is away for a second meanwhile, and comes back from a copy from before the change.
func drill(s *scene) ([]string, error) {
	const service, host, path = "ledger1", "lookup.example", "/look/up/"
	const kept, taken = "keptkeptkeptkeptkept", "takentakentakentaken"
	var replicas []*replica
	for i := range 2 {
		r, err := startReplica(s.ip(100+i), fmt.Sprintf("i-%04d", i+1), "izmir-a", service, s.runs, s.record)
		if err != nil {
			return nil, err
		}
		replicas = append(replicas, r)
		s.store.put("servers", r.id, r.spec())
	}
	manifest := func(version int, keys ...string) map[string]any {
		return map[string]any{
			"version": version, "limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
			"routes": []any{map[string]any{
				"name": "r-look", "host": host, "pathPrefix": path, "routeKind": "safe", "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 1,
				"service": service, "maxAttempts": 2, "public": false, "resumable": false, "allowedRegions": []any{},
			}},
			"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 100, "coldStartS": 0.0, "coldPerS": 0.0}},
			"tenants":  []any{map[string]any{"name": "tenant1", "apiKeys": keys, "priority": 1, "allowedRegions": []any{}}},
		}
	}
	s.store.put("config", "main", manifest(5, kept, taken))
	var entries []*entry
	for n := 1; n <= 2; n++ {
		e, err := s.newEntry(n, "izmir-a")
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
		if err := s.start(e); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(15*time.Second, entries...); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	for _, e := range entries {
		if a := s.send(e, "GET", host, path+"a", taken); a.status != 200 {
			return nil, fmt.Errorf("%w: the key is not served before it is taken away: %d, %v", errCannotRun, a.status, a.err)
		}
	}
	time.Sleep(time.Second)
	copied := s.store.copy()
	s.store.put("config", "main", manifest(8, kept))
	confirmed := time.Now()
	s.record("operator  version 8, which takes the key away, is confirmed")
	time.Sleep(4500 * time.Millisecond)
	for _, e := range entries {
		if a := s.send(e, "GET", host, path+"a", taken); a.status != 401 {
			return nil, fmt.Errorf("%w: the key is served after it was taken away: %d, %v", errCannotRun, a.status, a.err)
		}
	}
	second := entries[1]
	second.kill()
	s.record("platform  %s has been killed", second.name)
	if s.trouble {
		s.record("trouble   the store is away")
		s.store.goAway()
	}
	time.Sleep(500 * time.Millisecond)
	if err := s.start(second); err != nil {
		return nil, err
	}
	s.record("platform  %s has been started again", second.name)
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		s.store.comeBack(copied)
		s.record("trouble   the store is back, from a copy that is %.1f s old", time.Since(confirmed).Seconds())
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 4 {
		key := kept
		if i%2 == 0 {
			key = taken
		}
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
					s.send(entries[1-i/2], "GET", host, path+"a", key)
				}
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if s.trouble {
		for _, r := range replicas {
			s.store.put("servers", r.id, r.spec())
		}
		s.store.put("config", "main", manifest(8, kept))
		s.record("operator  version 8 has been written again")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	return s.withKey(taken, confirmed.Add(revokeAfter))
}

// withKey returns the runs of requests that were sent with the key after the time.
func (s *scene) withKey(key string, after time.Time) ([]string, error) {
	ran := make(map[string]run)
	for _, r := range s.runs.list() {
		ran[r.id] = r
	}
	var broken []string
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.sent {
		if r, ok := ran[q.id]; ok && q.key == key && q.at.After(after) {
			broken = append(broken, fmt.Sprintf("CONFIG: %s with the key that was taken away was sent %.3f s after the last time allowed, and %s ran it", q.id, q.at.Sub(after).Seconds(), r.replica))
		}
	}
	return broken, nil
}
