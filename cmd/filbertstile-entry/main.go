// Command filbertstile-entry runs an entry: the process that accepts the requests of
// callers and operators.
package main

import (
	"os"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile/base/configurer"
	"filbertstile.example/filbertstile/decisions/evaluator"
	"filbertstile.example/filbertstile/platform"
	"filbertstile.example/filbertstile/shells/entryrunner"
	"filbertstile.example/filbertstile/shells/launcher"
	"filbertstile.example/filbertstile/shells/recorder"
	"filbertstile.example/filbertstile/shells/relayer"
	"filbertstile.example/filbertstile/transport/connector"
)

// memoryLimitShare is the share of the process's memory that is set as the Go memory limit. The rest
// is for the program itself, some 20 MiB, and for what is allocated while the collector runs: with
// 0.6, an entry of 136 MB that parsed bodies of 4 MiB reached 152 MiB on a busy machine.
const memoryLimitShare = 0.5

func main() {
	os.Exit(launcher.Main(launcher.Program{
		Name:     "filbertstile-entry",
		Usage:    "run an entry, which accepts the requests of callers and operators",
		Settings: func() configurer.Checker { return configurer.DefaultEntry() },
		Level:    func(s configurer.Checker) string { return s.(*configurer.Entry).Log.Level },
		New: func(s configurer.Checker, log *logrus.Logger) (launcher.Role, error) {
			settings := s.(*configurer.Entry)
			if settings.MemoryMB > 0 {
				debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryLimitShare))
			}
			return entryrunner.New(entryrunner.Config{
				Settings: settings, Network: connector.NewTCP(), Logger: log,
				Tree: relayer.DefaultLimits(), Trust: evaluator.DefaultLimits(), Records: recorder.DefaultConfig(),
			})
		},
		Platform: platform.RunEntry,
	}, os.Args, os.Stdout, os.Stderr))
}
