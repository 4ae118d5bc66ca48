package entryrunner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/shells/recorder"
	"filbertstile.example/filbertstile/transport/messenger"
)

const (
	// commitTimeout is the timeout of committing an intent, or of one attempt to have
	// another entry commit an outcome.
	commitTimeout = 4 * time.Second
	// outcomeTimeout is the maximum time to determine or commit an outcome in the
	// background.
	outcomeTimeout = time.Minute
	sealTimeout    = 2 * time.Second
	sealAttempts   = 3
	sealRetryDelay = 200 * time.Millisecond
)

// commitIntent requests the owner of the key's shard to commit the intent. If the owner
// is unreachable, this entry commits it.
func (e *Entry) commitIntent(ctx context.Context, i recorder.Intent) (recorder.CommitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	m, ok := owner(e.node.Holder.View().Members, fmt.Sprintf("%s%d", recorder.Prefix, recorder.ShardOf(i.Key)))
	if !ok || m.Name == e.node.Self().Name {
		return e.records.Commit(ctx, i)
	}
	f, err := e.node.Client.Call(ctx, m.Address, &wire.Request{Id: e.node.Client.NextID(), Kind: &wire.Request_Intent{Intent: &wire.Intent{
		Key: i.Key, BodyDigest: i.BodyDigest, RequestId: i.RequestID,
	}}})
	if err == nil {
		if r := f.GetRecorded(); r != nil {
			return fromRecorded(r), nil
		}
		if refusal := f.GetRefusal(); refusal != nil {
			return recorder.CommitResult{}, errors.New(refusal.GetDetail())
		}
	}
	// The owner may have committed the intent. A second commit of it is harmless, as both
	// have the same request ID.
	return e.records.Commit(ctx, i)
}

func (e *Entry) handleIntent(ctx context.Context, i *wire.Intent, s *messenger.Stream) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	r, err := e.records.Commit(ctx, recorder.Intent{
		Key: i.GetKey(), BodyDigest: i.GetBodyDigest(), RequestID: i.GetRequestId(), At: time.Now().UTC(),
	})
	if err != nil {
		_ = s.Send(&wire.Frame{Kind: &wire.Frame_Refusal{Refusal: &wire.Refusal{Code: codeRecordUnreachable, Run: string(filbertstile.NotRun), Detail: err.Error()}}})
		return
	}
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Recorded{Recorded: toRecorded(r)}})
}

// recordOutcome commits the outcome for later attempts. It does so in the background, as
// the caller need not wait for it.
func (e *Entry) recordOutcome(o recorder.Outcome) {
	o.At = time.Now().UTC()
	e.callsWG.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(e.ctx), outcomeTimeout)
		defer cancel()
		stop := context.AfterFunc(e.ctx, cancel)
		defer stop()
		if err := e.commitOutcome(ctx, o); err != nil {
			e.node.Log.Event(reporter.CommitFailed, reporter.Fields{"Key": o.Key, "Run": o.Run, "Error": err})
		}
	})
}

// commitOutcome requests the owner of the key's shard to commit the outcome. If the owner
// is unreachable or fails, this entry commits it.
func (e *Entry) commitOutcome(ctx context.Context, o recorder.Outcome) error {
	m, ok := owner(e.node.Holder.View().Members, fmt.Sprintf("%s%d", recorder.Prefix, recorder.ShardOf(o.Key)))
	if ok && m.Name != e.node.Self().Name {
		ownerCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		f, err := e.node.Client.Call(ownerCtx, m.Address, &wire.Request{Id: e.node.Client.NextID(), Kind: &wire.Request_Outcome{Outcome: toOutcome(o)}})
		if err == nil && f.GetRecorded() != nil {
			return nil
		}
	}
	return e.records.Complete(ctx, o)
}

func (e *Entry) handleOutcome(ctx context.Context, o *wire.Outcome, s *messenger.Stream) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := e.records.Complete(ctx, fromOutcome(o)); err != nil {
		_ = s.Send(&wire.Frame{Kind: &wire.Frame_Refusal{Refusal: &wire.Refusal{Code: codeRecordUnreachable, Detail: err.Error()}}})
		return
	}
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Recorded{Recorded: &wire.Recorded{}}})
}

// seal asks the host for the outcome of a request after the contact was lost. A request
// that has not started by then never starts.
func (e *Entry) seal(ctx context.Context, host filbertstile.Member, incarnation, requestID string) (*wire.Sealed, error) {
	var errs error
	for range sealAttempts {
		sealed, err := e.sealOnce(ctx, host, incarnation, requestID)
		if err == nil {
			return sealed, nil
		}
		errs = errors.Join(errs, err)
		e.node.Client.CloseSession(host.Address)
		select {
		case <-ctx.Done():
			return nil, errors.Join(errs, ctx.Err())
		case <-time.After(sealRetryDelay):
		}
	}
	return nil, errs
}

func (e *Entry) sealOnce(ctx context.Context, host filbertstile.Member, incarnation, requestID string) (*wire.Sealed, error) {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	f, err := e.node.Client.Call(ctx, host.Address, &wire.Request{Id: e.node.Client.NextID(), Kind: &wire.Request_Seal{Seal: &wire.Seal{
		RequestId: requestID, Incarnation: incarnation,
	}}})
	if err != nil {
		return nil, err
	}
	if f.GetSealed() == nil {
		return nil, fmt.Errorf("seal %s: peer %s sent an unexpected reply", requestID, host.Name)
	}
	return f.GetSealed(), nil
}

// resolveInBackground keeps asking the host for the outcome of a call that ended with an
// unknown outcome, so that the outcome can be returned to a later attempt with the
// same key.
func (c *call) resolveInBackground(host string) {
	e := c.entry
	m, ok := e.node.Holder.View().Members.Get(host)
	if !ok {
		return
	}
	e.callsWG.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, outcomeTimeout)
		defer cancel()
		for ctx.Err() == nil {
			sealed, err := e.seal(ctx, m, c.incarnation, c.request.ID)
			if err != nil {
				continue
			}
			if run := filbertstile.RunState(sealed.GetRun()); run != filbertstile.Unknown {
				o := sealedOutcome(sealed)
				o.Key, o.RequestID, o.Host = c.recordKey, c.request.ID, host
				e.recordOutcome(o)
			}
			return
		}
	})
}
