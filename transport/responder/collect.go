package responder

import (
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile/base/collector"
	"filbertstile.example/filbertstile/transport/acceptor"
)

const (
	// codeOverloaded is the error code of requests whose body finds no memory.
	codeOverloaded = "Overloaded"
	// noMemoryRetryAfter is the retry delay while the bodies of other requests use the memory, in
	// seconds.
	noMemoryRetryAfter = 1
	// maxKeptHeadCost is the largest memory of a head after which the connection stays open, as the
	// server keeps that memory with the connection.
	maxKeptHeadCost = 64 << 10
)

// collect returns a handler that reads the complete body of each request into the memory before
// it calls the handler h. The memory is held until h returns.
func collect(h fasthttp.RequestHandler, bodies *collector.Memory, maxBytes int) fasthttp.RequestHandler {
	return func(rc *fasthttp.RequestCtx) {
		conn, ok := rc.Conn().(*acceptor.Conn)
		if ok {
			conn.HeadRead()
			time.Sleep(conn.PipelineDelay())
		}
		cost := acceptor.HeadCost(len(rc.Request.Header.RawHeaders()), rc.Request.Header.Len())
		if cost > maxKeptHeadCost {
			rc.SetConnectionClose()
		}
		b := collector.Body{MaxBytes: int64(maxBytes), Limit: "the limit for a request", Length: int64(max(0, rc.Request.Header.ContentLength())), HeadBytes: cost}
		if stream := rc.RequestBodyStream(); stream != nil {
			b.Reader = stream
			if ok && rc.Request.Header.ContentLength() < 0 {
				body := conn.LimitFraming(io.NopCloser(stream))
				defer func() { _ = body.Close() }() // it ends its turn
				b.Reader = body
			}
			// It fails only if the connection has ended.
			b.GiveWay = func() { _ = rc.Conn().SetReadDeadline(time.Unix(1, 0)) }
		}
		body, done, err := bodies.Read(b)
		defer done()
		if err != nil {
			if ok {
				conn.Linger()
			}
			refuse(rc, err)
			return
		}
		if b.Reader != nil {
			rc.Request.SetBodyRaw(body)
		}
		h(rc)
	}
}

// refuse responds to a request whose body could not be read.
func refuse(rc *fasthttp.RequestCtx, err error) {
	rc.SetConnectionClose()
	var noMemory collector.ErrNoMemory
	if errors.As(err, &noMemory) || acceptor.ExceedsFraming(err) {
		rc.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(noMemoryRetryAfter))
		WriteProblem(rc, fasthttp.StatusServiceUnavailable, ProblemDetail{Code: codeOverloaded, Message: err.Error(), Run: "NotRun"})
		return
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return // the client has left
	}
	writeBadRequest(rc, err)
}
