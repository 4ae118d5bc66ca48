// Command document writes the generated pages to the docs folder.
package main

import (
	"fmt"
	"os"

	"filbertstile.example/filbertstile/rigs/documenter"
)

func main() {
	if err := documenter.Write("docs"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
