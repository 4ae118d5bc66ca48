// Command standin runs a case of the review: the project's programs as separate processes,
// and stand-ins of the platform's store, the replicas, the origin of the weights and the
// clients. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) == 3 && os.Args[1] == "replica" {
		serveReplica(os.Args[2])
		return
	}
	cases := map[string]func(r *record, trouble string) bool{"weights": runWeights, "bodies": runBodies, "streams": runStreams, "keys": runKeys, "bodyend": runBodyEnd}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD TROUBLE")
		os.Exit(2)
	}
	var err error
	folder, err = os.MkdirTemp("", "review-")
	must(err)
	r := newRecord(os.Args[2])
	broken := cases[os.Args[1]](r, os.Args[3])
	stopAll()
	if broken {
		r.printf("the rule was BROKEN")
		os.Exit(1)
	}
	r.printf("the rule held")
}
