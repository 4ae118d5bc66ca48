package forwarder_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// TestUnframedAnswerOfPlainService guards against an empty answer, or a part of one whose replica
// has crashed, that is taken as complete as only the end of its connection ends it.
func TestUnframedAnswerOfPlainService(t *testing.T) {
	answer := step{verdict: forwarder.Ran, status: 200, body: "answer", unframed: true}
	empty := step{verdict: forwarder.Ran, status: 200, unframed: true}
	emptyStream := step{verdict: forwarder.Ran, status: 200, stream: true, unframed: true}
	part := events(1, 2, nil)
	part.unframed = true
	for name, c := range map[string]struct {
		prober *prober
		kind   filbertstile.CallKind
		answer step
		whole  bool
	}{
		"Empty":         {&alive, filbertstile.CallIdempotent, empty, false},
		"EmptyUnsafe":   {&alive, filbertstile.CallNonIdempotent, empty, false},
		"EmptyStream":   {&alive, filbertstile.CallStream, emptyStream, false},
		"Crashed":       {&ended, filbertstile.CallIdempotent, answer, false},
		"CrashedUnsafe": {&ended, filbertstile.CallNonIdempotent, answer, false},
		"CrashedStream": {&ended, filbertstile.CallStream, part, false},
		"Alive":         {&alive, filbertstile.CallNonIdempotent, answer, true},
		"AliveStream":   {&alive, filbertstile.CallStream, part, true},
		"SilentHost":    {&silent, filbertstile.CallNonIdempotent, answer, true},
	} {
		for keyName, key := range map[string]uint64{"": 0, "/Key": badKey} {
			t.Run(name+keyName, func(t *testing.T) {
				next := complete
				if c.answer.stream {
					next = events(1, 4, nil)
				}
				s := &script{steps: []step{c.answer, next}}
				withPlainRig(t, c.prober, s, func(r *plainRig) {
					got := r.serve(c.kind, key)
					if c.kind == filbertstile.CallNonIdempotent && !c.whole {
						r.is.True(got.failedWith(filbertstile.Unknown))
						r.is.Equal(len(s.sent), 1)
						return
					}
					want, sends := next.body, 2
					if c.whole {
						want, sends = c.answer.body, 1
					}
					r.is.Equal(got.body.String(), want)
					r.is.Equal(len(s.sent), sends)
				})
			})
		}
	}
}

// crashingReplica is a replica whose process ends with its second answer. It is the Link and the
// Prober.
type crashingReplica struct {
	sends   atomic.Int32
	crashed atomic.Bool
	answer  func(n int32) forwarder.Response
}

func (l *crashingReplica) Send(context.Context, forwarder.Attempt) (forwarder.Response, error) {
	n := l.sends.Add(1)
	l.crashed.Store(n > 1)
	return l.answer(n), nil
}

func (l *crashingReplica) Probe(context.Context, string) forwarder.Liveness {
	if l.crashed.Load() {
		return forwarder.Ended
	}
	return forwarder.Alive
}

// gapReader returns a piece at a time, with a gap before each.
type gapReader struct {
	pieces []string
	gap    time.Duration
}

func (r *gapReader) Read(p []byte) (int, error) {
	if len(r.pieces) == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.gap)
	n := copy(p, r.pieces[0])
	r.pieces = r.pieces[1:]
	return n, nil
}

// TestUnframedAnswersAreProbedAfterTheirEnd guards against a part of an answer that is taken as
// complete because its replica still ran a moment before, or had answered for a while.
func TestUnframedAnswersAreProbedAfterTheirEnd(t *testing.T) {
	for name, gap := range map[string]time.Duration{"SoonAfterOther": 10 * time.Millisecond, "LongStream": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			withCrashRig(t, &alive, func(r *crashRig) {
				r.setReplicas(1)
				link := &crashingReplica{answer: func(int32) forwarder.Response {
					return forwarder.Response{
						Verdict: forwarder.Ran, Status: 200, Streamed: true, EndsWithConnection: true,
						Body: &body{Reader: &gapReader{pieces: []string{events(1, 1, nil).body, events(2, 2, nil).body}, gap: gap}},
					}
				}}
				config := r.config(link, discardLog())
				config.Prober = link
				fw := forwarder.New(config)
				serve := func() *caller {
					c, now, x := &caller{}, time.Now(), route(filbertstile.CallStream)
					x.Resumable = false
					fw.Serve(r.ctx, &forwarder.Call{ID: "1", Route: x, Service: "s", Arrived: now, Deadline: now.Add(6 * time.Second), PromptParts: []uint64{7}}, c)
					return c
				}
				r.is.True(!serve().aborted)
				r.is.True(serve().aborted)
			})
		})
	}
}
