package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storedObject is an object of the platform's store.
type storedObject struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// event is a change of an object.
type event struct {
	revision uint64
	kind     string
	Removed  bool         `json:"removed"`
	Object   storedObject `json:"object"`
}

// storeState is what the store holds. A drill puts back an earlier one.
type storeState struct {
	revision uint64
	objects  map[string]map[string]storedObject
	events   []event
	// historyFrom is the revision from which the history is kept.
	historyFrom uint64
}

func (s *storeState) clone() *storeState {
	out := &storeState{revision: s.revision, objects: make(map[string]map[string]storedObject), historyFrom: s.revision}
	for kind, objects := range s.objects {
		out.objects[kind] = make(map[string]storedObject)
		for name, o := range objects {
			out.objects[kind][name] = o
		}
	}
	return out
}

// storeConn is a connection to the store.
type storeConn struct{ silent atomic.Bool }

type storeConnKey struct{}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	address string
	record  func(format string, args ...any)
	// onWatch, if not nil, is called when a watch begins.
	onWatch func(kind string, wait time.Duration)

	mu      sync.Mutex
	state   *storeState
	changed chan struct{}
	era     int
	away    bool
	conns   map[net.Conn]*storeConn
}

func newStore(address string, record func(string, ...any)) (*store, error) {
	s := &store{
		address: address, record: record, state: &storeState{revision: 100, objects: make(map[string]map[string]storedObject), historyFrom: 100},
		changed: make(chan struct{}), conns: make(map[net.Conn]*storeConn),
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	server := &http.Server{
		Handler: s,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			sc := &storeConn{}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.conns[c] = sc
			return context.WithValue(ctx, storeConnKey{}, sc)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if state == http.StateClosed {
				delete(s.conns, c)
			} else if state == http.StateNew && s.away {
				_ = c.Close()
			}
		},
	}
	go func() { _ = server.Serve(l) }()
	return s, nil
}

// silence makes the connections that are open now go silent for good, while new ones work.
func (s *store) silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.silent.Store(true)
	}
	return len(s.conns)
}

// goAway resets all connections, and those that are opened until comeBack.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// comeBack ends goAway. With a copy, the store has the state of the copy and is in a new era.
func (s *store) comeBack(copied *storeState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if copied != nil {
		s.state = copied
		s.era++
	}
	s.notify()
}

func (s *store) copy() *storeState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.clone()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object and returns the revision of the write.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, data).Metadata.Revision
}

func (s *store) write(kind, name string, spec json.RawMessage) storedObject {
	s.state.revision++
	o, known := s.state.objects[kind][name]
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.state.revision, spec
	if !known {
		o.Metadata.Created = s.state.revision
	}
	if s.state.objects[kind] == nil {
		s.state.objects[kind] = make(map[string]storedObject)
	}
	s.state.objects[kind][name] = o
	s.state.events = append(s.state.events, event{revision: s.state.revision, kind: kind, Object: o})
	s.notify()
	return o
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.state.objects[kind][name]
	if !known {
		return
	}
	s.state.revision++
	delete(s.state.objects[kind], name)
	o.Metadata.Revision = s.state.revision
	s.state.events = append(s.state.events, event{revision: s.state.revision, kind: kind, Removed: true, Object: o})
	s.notify()
}

// ServeHTTP answers a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(storeConnKey{}).(*storeConn)
	status, body := s.call(r)
	if status == 0 {
		return // the caller has gone
	}
	if conn != nil && conn.silent.Load() {
		<-r.Context().Done() // nothing further comes on this connection
		return
	}
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) call(r *http.Request) (int, any) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		return http.StatusNotFound, nil
	}
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		defer s.mu.Unlock()
		o, known := s.state.objects[kind][name]
		if !known {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, o
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		return s.watch(r, kind)
	case r.Method == http.MethodGet:
		return s.list(r, kind)
	}
	var in storedObject
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	old, known := s.state.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && known:
		return http.StatusConflict, old
	case r.Method == http.MethodPut && !known:
		return http.StatusNotFound, nil
	case r.Method == http.MethodPut && in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		return http.StatusOK, s.write(kind, name, in.Spec)
	}
	return http.StatusMethodNotAllowed, nil
}

func (s *store) list(r *http.Request, kind string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0)
	for name := range s.state.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := make([]storedObject, 0)
	for _, name := range names {
		items = append(items, s.state.objects[kind][name])
	}
	return http.StatusOK, map[string]any{"items": items, "hasMore": false, "storeRevision": s.state.revision}
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if s.onWatch != nil {
		s.onWatch(kind, time.Duration(ms)*time.Millisecond)
	}
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for last := false; ; {
		s.mu.Lock()
		if from < s.state.historyFrom || from > s.state.revision {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		found := make([]event, 0)
		for _, e := range s.state.events {
			if e.revision > from && e.kind == kind {
				found = append(found, e)
			}
		}
		revision, changed := s.state.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 || last {
			return http.StatusOK, map[string]any{"events": found, "storeRevision": revision}
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return 0, nil
		}
	}
}
