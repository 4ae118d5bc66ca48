package estimator

import (
	"time"

	"filbertstile.example/filbertstile"
)

const (
	// workWeight is the weight of the latest request in the averages of the work of a service.
	workWeight = 1.0 / 128
	// minWorkRequests is the number of requests from which the averages count.
	minWorkRequests = 32
)

// Work is the average work of the requests of a service. The zero value knows of none.
type Work struct {
	requests       int
	prompt, output float64
}

// Learn records the lengths of the prompt and of the output of a request that has ended.
func (w *Work) Learn(promptTokens, outputTokens int) {
	w.requests++
	weight := max(workWeight, 1/float64(w.requests))
	w.prompt += (validTokens(promptTokens) - w.prompt) * weight
	w.output += (validTokens(outputTokens) - w.output) * weight
}

// LaterPrompts returns the time that an engine takes, on average, to read the prompts of requests
// that arrive while another one waits for its first event, for each request in flight, and
// whether it is known: as many arrive in the time of a response as are in flight.
func (w *Work) LaterPrompts(e *filbertstile.EngineSpec) (time.Duration, bool) {
	if w == nil || w.requests < minWorkRequests {
		return 0, false
	}
	read := e.PrefillTime(int(w.prompt)).Seconds()
	interval := e.EventInterval(1).Seconds()
	wait := 1.5*interval + read
	response := wait + w.output/float64(max(1, e.StepsPerEvent))*interval
	if response <= 0 {
		return 0, false
	}
	return filbertstile.DurationOf(read*wait/response, time.Second), true
}
