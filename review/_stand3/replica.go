package main

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// run is a request that a replica has run.
type run struct {
	id, tenant, replica, path string
	at                        time.Time
}

// replica is a stand-in of a replica of a plain service.
type replica struct {
	id, address string
	k           *kit
	// work is how long a request takes.
	work time.Duration

	mu   sync.Mutex
	runs []run
}

// newReplica starts a replica.
func newReplica(k *kit, id, address string, work time.Duration) *replica {
	r := &replica{id: id, address: address, k: k, work: work}
	listen(address, r)
	return r
}

// entry is what the replica writes of itself to the store.
func (r *replica) entry(service, zone, state string) map[string]any {
	return map[string]any{"service": service, "address": r.address, "zone": zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0, "seq": 1}
}

// ServeHTTP answers a request.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	h.Set("X-Request-Id", req.Header.Get("X-Request-Id"))
	h.Set("X-Replica-Id", r.id)
	if req.URL.Path == "/health" {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	if expected := req.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x := run{id: req.Header.Get("X-Request-Id"), tenant: req.Header.Get("X-Tenant"), replica: r.id, path: req.URL.Path, at: time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, x)
	r.mu.Unlock()
	r.k.logf("%s runs %s for tenant %q", r.id, x.id, x.tenant)
	time.Sleep(r.work)
	h.Set("X-Replica-Signature", r.id+".receipt")
	_, _ = io.WriteString(w, "done "+x.id)
}

// find returns the runs of a request.
func (r *replica) find(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, x := range r.runs {
		if x.id == id {
			out = append(out, x)
		}
	}
	return out
}
