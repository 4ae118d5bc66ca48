package hostrunner

import (
	"context"
	"net"

	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile/base/collector"
	"filbertstile.example/filbertstile/transport/responder"
)

const (
	// maxAdminConns is the maximum number of connections to the address of metrics and dumps.
	maxAdminConns = 256
	// adminMemoryBytes is the memory for the heads of the requests to it, and for their bodies, of
	// which it needs none.
	adminMemoryBytes  = 4 << 20
	maxAdminBodyBytes = 64 << 10
)

// serveAdmin serves metrics and dumps until the context ends.
func (h *Host) serveAdmin(ctx context.Context, l net.Listener) {
	_ = responder.Serve(ctx, l, responder.Config{
		Name: "filbertstile-host", Handler: h.handleHTTP, MaxBodyBytes: maxAdminBodyBytes, MaxConns: maxAdminConns,
		Bodies: collector.New(collector.Config{Name: "requests of operators", LimitBytes: adminMemoryBytes}), HeadBytes: adminMemoryBytes,
	})
}

func (h *Host) handleHTTP(rc *fasthttp.RequestCtx) {
	if !h.node.HandleHTTP(rc) {
		responder.WriteProblem(rc, fasthttp.StatusNotFound, responder.ProblemDetail{Code: "NotFound", Message: "try /metrics or /dump"})
	}
}
