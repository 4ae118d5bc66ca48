package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// streamClients is the number of clients, each of which reads one stream after the other on a
// connection that it keeps.
const streamClients = 20

// streamOutcomes are the outcomes of streams at the clients.
type streamOutcomes struct {
	mu              sync.Mutex
	complete, other int
	// lost are the streams that were passed on to a replica and ended early.
	lost []string
	// statuses counts the statuses of other answers.
	statuses map[string]int
}

// readStreams sends requests on one connection until stop is closed.
func readStreams(r *record, address, name, path string, stop <-chan struct{}, out *streamOutcomes) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-stop:
			if conn != nil {
				_ = conn.Close()
			}
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", address, time.Second); err != nil {
				conn = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("%s-%d", name, n)
		r.notef("client: sends request %s", id)
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Model: %s\r\nX-Token-Usage: 800,200\r\nX-Deadline-Ms: 6000\r\nContent-Length: 6\r\n\r\nprompt", path, modelHost, id, modelName)
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(reader, nil)
		}
		var body []byte
		if err == nil {
			body, err = io.ReadAll(resp.Body)
		}
		events := strings.Count(string(body), "\n\n")
		out.mu.Lock()
		switch {
		case err == nil && resp.StatusCode == http.StatusOK:
			r.notef("client: request %s gets %s and %d of %d events", id, resp.Status, events, longEvents)
			out.complete++
		case err == nil:
			r.notef("client: request %s gets %s", id, resp.Status)
			out.other++
			out.statuses[resp.Status]++
		default:
			text := fmt.Sprintf("client: request %s on a kept connection got %d of %d events, and then the connection ended (%v)", id, events, longEvents, err)
			r.printf("%s", text)
			if events > 0 {
				out.lost = append(out.lost, id)
			}
		}
		out.mu.Unlock()
		if err != nil {
			_ = conn.Close()
			conn = nil
		}
		if err != nil || resp.StatusCode != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// runStreams shows with which strategy a host orders the load of new weights, after a manifest
// has added a route whose streams must not be resumed.
func runStreams(r *record, trouble string) bool {
	s := newStore()
	originAddress := serve(origin())
	before, after := modelConfig(originAddress), modelConfig(originAddress)
	after["version"] = 2
	after["routes"] = append(after["routes"].([]any), map[string]any{
		"name": "r-2", "host": modelHost, "pathPrefix": "/claims/", "routeKind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 400, "priority": 1,
		"service": modelService, "maxAttempts": 1, "public": true, "affinity": true, "resumable": false, "gapAimMs": 400,
	})
	if trouble == "0" {
		before = after
	}
	s.put("config", "main", before)
	var engines []*engine
	for i := range 2 {
		e := newEngine(fmt.Sprintf("i-%d", i+1), r)
		s.put("servers", e.id, e.entry(modelService))
		engines = append(engines, e)
	}
	_, addresses := newEntry("front-izmir-a-1", s.address, 284)
	for i, e := range engines {
		newHost(fmt.Sprintf("side-izmir-a-%d", i+1), s.address, e.address, modelService)
	}
	if !awaitReady(addresses.ready, 20*time.Second) {
		must(errors.New("the entry isn't ready"))
	}
	time.Sleep(5 * time.Second)
	if trouble != "0" {
		r.printf("the operator sends version 2 of the manifest, which adds a route for streams that can't be resumed")
		s.put("config", "main", after)
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	out := &streamOutcomes{statuses: make(map[string]int)}
	var clients sync.WaitGroup
	for i := range streamClients {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 400 * time.Millisecond)
			readStreams(r, addresses.callers, fmt.Sprintf("claim-%d", i), "/claims/"+longSuffix, stop, out)
		})
	}
	time.Sleep(4 * time.Second)
	r.printf("the operator names version 2 of %s", modelName)
	s.put("versions", modelName, map[string]any{"model": modelName, "version": 2})
	for range 32 {
		time.Sleep(500 * time.Millisecond)
		for _, e := range engines {
			s.put("servers", e.id, e.entry(modelService))
		}
	}
	close(stop)
	clients.Wait()
	for _, e := range engines {
		e.mu.Lock()
		version := e.version
		e.mu.Unlock()
		if version != 2 {
			must(fmt.Errorf("server %s runs version %d", e.id, version))
		}
	}
	r.printf("clients: %d streams were complete, %d requests got another answer %v, %d streams were passed on and ended early: %v", out.complete, out.other, out.statuses, len(out.lost), out.lost)
	return len(out.lost) > 3
}
