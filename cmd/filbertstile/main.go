// Command filbertstile is the operators' command-line program.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"filbertstile.example/filbertstile/operators/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := operator.App(os.Stdout).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}
