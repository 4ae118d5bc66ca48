package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["evacuation"] = evacuationCase }

// evacuationCase evacuates a zone. Three seconds later the store comes back from a copy of before, and some
// seconds after that the operator writes the evacuation again. No process of the system is disturbed.
func evacuationCase(k *kit) {
	const (
		evacuate = 5 * time.Second // evacuateMs
		stable   = 3 * time.Second // stableWindowMs
		away     = 3 * time.Second
		back     = 3500 * time.Millisecond
		rewrite  = 8500 * time.Millisecond
	)
	k.store.era = 1
	ip, storeAt := "127.67.1.1", "127.67.0.1:8007"
	k.store.serve("front", storeAt)
	a, b := newReplica(k, "i-a", "127.67.2.1:9000", 20*time.Millisecond), newReplica(k, "i-b", "127.67.2.2:9000", 20*time.Millisecond)
	config := keyConfig(3)
	config["tenants"] = []any{}
	config["routes"].([]any)[0].(map[string]any)["public"] = true
	k.store.put("config", "main", config)
	k.store.put("servers", a.id, a.entry("s", "zone-a", "ready"))
	k.store.put("servers", b.id, b.entry("s", "zone-b", "ready"))
	k.start(machine{name: "front-a-1", ip: ip, zone: "zone-a", memoryMB: 284, storeAt: storeAt})
	k.awaitReady(ip, 20*time.Second)
	time.Sleep(8 * time.Second) // it has run for a while
	copied := k.store.backup()
	time.Sleep(500 * time.Millisecond)

	evacuatedAt := time.Now()
	k.store.put("evacuations", "zone-a", map[string]any{})
	k.logf("the store confirms the evacuation of zone-a")
	var wg sync.WaitGroup
	at := func(d time.Duration, f func()) {
		wg.Go(func() {
			time.Sleep(time.Until(evacuatedAt.Add(d)))
			f()
		})
	}
	touchFrom := evacuatedAt
	if k.trouble {
		touchFrom = evacuatedAt.Add(back + stable)
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
		set := func(v bool) {
			mu.Lock()
			defer mu.Unlock()
			isAway = v
		}
		at(away, func() {
			k.logf("the store goes away")
			set(true)
		})
		at(back, func() {
			k.store.restore(copied)
			set(false)
			k.logf("the store is back, with a copy that is %.1f s old, Store-Era is %d", (back + 500*time.Millisecond).Seconds(), k.store.era)
		})
		at(back+time.Second, func() {
			k.store.put("servers", a.id, a.entry("s", "zone-a", "ready"))
			k.store.put("servers", b.id, b.entry("s", "zone-b", "ready"))
		})
		at(rewrite, func() {
			k.store.put("evacuations", "zone-a", map[string]any{})
			k.logf("the operator writes the evacuation again")
		})
	}
	client := http.Client{Timeout: 1200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; time.Since(evacuatedAt) < 12*time.Second; n++ {
		id := fmt.Sprintf("%016x", n)
		wg.Go(func() {
			req, _ := http.NewRequest("POST", "http://"+ip+":8005/order", nil)
			req.Host = "a.example"
			req.Header.Set("X-Request-Id", id)
			req.Header.Set("X-Deadline-Ms", "1200")
			k.logf("client sends %s", id)
			resp, err := client.Do(req)
			if err != nil {
				k.logf("client gets for %s: %v", id, err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			k.logf("client gets for %s: %d", id, resp.StatusCode)
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	late, first, last := 0, time.Duration(0), time.Duration(0)
	for _, x := range a.runs {
		if after := x.at.Sub(evacuatedAt); after > evacuate && x.at.After(touchFrom) {
			if late++; late == 1 {
				first = after
			}
			last = after
		}
	}
	k.logf("%d requests ran in zone-a, %d in zone-b", len(a.runs), len(b.runs))
	if len(b.runs) == 0 {
		panic(cannotRun{"no request ran in the other zone"})
	}
	if late > 0 {
		k.breaks("%d requests reached the evacuated zone %.1f to %.1f s after the confirmation (evacuateMs %d), from a machine in touch", late, first.Seconds(), last.Seconds(), evacuate.Milliseconds())
	}
}
