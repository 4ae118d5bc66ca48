package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's object store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]object
	events   []event
	changed  chan struct{}
	address  string
}

// object is an object of the store.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    int64    `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// event is a change of an object.
type event struct {
	kind    string
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

func newStore() *store {
	s := &store{revision: 1, objects: make(map[string]object), changed: make(chan struct{})}
	s.address = serve(s)
	return s
}

// serve serves HTTP on a free port and returns the address.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// put writes an object without a condition.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, raw)
}

func (s *store) set(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := s.objects[kind+"/"+name]
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, spec
	if o.Metadata.Created == 0 {
		o.Metadata.Created = time.Now().UnixMilli()
	}
	s.objects[kind+"/"+name] = o
	s.events = append(s.events, event{kind: kind, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	q := r.URL.Query()
	if r.Method == http.MethodGet && q.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodGet && name == "":
		items := []object{}
		for key, o := range s.objects {
			if strings.HasPrefix(key, kind+"/") && o.Metadata.Name > q.Get("after") {
				items = append(items, o)
			}
		}
		slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
		reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "storeRevision": s.revision})
	case r.Method == http.MethodPost:
		if o, taken := s.objects[kind+"/"+in.Metadata.Name]; taken {
			reply(w, http.StatusConflict, o)
			return
		}
		reply(w, http.StatusOK, s.set(kind, in.Metadata.Name, in.Spec))
	case !exists:
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, current)
	case r.Method == http.MethodPut && in.Metadata.Revision > 0 && in.Metadata.Revision != current.Metadata.Revision:
		reply(w, http.StatusConflict, current)
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.set(kind, name, in.Spec))
	default:
		reply(w, http.StatusMethodNotAllowed, nil)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for done := false; ; {
		s.mu.Lock()
		out, revision, changed := []event{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > from {
				out = append(out, e)
			}
		}
		s.mu.Unlock()
		if len(out) > 0 || done {
			reply(w, http.StatusOK, map[string]any{"events": out, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}
