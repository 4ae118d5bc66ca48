// Package launcher implements what the programs' main functions share: settings, logging,
// and signals for planned stops and dumps.
package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"filbertstile.example/filbertstile/base/configurer"
	"filbertstile.example/filbertstile/shells/joiner"
)

// drainTimeout is the maximum duration of a planned stop. Requests that are still in
// flight after it are cancelled.
const drainTimeout = 10 * time.Minute

// Role is the implementation of a process of the system.
type Role interface {
	// Run runs the process until the context ends.
	Run(ctx context.Context) error
	// Drain announces a planned stop and returns when no requests are in flight.
	Drain(ctx context.Context) error
	// Node returns the part that all roles share.
	Node() *joiner.Node
}

// Program describes a program that runs a role.
type Program struct {
	Name  string
	Usage string
	// Settings returns the default settings, which the settings file overrides.
	Settings func() configurer.Checker
	// Level returns the log level in the settings.
	Level func(configurer.Checker) string
	// New returns the role with the settings.
	New func(s configurer.Checker, log *logrus.Logger) (Role, error)
	// Platform runs the role on the users' platform, which provides its settings and
	// its peers; nil if the program does not run there.
	Platform func(ctx context.Context, out io.Writer) error
}

const flagSettings = "settings"

// Main runs the program with the command-line arguments and returns its exit code.
func Main(p Program, args []string, out, errOut io.Writer) int {
	settings := &cli.StringFlag{Name: flagSettings, Usage: "settings file (JSON with comments)", Required: true}
	app := &cli.Command{
		Name: p.Name, Usage: p.Usage, Writer: out, ErrWriter: errOut,
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "run until SIGTERM, then finish requests in flight and stop", Flags: []cli.Flag{settings},
				Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, p, c.String(flagSettings), errOut) },
			},
			{
				Name: "check-settings", Usage: "check a settings file and exit", Flags: []cli.Flag{settings},
				Action: func(_ context.Context, c *cli.Command) error {
					if err := configurer.Load(c.String(flagSettings), p.Settings()); err != nil {
						return err
					}
					fmt.Fprintln(out, "settings are valid")
					return nil
				},
			},
		},
	}
	if p.Platform != nil {
		app.Commands = append(app.Commands, &cli.Command{
			Name: "platform", Usage: "run on the users' platform, which provides the settings",
			Action: func(ctx context.Context, _ *cli.Command) error { return p.Platform(ctx, out) },
		})
	}
	if err := app.Run(context.Background(), args); err != nil {
		fmt.Fprintln(errOut, err)
		return 1
	}
	return 0
}

// run runs the role with the settings file until its context ends.
func run(ctx context.Context, p Program, path string, errOut io.Writer) error {
	s := p.Settings()
	if err := configurer.Load(path, s); err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(errOut)
	level, err := logrus.ParseLevel(p.Level(s))
	if err != nil {
		return fmt.Errorf("parse log level: %w", err)
	}
	log.SetLevel(level)
	role, err := p.New(s, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go dumpOnSignal(ctx, role, errOut)
	go drainOnSignal(ctx, cancel, role)
	return role.Run(ctx)
}

// drainOnSignal drains and stops the role on the first SIGTERM or interrupt, and stops it
// immediately on the second.
func drainOnSignal(ctx context.Context, cancel context.CancelFunc, role Role) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	select {
	case <-signals:
	case <-ctx.Done():
		return
	}
	drainCtx, cancelDrain := context.WithTimeout(ctx, drainTimeout)
	defer cancelDrain()
	go func() {
		<-signals
		cancel()
	}()
	// The role is stopped even if it could not be drained in time.
	_ = role.Drain(drainCtx)
	cancel()
}

// dumpOnSignal writes a dump of the process on each SIGUSR1.
func dumpOnSignal(ctx context.Context, role Role, out io.Writer) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
			enc := json.NewEncoder(out)
			enc.SetIndent("", "  ")
			_ = enc.Encode(role.Node().Dump())
		case <-ctx.Done():
			return
		}
	}
}
