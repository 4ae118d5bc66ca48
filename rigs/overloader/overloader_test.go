package overloader

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// entryMemoryMB is the memory of entries, and hostMemoryMB that of hosts, as deployments have
	// had them. They bound the peak memory.
	entryMemoryMB = 136
	hostMemoryMB  = 152
	// otherDescriptors is how many descriptors a process may have beside those of the crowd.
	otherDescriptors = 100
	// answerPatience is how long an ordinary client that is refused tries again.
	answerPatience = 10 * time.Second
	sampleInterval = 50 * time.Millisecond
)

// target is an address of a process.
type target struct {
	process  *process
	memoryMB int
	// address is where the crowd connects, and path what it asks for.
	address, path string
	// ordinary is the URL of an ordinary request; answers is false if it needs none.
	ordinary string
}

// overload runs a crowd against the target and checks that the process lives, its memory, its
// descriptors, and that it answers an ordinary request afterwards.
func overload(t *testing.T, at target, kinds ...kind) {
	t.Helper()
	is := is.New(t)
	head := at.path + " HTTP/1.1\r\nHost: a.example\r\n"
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		crowd(ctx, crowdSize, at.address, "POST "+head, "GET "+head, kinds...)
	}()
	descriptors := 0
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(sampleInterval):
			descriptors = max(descriptors, at.process.descriptors())
		}
	}
	answered := answers(t, at.ordinary)
	peak, lives := at.process.peakMiB(), at.process.lives()
	t.Logf("peak %d of %d MiB, %d descriptors", peak, at.memoryMB, descriptors)
	is.True(lives)
	is.True(peak < at.memoryMB)
	is.True(descriptors < crowdSize+otherDescriptors)
	is.True(answered)
}

// answers reports whether an ordinary request gets a complete response with status 200. It is
// tried again if it is refused.
func answers(t *testing.T, url string) bool {
	t.Helper()
	client := &http.Client{Timeout: answerPatience, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(answerPatience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "a.example"
		resp, err := client.Do(r)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// overloadByEach runs every kind alone and all together, each against a process of its own.
func overloadByEach(t *testing.T, newTarget func(t *testing.T) target) {
	t.Helper()
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) { overload(t, newTarget(t), k) })
	}
	t.Run("AllAtOnce", func(t *testing.T) { overload(t, newTarget(t), kinds...) })
}

const bounds = `"Bounds": {"Settle": "3s", "Stop": "2s", "Revoke": "5s", "Version": "8s", "RepeatRatio": 0.2, "RepeatSlack": 100, "Window": "10s", "ColdBurst": 1.5, "ColdSlack": 5}`

// entry is an entry on the platform that is ready.
type entry struct {
	process                            *process
	callers, ready, directory, metrics string
}

func startEntry(t *testing.T) entry {
	t.Helper()
	return startEntryWithin(t, "")
}

// startEntryWithin is like startEntry, with a maximum number of descriptors.
func startEntryWithin(t *testing.T, descriptors string) entry {
	t.Helper()
	e := startEntryAtOnce(t, descriptors)
	if !answers(t, "http://"+e.ready+"/api/ready") || !answers(t, "http://"+e.callers+"/x") {
		t.Fatal("the entry is not ready")
	}
	return e
}

// startEntryAtOnce is like startEntryWithin, but does not wait until the entry is ready.
func startEntryAtOnce(t *testing.T, descriptors string) entry {
	t.Helper()
	metrics := freePort(t)
	e := entry{callers: freeAddress(t), ready: freeAddress(t), directory: freeAddress(t), metrics: fmt.Sprintf("127.0.0.1:%d", metrics)}
	e.process = startWithin(t, descriptors, "filbertstile-entry", fmt.Sprintf(`{
  "Identity": {"Name": "e1", "IP": "127.0.0.1", "Domain": "d1", "Region": "r1", "Port": %d},
  "ObjectAPI": %q, "Domains": [{"Name": "d1", "Region": "r1"}], %s,
  "Limits": {"MemoryMB": %d, "LinkMbps": 1000},
  "Listen": {"Callers": %q, "Ready": %q, "Directory": %q, "Metrics": %d},
}`, freePort(t), startPlatform(t), bounds, entryMemoryMB, e.callers, e.ready, e.directory, metrics), "platform")
	return e
}

// TestEntryOutlivesCallers guards against callers that make an entry run out of memory, descriptors
// or time as they send heads, bodies or requests without end, or read no responses.
func TestEntryOutlivesCallers(t *testing.T) {
	overloadByEach(t, func(t *testing.T) target {
		e := startEntry(t)
		return target{process: e.process, memoryMB: entryMemoryMB, address: e.callers, path: "/x", ordinary: "http://" + e.callers + "/x"}
	})
}

// TestEntryOutlivesClientsOfDirectory guards against the same on the address of the directory.
func TestEntryOutlivesClientsOfDirectory(t *testing.T) {
	const path = "/api/resolve?name=a.example"
	overloadByEach(t, func(t *testing.T) target {
		e := startEntry(t)
		return target{process: e.process, memoryMB: entryMemoryMB, address: e.directory, path: path, ordinary: "http://" + e.directory + path}
	})
}

// TestEntryOutlivesClientsOfReadiness guards against the same on the address of the readiness check,
// which is served like the directory.
func TestEntryOutlivesClientsOfReadiness(t *testing.T) {
	e := startEntry(t)
	overload(t, target{process: e.process, memoryMB: entryMemoryMB, address: e.ready, path: "/api/ready", ordinary: "http://" + e.ready + "/api/ready"}, kinds...)
}

// TestEntryOutlivesClientsOfMetrics guards against the same on the address of the metrics.
func TestEntryOutlivesClientsOfMetrics(t *testing.T) {
	overloadByEach(t, func(t *testing.T) target {
		e := startEntry(t)
		return target{process: e.process, memoryMB: entryMemoryMB, address: e.metrics, path: "/metrics", ordinary: "http://" + e.metrics + "/metrics"}
	})
}

// TestConnectionsLeaveDescriptors guards against silent connections that take all descriptors of an
// entry, so that it accepts no others and reaches no replica while they are open.
func TestConnectionsLeaveDescriptors(t *testing.T) {
	is := is.New(t)
	e := startEntryWithin(t, "300")
	for range 300 {
		c, err := net.Dial("tcp", e.callers)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
	}
	is.True(answers(t, "http://"+e.callers+"/x"))
	is.True(answers(t, "http://"+e.ready+"/api/ready"))
	is.True(e.process.lives())
}

// startStandins starts the outside systems of a deployment that is not on the platform, and returns
// the settings that name them.
func startStandins(t *testing.T) (settings, backend string) {
	t.Helper()
	objects, list, backend := freeAddress(t), freeAddress(t), freeAddress(t)
	start(t, "filbertstile-standin", fmt.Sprintf(`{"ObjectAPI": %q, "HostList": %q, "ListLag": "200ms", "Weights": %q,
  "Backends": [{"Name": "royalty-ledger-1", "Kind": "Plain", "Address": %q, "Delay": "10ms"}]}`, objects, list, freeAddress(t), backend), "serve")
	return fmt.Sprintf(`"Platform": {"ObjectAPI": %q, "HostList": %q}`, objects, list), backend
}

// startOwnEntry starts an entry that is not on the platform.
func startOwnEntry(t *testing.T) (p *process, callers, admin string) {
	t.Helper()
	settings, _ := startStandins(t)
	callers, admin = freeAddress(t), freeAddress(t)
	p = start(t, "filbertstile-entry", fmt.Sprintf(`{
  "Identity": {"Name": "entry-1", "Region": "izmir", "Domain": "izmir-a", "Address": %q}, %s, "MemoryMB": %d,
  "HTTPAddress": %q, "AdminAddress": %q, "MaxBodyBytes": %d, "EntriesValid": "2s",
  "Operators": [{"Name": "operator", "TokenDigest": "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e"}],
}`, freeAddress(t), settings, entryMemoryMB, callers, admin, bodyBytes), "run")
	if !answers(t, "http://"+callers+"/v1/entries") {
		t.Fatal("the entry is not ready")
	}
	return p, callers, admin
}

// TestOwnEntryOutlivesCallers guards against the same on the product's own interface.
func TestOwnEntryOutlivesCallers(t *testing.T) {
	overloadByEach(t, func(t *testing.T) target {
		p, callers, _ := startOwnEntry(t)
		return target{process: p, memoryMB: entryMemoryMB, address: callers, path: "/v1/entries", ordinary: "http://" + callers + "/v1/entries"}
	})
}

// TestOwnEntryOutlivesClientsOfAdministration guards against the same on the administration
// address, whose metrics need no token.
func TestOwnEntryOutlivesClientsOfAdministration(t *testing.T) {
	p, _, admin := startOwnEntry(t)
	overload(t, target{process: p, memoryMB: entryMemoryMB, address: admin, path: "/metrics", ordinary: "http://" + admin + "/metrics"}, kinds...)
}

// TestHostsOutliveClients guards against the same on the addresses on which hosts listen: those of
// metrics, and those of other processes.
func TestHostsOutliveClients(t *testing.T) {
	for _, name := range []string{"PlatformMetrics", "PlatformMessages", "OwnAdministration", "OwnMessages"} {
		t.Run(name, func(t *testing.T) {
			metrics, messages := freePort(t), freePort(t)
			at := target{memoryMB: hostMemoryMB, address: fmt.Sprintf("127.0.0.1:%d", metrics), path: "/metrics", ordinary: fmt.Sprintf("http://127.0.0.1:%d/metrics", metrics)}
			if strings.HasPrefix(name, "Platform") {
				at.process = start(t, "filbertstile-host", fmt.Sprintf(`{
  "Identity": {"Name": "h1", "IP": "127.0.0.1", "Domain": "d1", "Region": "r1", "Port": %d},
  "ObjectAPI": %q, "Domains": [{"Name": "d1", "Region": "r1"}], %s,
  "Limits": {"MemoryMB": %d, "LinkMbps": 7.3}, "Listen": {"Metrics": %d}, "Engine": %q, "Service": "s",
}`, messages, startPlatform(t), bounds, hostMemoryMB, metrics, freeAddress(t)), "platform")
			} else {
				settings, backend := startStandins(t)
				at.process = start(t, "filbertstile-host", fmt.Sprintf(`{
  "Identity": {"Name": "royalty-ledger-1", "Region": "izmir", "Domain": "izmir-a", "Address": "127.0.0.1:%d"}, %s,
  "AdminAddress": "127.0.0.1:%d", "Service": "royalty-ledger", "Kind": "Plain", "Backend": %q, "MaxRunning": 16,
}`, messages, settings, metrics, backend), "run")
			}
			if strings.HasSuffix(name, "Messages") {
				at.address = fmt.Sprintf("127.0.0.1:%d", messages)
			}
			if !answers(t, at.ordinary) {
				t.Fatal("the host is not ready")
			}
			overload(t, at, kinds...)
		})
	}
}
