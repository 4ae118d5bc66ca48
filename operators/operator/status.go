package operator

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/shells/entryrunner"
	"filbertstile.example/filbertstile/shells/relayer"
)

func status(ctx context.Context, s *Session) error {
	var st entryrunner.Status
	if err := s.call(ctx, "read status", "GET", "status", nil, nil, &st); err != nil {
		return err
	}
	if s.json {
		return s.print(st)
	}
	fmt.Fprintf(s.Out, "revision %d, view %s, %s\n", st.Revision, st.Trust, formatPropagation(st.Spread))
	for _, v := range st.Services {
		fmt.Fprintf(s.Out, "\n%s: release %s on %d of %d replicas, %d serving, floor %d\n",
			v.Service, orDash(v.Release), v.OnTarget, len(v.Replicas), v.Serving, v.Floor)
		fmt.Fprintf(s.Out, "  %-24s %-16s %-14s %-9s %s\n", "host", "domain", "release", "load", "state")
		for _, r := range v.Replicas {
			fmt.Fprintf(s.Out, "  %-24.24s %-16.16s %-14.14s %3d of %-3d %s\n", r.Host, r.Domain, orDash(r.Release), r.Running, r.Limit, replicaState(r))
		}
	}
	fmt.Fprintln(s.Out, "\nentries:")
	for _, e := range st.Entries {
		note := "in service"
		switch {
		case e.Leaving:
			note = "leaving"
		case e.Out:
			note = "out"
		}
		fmt.Fprintf(s.Out, "  %-24.24s %-16.16s %s\n", e.Name, e.Domain, note)
	}
	return nil
}

// orDash returns s, or a dash if it is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// replicaState returns the state of the replica as the status command prints it.
func replicaState(r entryrunner.ReplicaStatus) string {
	switch {
	case !r.Connected:
		return "lost"
	case r.Leaving:
		return "leaving"
	case r.Out:
		return "out"
	case !r.Serving && r.Ready != "" && r.Ready != r.Release:
		return "switching"
	case !r.Serving:
		return "waiting"
	case r.Cold:
		return "cold"
	default:
		return "serving"
	}
}

// formatPropagation describes how far the configuration is in force.
func formatPropagation(p relayer.Propagation) string {
	out := fmt.Sprintf("revision %d in force in %d of %d processes", p.MinRevision, p.Nodes, p.Expected)
	if len(p.Silent) > 0 {
		out += ", no response from " + strings.Join(p.Silent, " ")
	}
	return out
}

// ErrNotInForce reports a revision that is not in force in all processes.
type ErrNotInForce struct {
	Revision    uint64
	Propagation relayer.Propagation
}

// Error returns a message with the revision and the slowest process.
func (e ErrNotInForce) Error() string {
	return fmt.Sprintf("watch: revision %d is not in force in all processes: %s, slowest is %s", e.Revision, formatPropagation(e.Propagation), e.Propagation.Slowest)
}

func watch(ctx context.Context, s *Session) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var revision uint64
	if raw := s.Cmd.Args().First(); raw != "" {
		n, err := strconv.ParseUint(raw, 10, 64)
		if err != nil {
			return filbertstile.ErrField{Step: "watch", Field: "REVISION", Problem: fmt.Sprintf("must be a number, is %q", raw)}
		}
		revision = n
	}
	started := time.Now()
	for {
		var st entryrunner.Status
		if err := s.call(ctx, "watch", "GET", "status", nil, nil, &st); err != nil {
			return err
		}
		if revision == 0 {
			revision = st.Revision
		}
		if s.json {
			if err := s.print(st.Spread); err != nil {
				return err
			}
		} else {
			fmt.Fprintf(s.Out, "%6.1f s  %s\n", time.Since(started).Seconds(), formatPropagation(st.Spread))
		}
		if st.Spread.Complete(revision) {
			return nil
		}
		if s.Cmd.Bool(flagOnce) {
			return ErrNotInForce{Revision: revision, Propagation: st.Spread}
		}
		if sleeper.Sleep(ctx, watchInterval) != nil {
			return ErrNotInForce{Revision: revision, Propagation: st.Spread}
		}
	}
}
