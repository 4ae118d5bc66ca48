package overloader

import (
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"
)

// host is a host on the platform that is ready.
type host struct {
	process           *process
	messages, metrics string
}

// startHostWithin starts a host with a maximum number of descriptors unless that is empty.
func startHostWithin(t *testing.T, descriptors string) host {
	t.Helper()
	messages, metrics := freePort(t), freePort(t)
	h := host{messages: fmt.Sprintf("127.0.0.1:%d", messages), metrics: fmt.Sprintf("127.0.0.1:%d", metrics)}
	h.process = startWithin(t, descriptors, "filbertstile-host", fmt.Sprintf(`{
  "Identity": {"Name": "h1", "IP": "127.0.0.1", "Domain": "d1", "Region": "r1", "Port": %d},
  "ObjectAPI": %q, "Domains": [{"Name": "d1", "Region": "r1"}], %s,
  "Limits": {"MemoryMB": %d, "LinkMbps": 7.3}, "Listen": {"Metrics": %d}, "Engine": %q, "Service": "s",
}`, messages, startPlatform(t), bounds, hostMemoryMB, metrics, freeAddress(t)), "platform")
	if !answers(t, "http://"+h.metrics+"/metrics") {
		t.Fatal("the host is not ready")
	}
	return h
}

// TestHostOutlivesPeers guards against clients of any one kind that make a host run out of memory,
// descriptors or time on the address of other processes.
func TestHostOutlivesPeers(t *testing.T) {
	overloadByEach(t, func(t *testing.T) target {
		h := startHostWithin(t, "")
		return target{process: h.process, memoryMB: hostMemoryMB, address: h.messages, path: "/metrics", ordinary: "http://" + h.metrics + "/metrics"}
	})
}

// TestHostOutlivesClientsOfMetrics guards against the same on the address of the metrics.
func TestHostOutlivesClientsOfMetrics(t *testing.T) {
	overloadByEach(t, func(t *testing.T) target {
		h := startHostWithin(t, "")
		return target{process: h.process, memoryMB: hostMemoryMB, address: h.metrics, path: "/metrics", ordinary: "http://" + h.metrics + "/metrics"}
	})
}

// TestConnectionsLeaveDescriptorsOfHost guards against silent connections that take all descriptors
// of a host, so that it answers no others while they are open.
func TestConnectionsLeaveDescriptorsOfHost(t *testing.T) {
	for _, name := range []string{"Messages", "Metrics"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := startHostWithin(t, "300")
			address := map[string]string{"Messages": h.messages, "Metrics": h.metrics}[name]
			for range 400 {
				c, err := net.Dial("tcp", address)
				is.NoErr(err)
				defer func() { _ = c.Close() }()
			}
			is.True(answers(t, "http://"+h.metrics+"/metrics"))
			c, err := net.Dial("tcp", h.messages)
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			is.True(h.process.descriptors() < 300)
			is.True(h.process.lives())
		})
	}
}

// TestEntryOutlivesCallersAtStart guards against callers that come before a process is ready, in
// the first seconds after its start.
func TestEntryOutlivesCallersAtStart(t *testing.T) {
	e := startEntryAtOnce(t, "")
	overload(t, target{process: e.process, memoryMB: entryMemoryMB, address: e.callers, path: "/x", ordinary: "http://" + e.callers + "/x"}, kinds...)
}
