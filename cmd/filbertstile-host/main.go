// Command filbertstile-host runs a host process, which is in front of one backend
// server.
package main

import (
	"os"

	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile/base/configurer"
	"filbertstile.example/filbertstile/decisions/evaluator"
	"filbertstile.example/filbertstile/platform"
	"filbertstile.example/filbertstile/shells/hostrunner"
	"filbertstile.example/filbertstile/shells/launcher"
	"filbertstile.example/filbertstile/shells/relayer"
	"filbertstile.example/filbertstile/transport/connector"
)

func main() {
	os.Exit(launcher.Main(launcher.Program{
		Name:     "filbertstile-host",
		Usage:    "run the host process of one backend server",
		Settings: func() configurer.Checker { return configurer.DefaultHost() },
		Level:    func(s configurer.Checker) string { return s.(*configurer.Host).Log.Level },
		New: func(s configurer.Checker, log *logrus.Logger) (launcher.Role, error) {
			return hostrunner.New(hostrunner.Config{
				Settings: s.(*configurer.Host), Network: connector.NewTCP(), Logger: log,
				Tree: relayer.DefaultLimits(), Trust: evaluator.DefaultLimits(),
			})
		},
		Platform: platform.RunHost,
	}, os.Args, os.Stdout, os.Stderr))
}
