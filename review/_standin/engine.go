package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelName  = "m1"
	layers     = 16
	chunks     = 96
	chunkBytes = 24576
	// rotGrace is the time for which a piece may have been bad before it was taken.
	rotGrace = 3 * time.Second
)

// chunkOf returns the piece of a version.
func chunkOf(version int64, num int) []byte {
	out := make([]byte, chunkBytes)
	rng := rand.NewChaCha8([32]byte{byte(version), byte(num)})
	_, _ = rng.Read(out)
	return out
}

func digestOf(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// origin is a stand-in of the origin of the weights.
func origin() http.Handler {
	mux := http.NewServeMux()
	newest := func(r *http.Request) int64 {
		if v, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64); err == nil {
			return v
		}
		return 1
	}
	mux.HandleFunc("/api/manifest/", func(w http.ResponseWriter, r *http.Request) {
		v := newest(r)
		digests := make([]string, chunks)
		for i := range digests {
			digests[i] = digestOf(chunkOf(v, i))
		}
		reply(w, http.StatusOK, map[string]any{"model": modelName, "version": v, "chunkBytes": chunkBytes, "layers": layers, "digests": digests})
	})
	mux.HandleFunc("/api/piece/", func(w http.ResponseWriter, r *http.Request) {
		num, _ := strconv.Atoi(r.URL.Query().Get("num"))
		_, _ = w.Write(chunkOf(newest(r), num))
	})
	return mux
}

// engine is a stand-in of a model replica.
type engine struct {
	id        string
	record    *record
	address   string
	born      int64
	stageTime time.Duration
	// onStaged is called after each piece of a later version than the first that was read back.
	onStaged func(num int)

	mu      sync.Mutex
	staged  [chunks][]byte
	rotAt   [chunks]time.Time
	putSeen [chunks]bool
	version int64
	seq     int64
	busy    bool
	active  int
	// spoilt describes what was wrong with the pieces as they were taken.
	spoilt []string
	// tokens is the number of tokens that were made with spoilt pieces.
	tokens int
	// cancelled is closed when an order cancels the running requests.
	cancelled chan struct{}
	// onEnd is called as a request ends, with the number of events that were made.
	onEnd func(id string, events int, complete bool)
}

const (
	// A request whose path ends in longSuffix gets longEvents events, one each eventTime.
	longSuffix = "long"
	longEvents = 40
	eventTime  = 100 * time.Millisecond
)

func newEngine(id string, r *record) *engine {
	e := &engine{id: id, record: r, born: time.Now().UnixMilli(), version: 1, stageTime: 5 * time.Millisecond, onStaged: func(int) {}, cancelled: make(chan struct{}), onEnd: func(string, int, bool) {}}
	for i := range e.staged {
		e.staged[i] = chunkOf(1, i)
	}
	e.address = serve(e)
	return e
}

// entry returns the replica's entry in the store.
func (e *engine) entry(service string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": service, "address": e.address, "zone": "izmir-a", "version": "v1", "slots": 16, "state": "ready", "coldLeftMs": 0, "stage": "both",
		"models": e.models(), "layers": e.layers(), "seq": e.seq, "born": e.born,
	}
}

func (e *engine) models() any {
	return []any{map[string]any{"name": modelName, "version": e.version, "adapters": []any{}}}
}

func (e *engine) layers() any {
	return map[string]any{"from": 0, "to": layers, "version": e.version}
}

// rot turns a staged piece bad.
func (e *engine) rot(num int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := append([]byte(nil), e.staged[num]...)
	b[100] ^= 0x40
	e.staged[num], e.rotAt[num] = b, time.Now()
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	num, _ := strconv.Atoi(r.URL.Query().Get("num"))
	switch {
	case r.URL.Path == "/api/report":
		e.mu.Lock()
		out := map[string]any{
			"stage": "both", "models": e.models(), "layers": e.layers(), "busy": e.busy, "seq": e.seq, "queued": 0, "active": e.active,
			"kvUsed": 0, "kvTotal": 1180000 * layers, "handles": 0, "born": e.born, "pace": 1,
		}
		e.mu.Unlock()
		reply(w, http.StatusOK, out)
	case strings.HasPrefix(r.URL.Path, "/api/stage-put/"):
		body := make([]byte, 0, chunkBytes)
		buf := make([]byte, 32<<10)
		for {
			n, err := r.Body.Read(buf)
			body = append(body, buf[:n]...)
			if err != nil {
				break
			}
		}
		time.Sleep(e.stageTime)
		e.mu.Lock()
		e.staged[num], e.rotAt[num], e.putSeen[num] = body, time.Time{}, true
		e.mu.Unlock()
		w.WriteHeader(http.StatusOK)
	case strings.HasPrefix(r.URL.Path, "/api/stage-get/"):
		time.Sleep(e.stageTime)
		e.mu.Lock()
		data, put := e.staged[num], e.putSeen[num]
		e.mu.Unlock()
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data)
		if put {
			e.onStaged(num)
		}
	case r.URL.Path == "/api/order":
		e.order(w, r)
	case r.URL.Path == "/health":
		w.Header().Set("X-Replica-Id", e.id)
		w.WriteHeader(http.StatusOK)
	default:
		e.run(w, r)
	}
}

// order handles an order to load the staged pieces.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Strategy string
		Version                    int64
		Expect                     *int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Operation != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy || o.Expect != nil && *o.Expect != e.seq {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if o.Version == e.version {
		w.WriteHeader(http.StatusOK)
		return
	}
	e.seq++
	e.busy, e.spoilt = true, nil
	now := time.Now()
	for i, b := range e.staged {
		if digestOf(b) == digestOf(chunkOf(o.Version, i)) {
			continue
		}
		if at := e.rotAt[i]; !at.IsZero() && now.Sub(at) <= rotGrace {
			e.record.printf("server %s: piece %d had turned bad %.3f s before it was taken, which is allowed", e.id, i, now.Sub(at).Seconds())
			continue
		}
		e.spoilt = append(e.spoilt, fmt.Sprintf("piece %d, bad for %.3f s", i, now.Sub(e.rotAt[i]).Seconds()))
	}
	e.record.printf("server %s: accepts the order to start version %d; %d pieces are spoilt: %s", e.id, o.Version, len(e.spoilt), strings.Join(e.spoilt, "; "))
	if e.active > 0 {
		e.record.printf("server %s: %d requests are running; the strategy of the order is %q", e.id, e.active, o.Strategy)
	}
	if o.Strategy == "cancel" {
		close(e.cancelled)
		e.cancelled = make(chan struct{})
	}
	go e.load(o.Version)
	w.WriteHeader(http.StatusAccepted)
}

// load loads a version after the running requests.
func (e *engine) load(version int64) {
	for running := true; running; time.Sleep(10 * time.Millisecond) {
		e.mu.Lock()
		running = e.active > 0
		e.mu.Unlock()
	}
	time.Sleep(300 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy, e.version = false, version
	e.record.printf("server %s: runs version %d", e.id, version)
}

// run handles a client's request, whose answer is a stream of events.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	e.mu.Lock()
	version, busy, spoilt := e.version, e.busy, len(e.spoilt)
	e.mu.Unlock()
	switch want := r.Header.Get("X-Expect-Version"); {
	case r.Header.Get("X-Expect-Replica") != "" && r.Header.Get("X-Expect-Replica") != e.id, want != "" && want != strconv.FormatInt(version, 10):
		h.Set("X-Replica-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case busy:
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	last, gap := 3, 10*time.Millisecond
	if strings.HasSuffix(r.URL.Path, longSuffix) {
		last, gap = longEvents, eventTime
		e.record.notef("server %s: runs request %s on version %d", e.id, id, version)
	} else {
		e.record.printf("server %s: runs request %s on version %d, %d pieces of its layers are spoilt", e.id, id, version, spoilt)
	}
	e.mu.Lock()
	e.active++
	if version > 1 && spoilt > 0 {
		e.tokens += last
	}
	cancelled := e.cancelled
	e.mu.Unlock()
	made := 0
	defer func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
		e.onEnd(id, made, made == last)
	}()
	h.Set("X-Replica-Signature", "receipt-"+id)
	h.Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	h.Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for made = from; made < last; made++ {
		select {
		case <-time.After(gap):
		case <-cancelled:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", made+1)
		_ = http.NewResponseController(w).Flush()
	}
}
