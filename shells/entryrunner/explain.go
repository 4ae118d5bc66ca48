package entryrunner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/decisions/evaluator"
	"filbertstile.example/filbertstile/shells/edgerunner"
	"filbertstile.example/filbertstile/transport/responder"
)

// handleExplain responds with where a request would go now.
func (e *Entry) handleExplain(rc *fasthttp.RequestCtx) {
	var req edgerunner.ExplainRequest
	d := json.NewDecoder(bytes.NewReader(rc.PostBody()))
	d.DisallowUnknownFields()
	if err := d.Decode(&req); err != nil {
		responder.WriteProblem(rc, fasthttp.StatusBadRequest, responder.ProblemDetail{Code: codeBadRequest, Message: "explain: " + err.Error()})
		return
	}
	responder.WriteJSON(rc, fasthttp.StatusOK, e.Explain(req))
}

// Explain returns where a request for a chat completion would go now, in the format of entries on the
// platform: HostName is the name of the service, and Key the caller's token. It sends and records nothing,
// and also works while the entry rejects requests.
func (e *Entry) Explain(r edgerunner.ExplainRequest) edgerunner.RequestExplanation {
	out := edgerunner.RequestExplanation{
		Entry: e.node.Self().Name, Ready: e.node.Relay.Trust() != evaluator.Stale && !e.node.Leaving(), Leaving: e.node.Leaving(), Route: r.Path, Service: r.HostName,
	}
	reject := func(code, detail string) edgerunner.RequestExplanation {
		out.Rejected, out.Detail, out.Short = code, detail, shortOf(code)
		return out
	}
	if r.Path != pathCompletions {
		return reject(codeBadRequest, fmt.Sprintf("only requests for %s are explained", pathCompletions))
	}
	account, ok := e.accounts.Load().byTokenDigest[string(filbertstile.DigestOf([]byte(r.Key)))]
	if !ok {
		return reject(codeNoToken, "no client account has this bearer token")
	}
	out.Account = account.Name
	if service, ok := e.node.Holder.View().Config.Services.Get(r.HostName); ok && service.Kind != filbertstile.ServiceModel {
		return reject(codeBadRequest, fmt.Sprintf("%q is a plain service", r.HostName))
	}
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = time.Duration(e.config.Settings.CallTimeout)
	}
	var x dispatcher.Explanation
	ran := e.loop.Inspect(func() {
		now := time.Now()
		x = e.core.Explain(now, dispatcher.Request{Account: account.Name, Service: r.HostName, Idempotent: true, Deadline: now.Add(timeout)})
	})
	if !ran {
		return reject(codeStopping, "the entry has stopped")
	}
	if x.Rejected.Code != "" {
		return reject(x.Rejected.Code, x.Rejected.Detail)
	}
	out.Priority, out.Placement, out.Short = x.Priority, x.Placement, x.Placement.Short
	return out
}

// shortOf returns what a request did not get that ends with the code and has not run.
func shortOf(code string) filbertstile.Resource {
	if code == codeStopping {
		return filbertstile.ResourceEntry
	}
	return dispatcher.ShortOf(code)
}
