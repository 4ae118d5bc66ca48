package forwarder

import (
	"context"
	"errors"
	"fmt"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/decisions/suspector"
)

// ErrDeclined is the cause of an attempt that was not sent because its replica has announced
// meanwhile that it wants no requests.
var ErrDeclined = errors.New("the replica wants no requests")

// ErrTooLate reports an attempt that was not sent because its response might have begun after
// the version of the replica's weights is due to end.
type ErrTooLate struct {
	Step string
	Peer string
	// Late is by how much the attempt was too late.
	Late time.Duration
}

// Error returns a message with the step, the peer and the delay.
func (e ErrTooLate) Error() string {
	return fmt.Sprintf("%s: peer %s: %s too late for the version of its weights", e.Step, e.Peer, e.Late)
}

// ErrBlocked reports an attempt that was not sent because a key of the request is held back
// since it was placed.
type ErrBlocked struct {
	Step string
	Peer string
	// Key is the key in the form of the logs.
	Key string
}

// Error returns a message with the step, the peer and the key.
func (e ErrBlocked) Error() string {
	return fmt.Sprintf("%s: peer %s: %s is suspected of crashing replicas", e.Step, e.Peer, e.Key)
}

// checkSend returns an error if the request may no longer be sent.
func (a *attemptState) checkSend() error {
	x, g := a.x, a.grant
	if err := x.ctx.Err(); err != nil {
		return err
	}
	if !a.endsInTime() {
		return errEndsTooLate
	}
	if late := time.Since(g.SendBy); !g.SendBy.IsZero() && late > 0 {
		return ErrTooLate{Step: "send request", Peer: g.Replica.Address, Late: late}
	}
	if !x.forwarder.config.Placer.ConfirmSend(g) {
		return ErrDeclined
	}
	if d := x.forwarder.config.Suspector.Recheck(time.Now(), x.keys); d.Verdict == suspector.Refuse {
		return ErrBlocked{Step: "send request", Peer: g.Replica.Address, Key: FormatKey(d.Key)}
	}
	if x.call.Route.Kind == filbertstile.CallNonIdempotent {
		if err := x.side.handOver(); err != nil {
			return err
		}
	}
	a.progress.written.Store(true)
	return nil
}

// notSentOutcome returns the outcome of an attempt of which nothing was sent. The replica has
// not failed if the attempt was given up for another reason than the time to connect.
func notSentOutcome(ctx context.Context, err error) placer.Outcome {
	var tooLate ErrTooLate
	var blocked ErrBlocked
	if errors.Is(err, ErrDeclined) || errors.Is(err, errEndsTooLate) || errors.As(err, &tooLate) || errors.As(err, &blocked) || errors.Is(context.Cause(ctx), errVersionDue) || errors.Is(context.Cause(ctx), errNotNeeded) {
		return placer.Abandoned
	}
	return placer.Unreachable
}
