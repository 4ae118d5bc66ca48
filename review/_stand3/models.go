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
	"syscall"
	"time"
)

const pieces, pieceBytes = 96, 24576

// pieceOf returns a piece of a version of the weights.
func pieceOf(version, n int) []byte {
	return []byte(strings.Repeat(fmt.Sprintf("%04d%04d", version, n), pieceBytes/8))
}

// origin is a stand-in of the origin of the weights.
type origin struct {
	k *kit

	mu     sync.Mutex
	newest int
	gone   int
	// spoil changes the file of each manifest; nil if it is sound.
	spoil func(file []byte) []byte
}

func (o *origin) name(version int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest = version
}

// setSpoil sets what changes the file of each manifest.
func (o *origin) setSpoil(spoil func(file []byte) []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.spoil = spoil
}

// ServeHTTP answers for the two newest versions, and with 410 for those before.
func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	version := o.newest
	if v := r.URL.Query().Get("version"); v != "" {
		version, _ = strconv.Atoi(v)
	}
	if version <= o.newest-2 {
		if o.gone++; o.gone%20 == 1 {
			o.k.logf("origin is asked for version %d, the newest is %d: 410 (%d times)", version, o.newest, o.gone)
		}
		w.WriteHeader(http.StatusGone)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/api/manifest/") {
		digests := []string{}
		for n := range pieces {
			d := sha256.Sum256(pieceOf(version, n))
			digests = append(digests, hex.EncodeToString(d[:]))
		}
		file, err := json.Marshal(map[string]any{"model": "m", "version": version, "chunkBytes": pieceBytes, "layers": 16, "digests": digests})
		check(err)
		if o.spoil != nil {
			file = o.spoil(file)
		}
		o.k.logf("origin is asked for the manifest of version %d, and answers with its file: %.60s", version, file)
		_, _ = w.Write(file)
		return
	}
	n, _ := strconv.Atoi(r.URL.Query().Get("num"))
	_, _ = w.Write(pieceOf(version, n))
}

// engine is a stand-in of a model replica.
type engine struct {
	k *kit

	mu      sync.Mutex
	id      string
	born    int64
	version int
	seq     int
	busy    bool
	staged  map[string][]byte
	// off is true while its machine has no power.
	off bool
	// wrong is the number of pieces of the loaded version that were not what the origin has.
	wrong int
	// wrongRuns is the number of requests that ran with such pieces.
	wrongRuns int
}

// wrongPieces returns the number of staged pieces that are not those of the version.
func (e *engine) wrongPieces(version int) int {
	out := 0
	for n := range pieces {
		if !bytes.Equal(e.staged[strconv.Itoa(n)], pieceOf(version, n)) {
			out++
		}
	}
	return out
}

// restart makes the replica start again after a loss of power, with nothing.
func (e *engine) restart(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.id, e.born, e.version, e.seq, e.busy, e.staged, e.off, e.wrong = id, time.Now().UnixMilli(), 0, 0, false, map[string][]byte{}, false, 0
}

func (e *engine) state() map[string]any {
	models, layers := []any{}, []any{}
	if e.version > 0 {
		models = append(models, map[string]any{"name": "m", "version": e.version, "adapters": []any{}})
		layers = append(layers, map[string]any{"from": 0, "to": 16, "version": e.version})
	}
	return map[string]any{"stage": "both", "born": e.born, "models": models, "layers": layers, "seq": e.seq, "busy": e.busy, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0, "pace": 1}
}

// entry is what the replica writes of itself to the store.
func (e *engine) entry(address string) (id string, spec map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.state()
	for k, v := range map[string]any{"service": "s", "address": address, "zone": "zone-a", "version": "v1", "slots": 16, "state": "ready", "coldLeftMs": 0} {
		out[k] = v
	}
	return e.id, out
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.off {
		panic(http.ErrAbortHandler)
	}
	num := r.URL.Query().Get("num")
	switch {
	case r.URL.Path == "/api/report":
		_ = json.NewEncoder(w).Encode(e.state())
	case strings.HasPrefix(r.URL.Path, "/api/stage-put/"):
		e.staged[num], _ = io.ReadAll(r.Body)
	case strings.HasPrefix(r.URL.Path, "/api/stage-get/"):
		if data, ok := e.staged[num]; ok {
			_, _ = w.Write(data)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	case r.URL.Path == "/api/order":
		var in struct {
			Version int  `json:"version"`
			Expect  *int `json:"expect"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		if e.busy || in.Expect != nil && *in.Expect != e.seq {
			w.WriteHeader(http.StatusConflict)
			return
		}
		e.seq, e.busy, e.version, e.wrong = e.seq+1, true, 0, e.wrongPieces(in.Version)
		e.k.logf("replica %s is ordered to load version %d; %d of %d staged pieces are missing, spoilt or of another version", e.id, in.Version, e.wrong, pieces)
		born := e.born
		time.AfterFunc(300*time.Millisecond, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.born == born {
				e.busy, e.version = false, in.Version
				e.k.logf("replica %s has loaded version %d", e.id, in.Version)
			}
		})
		w.WriteHeader(http.StatusAccepted)
	default:
		e.answer(w, r)
	}
}

// answer runs a request. The caller holds e.mu.
func (e *engine) answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	h := w.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	h.Set("X-Replica-Id", e.id)
	expected, version := r.Header.Get("X-Expect-Replica"), r.Header.Get("X-Expect-Version")
	if e.version == 0 || expected != "" && expected != e.id || version != "" && version != strconv.Itoa(e.version) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.k.logf("replica %s runs %s on version %d, of which it loaded %d wrong pieces", e.id, r.Header.Get("X-Request-Id"), e.version, e.wrong)
	if e.wrong > 0 {
		e.wrongRuns++
	}
	h.Set("X-Replica-Signature", e.id+".receipt")
	h.Set("X-Weight-Versions", strconv.Itoa(e.version))
	h.Set("Content-Type", "text/event-stream")
	for n := 1; n <= 3; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", n)
	}
}

const (
	// recoverTime is recoverS.
	recoverTime = 12 * time.Second
	// judgedTime is how long the requests are sent that are judged.
	judgedTime = 15 * time.Second
)

// models is a deployment with a model: one entry, and one host with its replica.
type models struct {
	k              *kit
	ip, engineAt   string
	origin         *origin
	engine         *engine
	front, side    *process
	asked          int
	stop           chan struct{}
	reportersEnded sync.WaitGroup
}

// startModels starts the deployment on addresses that begin with the prefix. The replica runs version 1.
func startModels(k *kit, prefix string) *models {
	storeAt, originAt := prefix+".0.1:8007", prefix+".3.1:8006"
	m := &models{k: k, ip: prefix + ".1.1", engineAt: prefix + ".1.2:8001", origin: &origin{k: k, newest: 1}, engine: &engine{k: k}, stop: make(chan struct{})}
	k.store.serve("all", storeAt)
	listen(originAt, m.origin)
	m.engine.restart("i-1")
	m.engine.version = 1
	for n := range pieces {
		m.engine.staged[strconv.Itoa(n)] = pieceOf(1, n)
	}
	listen(m.engineAt, m.engine)
	k.store.put("config", "main", map[string]any{
		"version": 1,
		"routes":  []any{map[string]any{"name": "r", "host": "a.example", "pathPrefix": "/", "routeKind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 500, "priority": 1, "service": "s", "maxAttempts": 2, "public": true, "resumable": true, "gapAimMs": 400}},
		"services": []any{map[string]any{"name": "s", "healthPath": "/health", "maxConns": 294, "coldStartS": 3.0, "coldPerS": 26.0, "engine": map[string]any{
			"slots": 16, "kvCapacity": 1180000, "stride": 5, "models": []any{map[string]any{"name": "m", "pace": 1.0}}, "step_ms": 8.87, "per_seq_ms": 0.0388, "read_per_s": 19100.0, "layers": 16, "chunks": pieces, "chunkBytes": pieceBytes,
		}}, map[string]any{"name": "o", "origin": originAt, "zone": "zone-a", "linkMbps": 7.3, "maxConns": 48}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}, "tenants": []any{},
	})
	m.write(1)
	m.reportersEnded.Go(m.report)
	m.front = k.start(machine{name: "front-a-1", ip: m.ip, zone: "zone-a", memoryMB: 284, storeAt: storeAt})
	m.side = k.start(machine{name: "side-a-1", ip: prefix + ".1.2", zone: "zone-a", memoryMB: 152, storeAt: storeAt, engine: m.engineAt, service: "s"})
	k.awaitReady(m.ip, 20*time.Second)
	time.Sleep(2 * time.Second)
	return m
}

// close ends what the deployment does by itself.
func (m *models) close() {
	close(m.stop)
	m.reportersEnded.Wait()
}

// write makes the store execute a write that names a version.
func (m *models) write(version int) {
	m.k.store.put("versions", "m", map[string]any{"model": "m", "version": version})
	m.k.logf("the store executes a write: versions/m names version %d", version)
}

// report writes the replica's entry every heartbeatMs.
func (m *models) report() {
	last := ""
	for {
		m.engine.mu.Lock()
		off := m.engine.off
		m.engine.mu.Unlock()
		if id, spec := m.engine.entry(m.engineAt); !off {
			if last != "" && last != id {
				m.k.store.remove("servers", last)
			}
			m.k.store.put("servers", id, spec)
			last = id
		}
		select {
		case <-m.stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// ask sends a request every 0.2 s.
func (m *models) ask(length time.Duration) (sent, served int) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		m.asked++
		id := fmt.Sprintf("%016x", m.asked)
		req, _ := http.NewRequest("POST", "http://"+m.ip+":8005/ask", strings.NewReader("a question"))
		req.Host = "a.example"
		for name, value := range map[string]string{"X-Request-Id": id, "X-Model": "m", "X-Token-Usage": "100,20", "X-Prompt-Prefix": "1a:40," + id + ":60", "X-Deadline-Ms": "2000"} {
			req.Header.Set(name, value)
		}
		m.k.logf("client sends %s", id)
		resp, err := client.Do(req)
		sent++
		if err != nil {
			m.k.logf("client gets for %s: %v", id, err)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == 200 && err == nil && strings.Contains(string(body), "id: 3") {
			served++
		}
		m.k.logf("client gets for %s: %d, version %s, %d bytes", id, resp.StatusCode, resp.Header.Get("X-Weight-Versions"), len(body))
	}
	return sent, served
}

// name names a version.
func (m *models) name(version int) {
	m.origin.name(version)
	m.write(version)
}

// judgeRecovery takes all machines' power away for 0.9 s, and judges what is served afterwards. It calls
// atPower as the power comes back.
func (m *models) judgeRecovery(atPower func()) {
	sent, served := m.ask(4 * time.Second)
	m.k.logf("before the loss of power: %d of %d requests served", served, sent)
	if 4*served < sent {
		panic(cannotRun{"less than a quarter was served before the loss of power"})
	}
	m.k.logf("all machines lose power")
	m.engine.mu.Lock()
	m.engine.off = true
	m.engine.mu.Unlock()
	m.front.signal(syscall.SIGKILL)
	m.side.signal(syscall.SIGKILL)
	time.Sleep(900 * time.Millisecond)
	atPower()
	m.engine.restart("i-2")
	m.k.run(m.front)
	m.k.run(m.side)
	back := time.Now()
	m.k.logf("all machines are back")
	m.ask(recoverTime)
	sent, served = m.ask(judgedTime)
	m.k.logf("%.0f to %.0f s after the machines are back: %d of %d requests served", recoverTime.Seconds(), time.Since(back).Seconds(), served, sent)
	if 4*served < sent {
		m.k.breaks("%d of %d requests were served later than %.0f s after the machines were back; a quarter is the least", served, sent, recoverTime.Seconds())
	}
}
