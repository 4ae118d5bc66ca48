package entryrunner

import (
	"bufio"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/transport/responder"
)

// Chunk is an event of a streamed completion, or an entire completion, in the OpenAI
// format.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// Choice is an alternative of a completion, in the OpenAI format.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a message of a completion, in the OpenAI format.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func writeCompletion(rc *fasthttp.RequestCtx, c *call, release string, pieces <-chan piece) {
	b := readBody(pieces)
	if b.err != nil {
		writeError(rc, *b.err, "")
		return
	}
	stop := "stop"
	responder.WriteJSON(rc, fasthttp.StatusOK, Chunk{
		ID: c.request.ID, Object: "chat.completion", Created: c.startedAt.Unix(), Model: release,
		Choices: []Choice{{Message: &Message{Role: "assistant", Content: string(b.body)}, FinishReason: &stop}},
	})
}

// streamEvents writes the response as server-sent events. The last one is [DONE] only if
// the response is complete, and an error event otherwise.
func streamEvents(rc *fasthttp.RequestCtx, c *call, release string, pieces <-chan piece) {
	rc.SetContentType("text/event-stream")
	rc.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	chunk := Chunk{ID: c.request.ID, Object: "chat.completion.chunk", Created: c.startedAt.Unix(), Model: release}
	rc.SetBodyStreamWriter(func(w *bufio.Writer) {
		// The call must not continue after the caller has closed the connection.
		defer c.cancelInFlight()
		for p := range pieces {
			if !writePiece(w, chunk, p) {
				return
			}
			// Flush only if no other piece is ready, so that ready pieces are sent together.
			if len(pieces) == 0 && w.Flush() != nil {
				return
			}
			if p.end || p.err != nil {
				return
			}
		}
	})
}

// cancelInFlight cancels the call if it has not ended.
func (c *call) cancelInFlight() {
	c.entry.loop.Post(dispatcher.CallerDisconnected{ID: c.request.ID})
	c.cancel()
}

// writePiece writes the events for a piece, and reports whether it succeeded.
func writePiece(w *bufio.Writer, chunk Chunk, p piece) bool {
	switch {
	case p.err != nil:
		data, err := json.Marshal(responder.Problem{Error: responder.ProblemDetail{Code: p.err.Code, Message: p.err.Detail, Run: string(p.err.Run)}})
		return err == nil && writeEvent(w, data)
	case p.end:
		stop := "stop"
		chunk.Choices = []Choice{{Delta: &Message{}, FinishReason: &stop}}
		data, err := json.Marshal(chunk)
		return err == nil && writeEvent(w, data) && writeEvent(w, []byte("[DONE]"))
	default:
		chunk.Choices = []Choice{{Delta: &Message{Content: string(p.data)}}}
		data, err := json.Marshal(chunk)
		return err == nil && writeEvent(w, data)
	}
}

// writeEvent writes one event, and reports whether it succeeded.
func writeEvent(w *bufio.Writer, data []byte) bool {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, err := w.WriteString("\n\n")
	return err == nil
}
