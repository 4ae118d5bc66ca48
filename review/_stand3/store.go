package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	kind, name        string
	revision, created int64
	spec, status      json.RawMessage
}

func (o object) body() map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": o.created, "finalizers": []string{}, "deleting": false},
		"spec":     o.spec, "status": o.status,
	}
}

// change is an event of a watch.
type change struct {
	object  object
	removed bool
}

// store is a stand-in of the platform's store, after PROTOCOL.md.
type store struct {
	mu       sync.Mutex
	objects  map[string]object
	revision int64
	history  []change
	// oldest is the revision from which the history is known.
	oldest  int64
	era     int64
	changed chan struct{}
	// refuse, if not nil, handles a call of the machine instead of the store and returns true.
	refuse func(machine string, w http.ResponseWriter, r *http.Request) bool
	calls  func(machine string, r *http.Request)
}

func newStore() *store {
	return &store{objects: map[string]object{}, revision: 100, oldest: 100, changed: make(chan struct{})}
}

// serve serves the machine at the address.
func (s *store) serve(machine, address string) {
	l, err := net.Listen("tcp", address)
	check(err)
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(machine, w, r) })}).Serve(l)
	}()
}

// put writes an object as the operator, or as a replica.
func (s *store) put(kind, name string, spec any) int64 {
	data, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, data).revision
}

// write stores an object. The caller holds s.mu.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	key := kind + "/" + name
	o, known := s.objects[key]
	if known && string(o.spec) == string(spec) {
		return o
	}
	s.revision++
	if !known {
		o = object{kind: kind, name: name, created: s.revision, status: json.RawMessage("null")}
	}
	o.spec, o.revision = spec, s.revision
	s.objects[key] = o
	s.record(change{object: o})
	return o
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.objects[kind+"/"+name]
	if !known {
		return
	}
	delete(s.objects, kind+"/"+name)
	s.revision++
	o.revision = s.revision
	s.record(change{object: o, removed: true})
}

// backup is a copy of the store's content.
type backup struct {
	objects  map[string]object
	revision int64
}

func (s *store) backup() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := backup{objects: map[string]object{}, revision: s.revision}
	for k, o := range s.objects {
		out.objects[k] = o
	}
	return out
}

// restore makes the store come back from the copy, in a new era.
func (s *store) restore(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = map[string]object{}
	for k, o := range b.objects {
		s.objects[k] = o
	}
	s.revision, s.oldest, s.history = b.revision, b.revision, nil
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, era int64, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) handle(machine string, w http.ResponseWriter, r *http.Request) {
	if s.calls != nil {
		s.calls(machine, r)
	}
	if s.refuse != nil && s.refuse(machine, w, r) {
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	data, _ := io.ReadAll(r.Body)
	q := r.URL.Query()
	if r.Method == http.MethodGet && q.Has("watch") {
		s.watch(machine, w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method {
	case http.MethodGet:
		if name != "" {
			if o, ok := s.objects[kind+"/"+name]; ok {
				s.answer(w, 200, s.era, o.body())
			} else {
				s.answer(w, 404, s.era, map[string]any{})
			}
			return
		}
		var names []string
		for _, o := range s.objects {
			if o.kind == kind && o.name > q.Get("after") {
				names = append(names, o.name)
			}
		}
		sort.Strings(names)
		items := []any{}
		for _, n := range names {
			items = append(items, s.objects[kind+"/"+n].body())
		}
		s.answer(w, 200, s.era, map[string]any{"items": items, "hasMore": false, "storeRevision": s.revision})
	case http.MethodPost, http.MethodPut:
		var in struct {
			Metadata struct {
				Name     string `json:"name"`
				Revision int64  `json:"revision"`
			} `json:"metadata"`
			Spec json.RawMessage `json:"spec"`
		}
		if json.Unmarshal(data, &in) != nil {
			s.answer(w, 400, s.era, map[string]any{})
			return
		}
		if name == "" {
			name = in.Metadata.Name
		}
		old, known := s.objects[kind+"/"+name]
		switch {
		case r.Method == http.MethodPost && known, r.Method == http.MethodPut && known && in.Metadata.Revision != 0 && in.Metadata.Revision != old.revision:
			s.answer(w, 409, s.era, old.body())
		case r.Method == http.MethodPut && !known:
			s.answer(w, 404, s.era, map[string]any{})
		default:
			s.answer(w, 200, s.era, s.write(kind, name, in.Spec).body())
		}
	case http.MethodDelete:
		s.answer(w, 200, s.era, map[string]any{})
	}
}

func (s *store) watch(machine string, w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for waited := false; ; {
		s.mu.Lock()
		if from < s.oldest || from > s.revision || s.era != era {
			s.answer(w, 410, s.era, map[string]any{})
			s.mu.Unlock()
			return
		}
		latest := map[string]change{}
		for _, c := range s.history {
			if c.object.kind == kind && c.object.revision > from {
				latest[c.object.name] = c
			}
		}
		if len(latest) > 0 || waited {
			var list []change
			for _, c := range latest {
				list = append(list, c)
			}
			sort.Slice(list, func(i, j int) bool { return list[i].object.revision < list[j].object.revision })
			events := []any{}
			for _, c := range list {
				events = append(events, map[string]any{"object": c.object.body(), "removed": c.removed})
			}
			s.answer(w, 200, s.era, map[string]any{"events": events, "storeRevision": s.revision})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func check(err error) {
	if err != nil {
		panic(cannotRun{fmt.Sprint(err)})
	}
}
