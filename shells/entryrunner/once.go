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
	intentTimeout  = 4 * time.Second
	outcomeTimeout = time.Minute
	sealTimeout    = 2 * time.Second
	sealTries      = 3
	sealPause      = 200 * time.Millisecond
)

// commitIntent has the owner of the key's shard commit the intent; if the
// owner cannot be reached, this entry commits it itself.
func (e *Entry) commitIntent(ctx context.Context, i recorder.Intent) (recorder.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, intentTimeout)
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
			return recorder.Answer{}, errors.New(refusal.GetDetail())
		}
	}
	// The same request id makes a second commit of the same intent harmless.
	return e.records.Commit(ctx, i)
}

func (e *Entry) handleIntent(ctx context.Context, i *wire.Intent, s *messenger.Stream) {
	ctx, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	a, err := e.records.Commit(ctx, recorder.Intent{
		Key: i.GetKey(), BodyDigest: i.GetBodyDigest(), RequestID: i.GetRequestId(), At: time.Now().UTC(),
	})
	if err != nil {
		_ = s.Send(&wire.Frame{Kind: &wire.Frame_Refusal{Refusal: &wire.Refusal{Code: codeRecord, Run: string(filbertstile.NotRun), Detail: err.Error()}}})
		return
	}
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Recorded{Recorded: toRecorded(a)}})
}

// recordOutcome keeps the outcome for later attempts, in the background: the
// caller does not wait for it.
func (e *Entry) recordOutcome(o recorder.Outcome) {
	o.At = time.Now().UTC()
	e.callsWG.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(e.ctx), outcomeTimeout)
		defer cancel()
		stop := context.AfterFunc(e.ctx, cancel)
		defer stop()
		if err := e.completeAnywhere(ctx, o); err != nil {
			e.node.Log.Event(reporter.CommitFailed, reporter.Fields{"Key": o.Key, "Run": o.Run, "Error": err})
		}
	})
}

func (e *Entry) completeAnywhere(ctx context.Context, o recorder.Outcome) error {
	m, ok := owner(e.node.Holder.View().Members, fmt.Sprintf("%s%d", recorder.Prefix, recorder.ShardOf(o.Key)))
	if ok && m.Name != e.node.Self().Name {
		call, cancel := context.WithTimeout(ctx, intentTimeout)
		defer cancel()
		f, err := e.node.Client.Call(call, m.Address, &wire.Request{Id: e.node.Client.NextID(), Kind: &wire.Request_Outcome{Outcome: toOutcome(o)}})
		if err == nil && f.GetRecorded() != nil {
			return nil
		}
	}
	return e.records.Complete(ctx, o)
}

func (e *Entry) handleOutcome(ctx context.Context, o *wire.Outcome, s *messenger.Stream) {
	ctx, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	if err := e.records.Complete(ctx, fromOutcome(o)); err != nil {
		_ = s.Send(&wire.Frame{Kind: &wire.Frame_Refusal{Refusal: &wire.Refusal{Code: codeRecord, Detail: err.Error()}}})
		return
	}
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Recorded{Recorded: &wire.Recorded{}}})
}

// seal asks the host, after a lost contact, what became of the request; a
// request that had not started never will.
func (e *Entry) seal(ctx context.Context, host filbertstile.Member, incarnation, requestID string) (*wire.Sealed, error) {
	var failures error
	for range sealTries {
		sealed, err := e.sealOnce(ctx, host, incarnation, requestID)
		if err == nil {
			return sealed, nil
		}
		failures = errors.Join(failures, err)
		e.node.Client.CloseSession(host.Address)
		select {
		case <-ctx.Done():
			return nil, errors.Join(failures, ctx.Err())
		case <-time.After(sealPause):
		}
	}
	return nil, failures
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
		return nil, fmt.Errorf("seal %s: peer %s gave no answer", requestID, host.Name)
	}
	return f.GetSealed(), nil
}

// resolveLater goes on asking the host what became of a call whose caller was
// told that nobody knows, so that a later attempt with its key can be answered.
func (c *call) resolveLater(host string) {
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
				e.recordOutcome(recorder.Outcome{
					Key: c.recordKey, RequestID: c.request.ID, Run: run, Status: int(sealed.GetStatus()),
					ContentType: sealed.GetContentType(), Body: sealed.GetBody(), Host: host,
				})
			}
			return
		}
	})
}
