package forwarder

import (
	"sync"
	"time"
)

const (
	// slowDelivery is the time after which a caller that has not received a response, or an event,
	// may lose its connection for the sake of others.
	slowDelivery = time.Second
	// cutTimeout is the maximum time until a response that was cut frees its memory, and
	// reclaimInterval the time between two looks whether memory has been freed.
	cutTimeout      = 200 * time.Millisecond
	reclaimInterval = 50 * time.Millisecond
)

// cutter is a ResponseWriter whose connection can be reset while it writes a response.
type cutter interface{ Cut() }

// delivery is the delivery of a response, or an event, that holds memory of the buffers.
type delivery struct {
	writer cutter
	since  time.Time
	cut    bool
}

// deliveries are the deliveries in progress. If the memory of the buffers is used up, the callers that
// read slowest lose their connections, so that the responses to others can be read.
type deliveries struct {
	mu     sync.Mutex
	active map[*delivery]struct{}
	// changed is closed and replaced when memory has been freed.
	changed chan struct{}
	// stopped is closed when all requests must end.
	stopped <-chan struct{}
}

func newDeliveries(stopped <-chan struct{}) *deliveries {
	return &deliveries{active: make(map[*delivery]struct{}), changed: make(chan struct{}), stopped: stopped}
}

// begin records a delivery until the function returned is called.
func (d *deliveries) begin(w ResponseWriter) (end func()) {
	c, ok := w.(cutter)
	if !ok {
		return func() {}
	}
	x := &delivery{writer: c, since: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active[x] = struct{}{}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.active, x)
	}
}

// memoryFreed tells those that wait for memory that some has been freed.
func (d *deliveries) memoryFreed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.changed)
	d.changed = make(chan struct{})
}

// reclaim waits until memory may have been freed or, if the oldest delivery is slow, ends that. It
// returns false if there is no delivery, or if the forwarder stops.
func (d *deliveries) reclaim() bool {
	d.mu.Lock()
	oldest, changed := d.oldest(), d.changed
	d.mu.Unlock()
	if oldest == nil {
		return false
	}
	if wait := time.Until(oldest.since.Add(slowDelivery)); wait > 0 {
		return d.await(changed, min(wait, reclaimInterval))
	}
	d.mu.Lock()
	if _, active := d.active[oldest]; active && !oldest.cut {
		oldest.cut = true
		oldest.writer.Cut()
	}
	d.mu.Unlock()
	return d.await(changed, cutTimeout)
}

// oldest returns the oldest delivery that has not been cut; nil if there is none. The caller holds d.mu.
func (d *deliveries) oldest() *delivery {
	var out *delivery
	for x := range d.active {
		if !x.cut && (out == nil || x.since.Before(out.since)) {
			out = x
		}
	}
	return out
}

// await waits until the channel is closed or the timeout has passed. It returns false if the forwarder
// stops.
func (d *deliveries) await(changed <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-d.stopped:
		return false
	}
	return true
}
