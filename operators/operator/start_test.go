package operator_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile/rigs/stager"
	"filbertstile.example/filbertstile/transport/connector"
)

// TestProcessWithoutItsPortIsReported guards against a start that waits for a process which has
// ended because something else uses its port.
func TestProcessWithoutItsPortIsReported(t *testing.T) {
	is := is.New(t)
	d, err := stager.Load("../../examples/royalty-office/deployment.jsonc")
	is.NoErr(err)
	d.Entries, d.Services = 2, d.Services[:1]
	d.Services[0].Replicas = 1
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	s := stager.New(stager.Config{Deployment: d, Base: connector.NewTCP(), Logger: log, Direct: true, ListLag: 50 * time.Millisecond})
	is.NoErr(s.Start(ctx))
	defer s.Close()
	is.NoErr(s.AwaitReady(ctx))
	e := s.Entries[1]
	e.Kill()
	l, err := net.Listen("tcp", e.Settings.HTTPAddress)
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	is.NoErr(s.StartEntry(e))
	err = s.AwaitReady(ctx)
	is.True(errors.Is(err, syscall.EADDRINUSE))
	is.NoErr(ctx.Err())
}
