// Package launcher is what the programs' main functions share: reading
// settings, logging, signals, planned stops and dumps by signal.
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

// drainLimit bounds a planned stop; work that is still in hand then is cut off.
const drainLimit = 10 * time.Minute

// Role is a process of the system.
type Role interface {
	Run(ctx context.Context) error
	Drain(ctx context.Context) error
	Node() *joiner.Node
}

// Program describes a program that runs a role.
type Program struct {
	Name  string
	Usage string
	// Settings returns the defaults, to be filled from the file.
	Settings func() configurer.Checker
	// Level returns the log level that the settings ask for.
	Level func(configurer.Checker) string
	// New puts the role together.
	New func(s configurer.Checker, log *logrus.Logger) (Role, error)
	// Platform runs the role on the users' platform, where its settings and its
	// peers come from; nil where the role is not run there.
	Platform func(ctx context.Context, out io.Writer) error
}

const flagSettings = "settings"

// Main runs the program and returns its exit code.
func Main(p Program, args []string, out, errs io.Writer) int {
	settings := &cli.StringFlag{Name: flagSettings, Usage: "settings file (JSON with comments)", Required: true}
	app := &cli.Command{
		Name: p.Name, Usage: p.Usage, Writer: out, ErrWriter: errs,
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "run until SIGTERM, then leave as planned", Flags: []cli.Flag{settings},
				Action: func(ctx context.Context, c *cli.Command) error { return run(ctx, p, c.String(flagSettings), errs) },
			},
			{
				Name: "check-settings", Usage: "check a settings file and end", Flags: []cli.Flag{settings},
				Action: func(_ context.Context, c *cli.Command) error {
					if err := configurer.Load(c.String(flagSettings), p.Settings()); err != nil {
						return err
					}
					fmt.Fprintln(out, "settings are in order")
					return nil
				},
			},
		},
	}
	if p.Platform != nil {
		app.Commands = append(app.Commands, &cli.Command{
			Name: "platform", Usage: "run on the users' platform, which fills in the settings",
			Action: func(ctx context.Context, _ *cli.Command) error { return p.Platform(ctx, out) },
		})
	}
	if err := app.Run(context.Background(), args); err != nil {
		fmt.Fprintln(errs, err)
		return 1
	}
	return 0
}

func run(ctx context.Context, p Program, path string, errs io.Writer) error {
	s := p.Settings()
	if err := configurer.Load(path, s); err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(errs)
	level, err := logrus.ParseLevel(p.Level(s))
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	log.SetLevel(level)
	role, err := p.New(s, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go dumps(ctx, role, errs)
	go stops(ctx, cancel, role)
	return role.Run(ctx)
}

// stops ends the role as planned on the first SIGTERM or interrupt, and at once
// on the second.
func stops(ctx context.Context, cancel context.CancelFunc, role Role) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	select {
	case <-signals:
	case <-ctx.Done():
		return
	}
	drain, stop := context.WithTimeout(ctx, drainLimit)
	defer stop()
	go func() {
		<-signals
		cancel()
	}()
	// A drain that does not finish in time ends in a stop all the same.
	_ = role.Drain(drain)
	cancel()
}

// dumps writes the role's tables on SIGUSR1.
func dumps(ctx context.Context, role Role, out io.Writer) {
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
