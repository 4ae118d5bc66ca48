package forwarder_test

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// drawReplica draws a replica that may be silent, reject, fail or break off.
func drawReplica(t *rapid.T, name string) pacedReplica {
	delay := rapid.SampledFrom([]time.Duration{0, 0, time.Millisecond, 400 * time.Millisecond, 1110 * time.Millisecond, 1210 * time.Millisecond, 1560 * time.Millisecond, 2 * time.Second, forever})
	return pacedReplica{
		failure:      rapid.SampledFrom([]step{{}, {}, {}, {}, notSent, notRun, wrongReplica, failed, invalid, connectionLost}).Draw(t, name+" failure"),
		headAfter:    delay.Draw(t, name+" head after"),
		silence:      delay.Draw(t, name+" silence"),
		silentBefore: rapid.Int64Range(1, lastEvent).Draw(t, name+" silent before"),
		breaksAt:     rapid.SampledFrom([]int64{0, 0, 0, 1, 3, lastEvent}).Draw(t, name+" breaks at"),
	}
}

// mayHaveRun returns how many of the requests that reached replicas may have run.
func (l *pacedLink) mayHaveRun() int {
	n := 0
	for _, id := range l.sent {
		if v := l.replicas[id].failure.verdict; v != forwarder.NotRun && v != forwarder.WrongReplica {
			n++
		}
	}
	return n
}

// TestPromisesWithSilentReplicas guards against lost, doubled or joined events, runs beyond the
// limit, and wrong reports that a request has not run, when replicas are silent at any time.
func TestPromisesWithSilentReplicas(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := paced{
			kind:       rapid.SampledFrom([]filbertstile.CallKind{filbertstile.CallStream, filbertstile.CallIdempotent, filbertstile.CallNonIdempotent}).Draw(rt, "kind"),
			replicas:   map[string]pacedReplica{"first": drawReplica(rt, "first")},
			leaveAfter: rapid.SampledFrom([]time.Duration{0, 0, 0, 1300 * time.Millisecond, 2500 * time.Millisecond}).Draw(rt, "leave after"),
		}
		for _, id := range []string{"b", "c"} {
			if rapid.Bool().Draw(rt, id) {
				q.replicas[id] = drawReplica(rt, id)
			}
		}
		c, l, took := q.serve(t)
		limit := 2
		if q.kind == filbertstile.CallNonIdempotent {
			limit = 1
		}
		if n := l.mayHaveRun(); n > limit {
			rt.Errorf("may have run %d times, at %v", n, l.sent)
		}
		if c.failedWith(filbertstile.NotRun) && l.mayHaveRun() > 0 {
			rt.Errorf("reported as not run, but may have run at %v", l.sent)
		}
		whole := events(1, lastEvent, nil).body
		if got := c.body.String(); q.kind == filbertstile.CallStream && got != "error" && !strings.HasPrefix(whole, got) {
			rt.Errorf("the caller got %q", got)
		}
		if q.kind == filbertstile.CallStream && c.status == 200 && !c.aborted && c.body.String() != whole {
			rt.Errorf("a part of the stream looks complete: %q", c.body.String())
		}
		if c.aborted == (c.failure != nil) && c.aborted {
			rt.Error("both an error and a broken connection")
		}
		if c.status == 0 && c.failure == nil && !c.aborted {
			rt.Error("neither an answer nor an error")
		}
		if took > 6*time.Second+time.Millisecond {
			rt.Errorf("took %s, beyond the deadline", took)
		}
		first, otherBreaks := q.replicas["first"], false
		for _, r := range q.replicas {
			// The answer is lost with a replica that breaks off after it has begun to answer.
			otherBreaks = otherBreaks || r.breaksAt > 1 || r.silence == forever && r.silentBefore > 1
		}
		if !otherBreaks && first.failure == (step{}) && first.breaksAt == 0 && first.headAfter+first.silence < 4*time.Second && q.leaveAfter == 0 && !c.whole(q.kind) {
			rt.Errorf("the first replica would have answered; got %q, %v", c.body.String(), c.failure)
		}
	})
}
