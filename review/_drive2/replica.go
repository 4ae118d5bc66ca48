package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Requests below longPath get answers of about longAnswer bytes.
const (
	longPath   = "/pa/pers/"
	longAnswer = 1 << 20
)

// run is a request that a replica has run.
type run struct {
	id      string
	replica string
	at      time.Time
}

// runs are the runs of all replicas.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

func (r *runs) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

// replica is a stand-in of a replica of a plain service.
type replica struct {
	id, zone, service string
	address           string
	born              int64
	runs              *runs
	record            func(format string, args ...any)
	seq               atomic.Int64
}

// startReplica starts a replica at a free port of the IP.
func startReplica(ip, id, zone, service string, all *runs, record func(string, ...any)) (*replica, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, zone: zone, service: service, address: l.Addr().String(), born: time.Now().UnixMilli(), runs: all, record: record}
	server := &http.Server{Handler: r, IdleTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	return r, nil
}

// spec returns the replica's object in the store.
func (r *replica) spec() map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"seq": r.seq.Add(1), "born": r.born,
	}
}

// ServeHTTP answers a request.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("Keep-Alive", "timeout=5")
	w.Header().Set("X-Replica-Id", r.id)
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if want := q.Header.Get("X-Expect-Replica"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.runs.add(run{id: id, replica: r.id, at: time.Now()})
	r.record("run       %s at %s (zone %s)", id, r.id, r.zone)
	time.Sleep(10 * time.Millisecond)
	w.Header().Set("X-Replica-Signature", fmt.Sprintf("%s.%s", r.id, id))
	_, _ = io.WriteString(w, "answer to "+id+"\n")
	if strings.HasPrefix(q.URL.Path, longPath) {
		_, _ = io.WriteString(w, strings.Repeat("z", longAnswer))
	}
}
