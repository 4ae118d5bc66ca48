package forwarder

import (
	"sync/atomic"

	"filbertstile.example/filbertstile/base/collector"
)

// usage counts what requests use. It is the memory for the long events of streams, which it takes from
// the buffers.
type usage struct {
	buffers *collector.Memory
	// admitted is the number of requests that have got a replica, and streams that of open streams.
	admitted atomic.Int64
	streams  atomic.Int64
	// longEventBytes is what long events of streams hold.
	longEventBytes atomic.Int64
}

// Reserve takes n more bytes of the buffers for a stream that holds some.
func (u *usage) Reserve(held, n int64) error {
	if err := u.buffers.Reserve(held, n); err != nil {
		return err
	}
	u.longEventBytes.Add(n)
	return nil
}

// Release returns n bytes to the buffers.
func (u *usage) Release(n int64) {
	u.buffers.Release(n)
	u.longEventBytes.Add(-n)
}

// Usage is what the requests of a forwarder use.
type Usage struct {
	// Admitted is the number of requests so far that have got a replica.
	Admitted int64
	// ResponseBytes is the memory of responses that are no streams, and StreamBytes that of streams:
	// their long events, and at most what each holds otherwise.
	ResponseBytes int64
	StreamBytes   int64
}

// Usage returns what the requests use now.
func (f *Forwarder) Usage() Usage {
	long := f.usage.longEventBytes.Load()
	return Usage{
		Admitted: f.usage.admitted.Load(), ResponseBytes: max(0, f.buffers.Used()-long),
		StreamBytes: long + f.usage.streams.Load()*(smallEventBytes+eventReadBytes),
	}
}
