// Command filbertstile-standin runs stand-ins for the external systems, such as the
// object store and the backend servers, and the demo.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"filbertstile.example/filbertstile/base/configurer"
	"filbertstile.example/filbertstile/rigs/demonstrator"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/rigs/stager"
	"filbertstile.example/filbertstile/transport/connector"
)

const (
	flagSettings   = "settings"
	flagDeployment = "deployment"
	flagJSON       = "json"
	flagLog        = "log"
	// demoTimeout is the maximum duration of the demo.
	demoTimeout = 60 * time.Second
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name: "filbertstile-standin", Usage: "run stand-ins for external systems, or the demo",
		Commands: []*cli.Command{
			{
				Name: "serve", Usage: "run the stand-ins that a settings file lists",
				Flags:  []cli.Flag{&cli.StringFlag{Name: flagSettings, Required: true}},
				Action: serve,
			},
			{
				Name: "check-settings", Usage: "check a settings file and exit",
				Flags:  []cli.Flag{&cli.StringFlag{Name: flagSettings, Required: true}},
				Action: check,
			},
			{
				Name: "demo", Usage: "run a complete deployment and check it",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: flagDeployment, Required: true, Usage: "deployment file"},
					&cli.BoolFlag{Name: flagJSON, Usage: "print the report as JSON"},
					&cli.BoolFlag{Name: flagLog, Usage: "log events to standard error"},
				},
				Action: demo,
			},
		},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	s := imitator.DefaultSettings()
	if err := configurer.Load(c.String(flagSettings), s); err != nil {
		return err
	}
	return imitator.Serve(ctx, s, connector.NewTCP(), c.Root().Writer)
}

func check(_ context.Context, c *cli.Command) error {
	if err := configurer.Load(c.String(flagSettings), imitator.DefaultSettings()); err != nil {
		return err
	}
	_, err := fmt.Fprintln(c.Root().Writer, "settings are valid")
	return err
}

func demo(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	d, err := stager.Load(c.String(flagDeployment))
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	if c.Bool(flagLog) {
		log.SetOutput(os.Stderr)
	}
	report, err := demonstrator.Run(ctx, demonstrator.Config{Deployment: d, Out: c.Root().Writer, JSON: c.Bool(flagJSON), Logger: log})
	if err != nil {
		return err
	}
	if report.Broken > 0 {
		return fmt.Errorf("%d checks failed", report.Broken)
	}
	return nil
}
