package stager

import (
	"context"

	"filbertstile.example/filbertstile/shells/joiner"
)

// process is the goroutine that runs an entry or a host process.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
	// err is why the process ended; it may be read once done is closed.
	err error
}

// failure returns the error with which the process has ended; nil if it runs.
func (p *process) failure() error {
	if p.running() || p.done == nil {
		return nil
	}
	return p.err
}

// running reports whether the process has started and not ended.
func (p *process) running() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// awaitReady waits until the view of the process is not stale. It returns the error of the process
// if that ends.
func (p *process) awaitReady(ctx context.Context, n *joiner.Node) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := n.AwaitReady(ctx)
	if failure := p.failure(); err != nil && failure != nil {
		return failure
	}
	return err
}

// start runs the function in a goroutine as the process.
func (s *Stage) start(p *process, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(s.ctx)
	p.cancel = cancel
	done := make(chan struct{})
	p.done = done
	s.wg.Go(func() {
		defer close(done)
		p.err = run(ctx)
	})
}

// Kill stops the process without draining it.
func (p *process) Kill() {
	p.cancel()
	<-p.done
}

// Stop drains the host process and stops it.
func (p *HostProcess) Stop(ctx context.Context) error {
	err := p.Host.Drain(ctx)
	p.Kill()
	return err
}

// Stop drains the entry and stops it.
func (p *EntryProcess) Stop(ctx context.Context) error {
	err := p.Entry.Drain(ctx)
	p.Kill()
	return err
}
