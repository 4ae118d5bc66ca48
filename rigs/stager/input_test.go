package stager_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile/rigs/bubbler"
	"filbertstile.example/filbertstile/rigs/caller"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/rigs/shaper"
	"filbertstile.example/filbertstile/rigs/stager"
	"filbertstile.example/filbertstile/transport/responder"
)

// TestInvalidRequestsAreRejected sends every kind of invalid request. Each must get an error
// with its code, field and NotRun, and no backend server may run anything.
func TestInvalidRequestsAreRejected(t *testing.T) {
	d, err := stager.Load("../../examples/royalty-office/deployment.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	d.Entries = 1
	d.Services[0].Replicas = 1
	chat := "/v1/chat/completions"
	valid := `{"model": "filbert-models", "messages": [{"role": "user", "content": "x"}]}`
	cases := []struct {
		name, method, path, token, header, body string
		status                                  int
		code, field                             string
	}{
		{"no token", "POST", chat, "", "", valid, 401, "NoToken", "Authorization"},
		{"wrong token", "POST", chat, "nobody", "", valid, 401, "NoToken", "Authorization"},
		{"invalid JSON", "POST", chat, "claims", "", `{"model": `, 400, "BadJSON", "body"},
		{"wrong type of field", "POST", chat, "claims", "", `{"model": 3, "messages": [{}]}`, 400, "BadJSON", "model"},
		{"no model", "POST", chat, "claims", "", `{"messages": [{}]}`, 400, "BadJSON", "model"},
		{"no messages", "POST", chat, "claims", "", `{"model": "filbert-models"}`, 400, "BadJSON", "messages"},
		{"unknown model", "POST", chat, "claims", "", `{"model": "none", "messages": [{}]}`, 404, "UnknownService", ""},
		{"plain service as model", "POST", chat, "claims", "", `{"model": "royalty-ledger", "messages": [{}]}`, 400, "BadRequest", "model"},
		{"service not allowed", "POST", chat, "payouts", "", valid, 403, "ServiceNotAllowed", ""},
		{"wrong method", "GET", chat, "claims", "", "", 400, "BadRequest", "method"},
		{"unknown service", "POST", "/services/none/x", "claims", "", "{}", 404, "UnknownService", "path"},
		{"model as plain service", "POST", "/services/filbert-models/x", "claims", "", "{}", 400, "BadRequest", "path"},
		{"unknown path", "GET", "/else", "claims", "", "", 404, "NotFound", "path"},
		{"timeout not a number", "POST", chat, "claims", "X-Timeout-Seconds: NaN", valid, 400, "BadRequest", "X-Timeout-Seconds"},
		{"negative timeout", "POST", chat, "claims", "X-Timeout-Seconds: -1", valid, 400, "BadRequest", "X-Timeout-Seconds"},
		{"idempotency key too long", "POST", "/services/royalty-ledger/x", "payouts", "Idempotency-Key: " + strings.Repeat("k", 300), "{}", 400, "BadRequest", "Idempotency-Key"},
		{"body too large", "POST", chat, "claims", "", strings.Repeat("x", 2<<20), 413, "BadRequest", "request"},
		{"no replica serving", "POST", chat, "claims", "", valid, 503, "NoReplica", ""},
	}
	bubbler.Run(t, func(ctx context.Context, t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := stager.New(stager.Config{Deployment: d, Base: shaper.NewMemory(), Logger: log})
		defer s.Close()
		if err := s.Start(ctx); err != nil {
			t.Fatal(err)
		}
		if err := s.AwaitReady(ctx); err != nil {
			t.Fatal(err)
		}
		if err := s.Install(ctx); err != nil {
			t.Fatal(err)
		}
		client := s.HTTPClient(stager.CallerSite())
		for _, c := range cases {
			req, err := http.NewRequestWithContext(ctx, c.method, "http://"+s.Entries[0].Settings.HTTPAddress+c.path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+c.token)
			if name, value, ok := strings.Cut(c.header, ": "); ok {
				req.Header.Set(name, value)
			}
			resp, err := client.Do(req)
			if err != nil {
				t.Errorf("%s: %v", c.name, err)
				continue
			}
			var p responder.Problem
			err = json.NewDecoder(resp.Body).Decode(&p)
			_ = resp.Body.Close()
			if err != nil || resp.StatusCode != c.status || p.Error.Code != c.code || p.Error.Field != c.field || p.Error.Run != "NotRun" {
				t.Errorf("%s: status %d, %+v, %v", c.name, resp.StatusCode, p.Error, err)
			}
		}
		for _, h := range s.Hosts {
			if h.Plain != nil && len(h.Plain.Journal()) > 0 || h.Engine != nil && len(h.Engine.Journal()) > 0 {
				t.Errorf("%s ran a request", h.Settings.Identity.Name)
			}
		}
	})
}

// TestDisconnectedCallerFreesSlot disconnects a caller in the middle of a stream. The engine
// must abort the request and free its only slot for the next request.
func TestDisconnectedCallerFreesSlot(t *testing.T) {
	d, err := stager.Load("../../examples/royalty-office/deployment.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	d.Entries = 1
	d.Services[0].Replicas = 1
	d.Services[0].MaxRunning = 1
	bubbler.Run(t, func(ctx context.Context, t *testing.T) {
		is := is.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := stager.New(stager.Config{Deployment: d, Base: shaper.NewMemory(), Logger: log})
		defer s.Close()
		is.NoErr(s.Start(ctx))
		is.NoErr(s.AwaitReady(ctx))
		is.NoErr(s.Install(ctx))
		_, err := s.AddRelease(ctx, "filbert-models", imitator.ReleaseConfig{Name: "filbert-1", Seed: 1, ChunkBytes: 1024, Chunks: 4})
		is.NoErr(err)
		is.NoErr(s.AwaitRelease(ctx, "filbert-models", "filbert-1", 1))
		c := caller.New(caller.Config{Client: s.HTTPClient(stager.CallerSite()), FixedEntry: s.Entries[0].Settings.HTTPAddress, Token: "claims"})
		shortCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		r := c.Complete(shortCtx, "filbert-models", "long", 10_000, true)
		is.Equal(r.Whole, false)
		is.True(r.Text != "")
		r = c.Complete(ctx, "filbert-models", "next", 4, true)
		is.True(r.OK())
		journal := s.Hosts[0].Engine.Journal()
		is.Equal(journal[0].Finished, false)
		is.Equal(journal[1].Finished, true)
	})
}
