// Package imitator provides small stand-ins for the outside systems that the product
// depends on, for tests and the demo. Each stand-in serves the HTTP protocol of its
// system, records what actually happened, and can be made to fail.
package imitator

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/transport/responder"
)

// maxObjectBytes is the platform's maximum size of an object's value.
const maxObjectBytes = 1 << 20

// ObjectFaults are the faults that the object API simulates.
type ObjectFaults struct {
	// Down makes the object API close the connection of every call, without an effect
	// or a response.
	Down bool
	// Delay is added to the duration of every call.
	Delay time.Duration
	// DropResponses is the number of puts whose responses are dropped after the write
	// has taken effect.
	DropResponses int
	// LagRevisions is the number of newest revisions that are hidden from reads and
	// watches.
	LagRevisions uint64
}

// ObjectAPI is a stand-in for the platform's object API.
type ObjectAPI struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]filbertstile.Object
	// changed is closed and replaced to wake waiting watches.
	changed chan struct{}
	faults  ObjectFaults
	reads   int64
	writes  int64
	watches int64
}

// NewObjectAPI returns an empty object API.
func NewObjectAPI() *ObjectAPI {
	return &ObjectAPI{objects: make(map[string]filbertstile.Object), changed: make(chan struct{})}
}

// SetFaults replaces the simulated faults.
func (o *ObjectAPI) SetFaults(f ObjectFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
	o.notifyWatches()
}

// ObjectCalls holds the numbers of calls to an object API.
type ObjectCalls struct {
	Reads   int64
	Writes  int64
	Watches int64
}

// Calls returns the numbers of calls so far.
func (o *ObjectAPI) Calls() ObjectCalls {
	o.mu.Lock()
	defer o.mu.Unlock()
	return ObjectCalls{Reads: o.reads, Writes: o.writes, Watches: o.watches}
}

func (o *ObjectAPI) notifyWatches() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// Serve serves requests until the context ends.
func (o *ObjectAPI) Serve(ctx context.Context, l net.Listener) error {
	// The server stops only after all calls have ended, so watches must end with ctx.
	handler := func(rc *fasthttp.RequestCtx) { o.handle(ctx, rc) }
	return responder.Serve(ctx, l, responder.Config{Name: "objects", Handler: handler, MaxBodyBytes: maxObjectBytes})
}

func (o *ObjectAPI) handle(ctx context.Context, rc *fasthttp.RequestCtx) {
	o.mu.Lock()
	f := o.faults
	o.mu.Unlock()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if f.Down {
		dropResponse(rc)
		return
	}
	path := string(rc.Path())
	key, _ := url.PathUnescape(strings.TrimPrefix(path, "/objects/"))
	switch {
	case path == "/watch":
		o.watch(ctx, rc)
	case path == "/objects":
		o.list(rc)
	case rc.IsGet():
		o.get(rc, key)
	case rc.IsPut():
		o.put(rc, key)
	case rc.IsDelete():
		o.remove(rc, key)
	default:
		rc.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
}

// dropResponse closes the connection without a response.
func dropResponse(rc *fasthttp.RequestCtx) {
	rc.HijackSetNoResponse(true)
	rc.Hijack(func(net.Conn) {})
}

func (o *ObjectAPI) get(rc *fasthttp.RequestCtx, key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads++
	obj, ok := o.objects[key]
	if !ok || !o.visible(obj) {
		rc.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	responder.WriteJSON(rc, fasthttp.StatusOK, obj)
}

// visible reports whether the object is not hidden by LagRevisions.
func (o *ObjectAPI) visible(obj filbertstile.Object) bool {
	return obj.Version+o.faults.LagRevisions <= o.revision
}

func (o *ObjectAPI) list(rc *fasthttp.RequestCtx) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reads++
	prefix := string(rc.QueryArgs().Peek("prefix"))
	after := string(rc.QueryArgs().Peek("after"))
	b := filbertstile.Batch{Revision: o.revision - min(o.faults.LagRevisions, o.revision)}
	for _, obj := range o.objects {
		if strings.HasPrefix(obj.Key, prefix) && obj.Key > after && o.visible(obj) {
			b.Objects = append(b.Objects, obj)
		}
	}
	slices.SortFunc(b.Objects, func(a, b filbertstile.Object) int { return strings.Compare(a.Key, b.Key) })
	responder.WriteJSON(rc, fasthttp.StatusOK, b)
}

func (o *ObjectAPI) watch(ctx context.Context, rc *fasthttp.RequestCtx) {
	args := rc.QueryArgs()
	prefix := string(args.Peek("prefix"))
	after, _ := strconv.ParseUint(string(args.Peek("after")), 10, 64)
	wait, _ := time.ParseDuration(string(args.Peek("wait")))
	expired := time.NewTimer(wait)
	defer expired.Stop()
	o.mu.Lock()
	o.watches++
	o.mu.Unlock()
	for {
		o.mu.Lock()
		b := o.changesSince(prefix, after)
		changed := o.changed
		down := o.faults.Down
		o.mu.Unlock()
		if down {
			dropResponse(rc)
			return
		}
		if len(b.Objects) > 0 {
			responder.WriteJSON(rc, fasthttp.StatusOK, b)
			return
		}
		select {
		case <-changed:
		case <-expired.C:
			responder.WriteJSON(rc, fasthttp.StatusOK, b)
			return
		case <-ctx.Done():
			dropResponse(rc)
			return
		}
	}
}

// changesSince returns the objects under the prefix that were written after the revision,
// in the order of the writes.
func (o *ObjectAPI) changesSince(prefix string, after uint64) filbertstile.Batch {
	b := filbertstile.Batch{Revision: max(after, o.revision-min(o.faults.LagRevisions, o.revision))}
	for _, obj := range o.objects {
		if strings.HasPrefix(obj.Key, prefix) && obj.Version > after && o.visible(obj) {
			b.Objects = append(b.Objects, obj)
		}
	}
	slices.SortFunc(b.Objects, func(a, b filbertstile.Object) int { return int(a.Version) - int(b.Version) })
	return b
}

// conflictBody is the body of the response to a conditional update whose condition does
// not hold.
type conflictBody struct {
	// Version is the object's version.
	Version uint64
}

func (o *ObjectAPI) put(rc *fasthttp.RequestCtx, key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writes++
	want, err := strconv.ParseUint(string(rc.QueryArgs().Peek("version")), 10, 64)
	if err != nil {
		rc.Error("version: not a number", fasthttp.StatusBadRequest)
		return
	}
	have := o.objects[key].Version
	if have != want {
		responder.WriteJSON(rc, fasthttp.StatusConflict, conflictBody{Version: have})
		return
	}
	o.revision++
	obj := filbertstile.Object{Key: key, Version: o.revision, Value: append([]byte(nil), rc.PostBody()...)}
	o.objects[key] = obj
	o.notifyWatches()
	if o.faults.DropResponses > 0 {
		o.faults.DropResponses--
		dropResponse(rc)
		return
	}
	responder.WriteJSON(rc, fasthttp.StatusOK, filbertstile.Object{Key: key, Version: obj.Version})
}

func (o *ObjectAPI) remove(rc *fasthttp.RequestCtx, key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writes++
	want, _ := strconv.ParseUint(string(rc.QueryArgs().Peek("version")), 10, 64)
	obj, ok := o.objects[key]
	if !ok {
		rc.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if obj.Version != want {
		responder.WriteJSON(rc, fasthttp.StatusConflict, conflictBody{Version: obj.Version})
		return
	}
	o.revision++
	delete(o.objects, key)
	rc.SetStatusCode(fasthttp.StatusOK)
}

// HostList is a stand-in for the platform's list of processes, which lags behind the
// actual state.
type HostList struct {
	mu      sync.Mutex
	members filbertstile.Table[filbertstile.Member]
	// shown is the list that readers see.
	shown filbertstile.Table[filbertstile.Member]
	lag   time.Duration
}

// NewHostList returns an empty list whose readers see a change within the lag.
func NewHostList(lag time.Duration) *HostList { return &HostList{lag: lag} }

// Remove removes a process from the list, as the platform does with dead hosts.
func (h *HostList) Remove(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.members = h.members.Without(name)
}

// Serve serves requests until the context ends.
func (h *HostList) Serve(ctx context.Context, l net.Listener) error {
	go h.updateShown(ctx)
	return responder.Serve(ctx, l, responder.Config{Name: "hosts", Handler: h.handle})
}

// updateShown periodically shows the current list to readers.
func (h *HostList) updateShown(ctx context.Context) {
	t := time.NewTicker(max(h.lag, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.mu.Lock()
			h.shown = h.members
			h.mu.Unlock()
		}
	}
}

// get responds with the list, or with status 304 if the reader already has it.
func (h *HostList) get(rc *fasthttp.RequestCtx) {
	data, err := json.Marshal(h.shown)
	if err != nil {
		rc.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	etag := `"` + string(filbertstile.DigestOf(data)[:16]) + `"`
	if string(rc.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == etag {
		rc.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	rc.Response.Header.Set(fasthttp.HeaderETag, etag)
	rc.SetContentType("application/json")
	rc.SetBody(data)
}

func (h *HostList) handle(rc *fasthttp.RequestCtx) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rc.IsGet() {
		h.get(rc)
		return
	}
	var m filbertstile.Member
	if err := json.Unmarshal(rc.PostBody(), &m); err != nil {
		rc.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	h.members = h.members.With(m)
	rc.SetStatusCode(fasthttp.StatusOK)
}
