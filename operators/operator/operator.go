// Package operator is the operators' command line over the administration API.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/configurer"
	"filbertstile.example/filbertstile/base/sleeper"
	"filbertstile.example/filbertstile/outside/requester"
	"filbertstile.example/filbertstile/shells/entryrunner"
	"filbertstile.example/filbertstile/shells/relayer"
	"filbertstile.example/filbertstile/transport/connector"
	"filbertstile.example/filbertstile/transport/responder"
)

const (
	callTimeout = 15 * time.Second
	watchEvery  = 200 * time.Millisecond
	watchLimit  = 2 * time.Minute
)

// Groups of commands, in the order of the reference.
const (
	groupConfig = "configuration"
	groupMarks  = "service state"
	groupLook   = "inspection"
)

// Command is one row of the command table.
type Command struct {
	Name    string
	Aliases []string
	Group   string
	Args    string
	Help    string
	Flags   []cli.Flag
	// Run does the work.
	Run func(ctx context.Context, s *Session) error
}

// Session is one run of a command.
type Session struct {
	Out  io.Writer
	Cmd  *cli.Command
	api  *requester.Client
	auth string
	json bool
}

const (
	flagAdmin = "admin"
	flagToken = "token-file"
	flagJSON  = "json"
	flagDry   = "dry-run"
	flagBase  = "base"
	flagAfter = "after"
	flagOnce  = "once"
)

// Commands is the command table.
func Commands() []Command {
	return []Command{
		{
			Name: "apply", Group: groupConfig, Args: "FILE", Help: "apply a release-notes file; the diff is shown first",
			Flags: []cli.Flag{
				&cli.BoolFlag{Name: flagDry, Usage: "check and show the diff, change nothing"},
				&cli.Uint64Flag{Name: flagBase, Usage: "revision that you have seen; a change of the same entities since then is a conflict"},
			},
			Run: apply,
		},
		{
			Name: "diff", Group: groupConfig, Args: "FILE", Help: "show what a release-notes file would change",
			Run: func(ctx context.Context, s *Session) error { return propose(ctx, s, true) },
		},
		{
			Name: "history", Aliases: []string{"log"}, Group: groupConfig, Help: "list the accepted changes",
			Flags: []cli.Flag{&cli.Uint64Flag{Name: flagAfter, Usage: "list the changes after this revision"}},
			Run:   history,
		},
		{Name: "get", Group: groupConfig, Args: "[TABLE]", Help: "print the configuration, or one of its tables", Run: get},
		{Name: "domain", Group: groupMarks, Args: "out|in NAME", Help: "take a failure domain out of service, or back in", Run: mark(filbertstile.MarkDomain)},
		{Name: "host", Group: groupMarks, Args: "out|in NAME", Help: "take a host out of service, or back in", Run: mark(filbertstile.MarkHost)},
		{Name: "status", Aliases: []string{"st"}, Group: groupLook, Help: "show services, replicas and how far the configuration is in force", Run: status},
		{
			Name: "watch", Group: groupLook, Args: "[REVISION]", Help: "wait until a revision is in force everywhere",
			Flags: []cli.Flag{&cli.BoolFlag{Name: flagOnce, Usage: "show the state once and end"}},
			Run:   watch,
		},
		{Name: "dump", Group: groupLook, Args: "PROCESS", Help: "print all tables of a process as JSON", Run: dump},
	}
}

// App returns the program.
func App(out io.Writer) *cli.Command {
	app := &cli.Command{
		Name:  "filbertstile",
		Usage: "operate a filbertstile installation",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagAdmin, Usage: "IP and port of an entry's administration API", Sources: cli.EnvVars("FILBERTSTILE_ADMIN"), Value: "127.0.0.1:7003"},
			&cli.StringFlag{Name: flagToken, Usage: "file that holds the operator's token", Sources: cli.EnvVars("FILBERTSTILE_TOKEN_FILE")},
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON"},
		},
		Writer: out,
	}
	for _, c := range Commands() {
		app.Commands = append(app.Commands, &cli.Command{
			Name: c.Name, Aliases: c.Aliases, Category: c.Group, ArgsUsage: c.Args, Usage: c.Help, Flags: c.Flags,
			Action: func(ctx context.Context, cmd *cli.Command) error { return run(ctx, out, cmd, c) },
		})
	}
	return app
}

func run(ctx context.Context, out io.Writer, cmd *cli.Command, c Command) error {
	token := ""
	if path := cmd.String(flagToken); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read token: %w", err)
		}
		token = strings.TrimSpace(string(data))
	}
	s := &Session{
		Out: out, Cmd: cmd, auth: "Bearer " + token, json: cmd.Bool(flagJSON),
		api: requester.New(requester.Config{Address: cmd.String(flagAdmin), Network: connector.NewTCP(), Timeout: callTimeout}),
	}
	defer s.api.Close()
	return c.Run(ctx, s)
}

// ErrRefused is the administration API's refusal.
type ErrRefused struct {
	Step    string
	Peer    string
	Status  int
	Problem responder.ProblemDetail
}

// Error shows the code, the field and the reason.
func (e ErrRefused) Error() string {
	if e.Problem.Code == "" {
		return fmt.Sprintf("%s: %s answered with status %d", e.Step, e.Peer, e.Status)
	}
	return fmt.Sprintf("%s: %s: %s", e.Step, e.Problem.Code, e.Problem.Message)
}

func (s *Session) call(ctx context.Context, step, method, path string, query url.Values, body []byte, into any) error {
	a, err := s.api.Do(ctx, requester.Call{
		Step: step, Method: method, Path: "/admin/v1/" + path, Query: query, Body: body,
		Headers: []requester.Header{{Name: fasthttp.HeaderAuthorization, Value: s.auth}},
	})
	if err != nil {
		return err
	}
	if a.Status != fasthttp.StatusOK {
		var p responder.Problem
		// An answer that is no problem document leaves the problem empty.
		_ = json.Unmarshal(a.Body, &p)
		return ErrRefused{Step: step, Peer: s.api.Address(), Status: a.Status, Problem: p.Error}
	}
	if raw, ok := into.(*json.RawMessage); ok {
		*raw = a.Body
		return nil
	}
	if err := json.Unmarshal(a.Body, into); err != nil {
		return fmt.Errorf("%s: peer %s: %w", step, s.api.Address(), err)
	}
	return nil
}

func (s *Session) print(v any) error {
	enc := json.NewEncoder(s.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func apply(ctx context.Context, s *Session) error { return propose(ctx, s, s.Cmd.Bool(flagDry)) }

func propose(ctx context.Context, s *Session, dry bool) error {
	path := s.Cmd.Args().First()
	if path == "" {
		return filbertstile.ErrField{Step: s.Cmd.Name, Field: "FILE", Problem: "is missing"}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read release notes: %w", err)
	}
	p := relayer.Proposal{Base: s.Cmd.Uint64(flagBase), DryRun: dry}
	if err := configurer.Decode(data, &p.Notes); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return s.propose(ctx, p)
}

func (s *Session) propose(ctx context.Context, p relayer.Proposal) error {
	body, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode change: %w", err)
	}
	var out relayer.Acceptance
	if err := s.call(ctx, "apply change", "POST", "changes", nil, body, &out); err != nil {
		return err
	}
	if s.json {
		return s.print(out)
	}
	for _, d := range out.Diff {
		sign, shown := "~", d.After
		switch {
		case len(d.Before) == 0:
			sign = "+"
		case len(d.After) == 0:
			sign, shown = "-", d.Before
		}
		fmt.Fprintf(s.Out, "%s %s %s %s\n", sign, d.Table, d.Name, shown)
	}
	if p.DryRun {
		fmt.Fprintf(s.Out, "would be revision %d; nothing was changed\n", out.Revision)
		return nil
	}
	fmt.Fprintf(s.Out, "accepted as revision %d; %d of %d relays have it already\n", out.Revision, out.PushedTo, out.Relays)
	return nil
}

func mark(kind filbertstile.MarkKind) func(context.Context, *Session) error {
	return func(ctx context.Context, s *Session) error {
		state, name := s.Cmd.Args().Get(0), s.Cmd.Args().Get(1)
		if state != "out" && state != "in" {
			return filbertstile.ErrField{Step: s.Cmd.Name, Field: "out|in", Problem: fmt.Sprintf("must be out or in, is %q", state)}
		}
		if name == "" {
			return filbertstile.ErrField{Step: s.Cmd.Name, Field: "NAME", Problem: "is missing"}
		}
		return s.propose(ctx, relayer.Proposal{Marks: []filbertstile.Mark{{Kind: kind, Name: name, Out: state == "out"}}})
	}
}

func history(ctx context.Context, s *Session) error {
	q := url.Values{"after": {strconv.FormatUint(s.Cmd.Uint64(flagAfter), 10)}}
	var changes []filbertstile.Change
	if err := s.call(ctx, "read history", "GET", "changes", q, nil, &changes); err != nil {
		return err
	}
	if s.json {
		return s.print(changes)
	}
	for _, c := range changes {
		summary, err := json.Marshal(struct {
			Notes filbertstile.ReleaseNotes `json:",omitzero"`
			Marks []filbertstile.Mark       `json:",omitempty"`
		}{c.Notes, c.Marks})
		if err != nil {
			return err
		}
		fmt.Fprintf(s.Out, "%d %s %s %s\n", c.Revision, c.At.Format(time.RFC3339), c.Author, summary)
	}
	return nil
}

func get(ctx context.Context, s *Session) error {
	var raw json.RawMessage
	if err := s.call(ctx, "read configuration", "GET", "config", nil, nil, &raw); err != nil {
		return err
	}
	table := s.Cmd.Args().First()
	if table != "" {
		var all map[string]json.RawMessage
		if err := json.Unmarshal(raw, &all); err != nil {
			return fmt.Errorf("read configuration: %w", err)
		}
		part, ok := all[table]
		if !ok {
			return filbertstile.ErrField{Step: "get", Field: "TABLE", Problem: fmt.Sprintf("no table is named %q; there are Accounts, Marks, Releases, Services and Tiers", table)}
		}
		raw = part
	}
	return s.printRaw(raw)
}

func (s *Session) printRaw(raw json.RawMessage) error {
	var b bytes.Buffer
	if err := json.Indent(&b, raw, "", "  "); err != nil {
		return err
	}
	_, err := fmt.Fprintln(s.Out, b.String())
	return err
}

func dump(ctx context.Context, s *Session) error {
	name := s.Cmd.Args().First()
	if name == "" {
		return filbertstile.ErrField{Step: "dump", Field: "PROCESS", Problem: "is missing"}
	}
	var raw json.RawMessage
	if err := s.call(ctx, "dump", "GET", "dump/"+name, nil, nil, &raw); err != nil {
		return err
	}
	return s.printRaw(raw)
}

func status(ctx context.Context, s *Session) error {
	var st entryrunner.Status
	if err := s.call(ctx, "read status", "GET", "status", nil, nil, &st); err != nil {
		return err
	}
	if s.json {
		return s.print(st)
	}
	fmt.Fprintf(s.Out, "revision %d, view %s, %s\n", st.Revision, st.Trust, spread(st.Spread))
	for _, v := range st.Services {
		fmt.Fprintf(s.Out, "\n%s: release %s on %d of %d replicas, %d serving, floor %d\n",
			v.Service, orNone(v.Release), v.OnTarget, len(v.Replicas), v.Serving, v.Floor)
		fmt.Fprintf(s.Out, "  %-24s %-16s %-14s %-9s %s\n", "host", "domain", "release", "load", "state")
		for _, r := range v.Replicas {
			fmt.Fprintf(s.Out, "  %-24.24s %-16.16s %-14.14s %3d of %-3d %s\n", r.Host, r.Domain, orNone(r.Release), r.Running, r.Limit, state(r))
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

func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func state(r entryrunner.ReplicaStatus) string {
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

func spread(p relayer.Propagation) string {
	out := fmt.Sprintf("revision %d in force in %d of %d processes", p.MinRevision, p.Nodes, p.Expected)
	if len(p.Silent) > 0 {
		out += ", no answer from " + strings.Join(p.Silent, " ")
	}
	return out
}

// ErrNotEverywhere is a revision that is not in force in all processes.
type ErrNotEverywhere struct {
	Revision uint64
	Spread   relayer.Propagation
}

// Error names the slowest process.
func (e ErrNotEverywhere) Error() string {
	return fmt.Sprintf("watch: revision %d is not in force everywhere: %s, slowest is %s", e.Revision, spread(e.Spread), e.Spread.Slowest)
}

func watch(ctx context.Context, s *Session) error {
	ctx, cancel := context.WithTimeout(ctx, watchLimit)
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
			fmt.Fprintf(s.Out, "%6.1f s  %s\n", time.Since(started).Seconds(), spread(st.Spread))
		}
		if st.Spread.Complete(revision) {
			return nil
		}
		if s.Cmd.Bool(flagOnce) {
			return ErrNotEverywhere{Revision: revision, Spread: st.Spread}
		}
		if sleeper.Sleep(ctx, watchEvery) != nil {
			return ErrNotEverywhere{Revision: revision, Spread: st.Spread}
		}
	}
}

// Markdown renders the command table as docs/COMMANDS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Commands of the operators' program\n\nGenerated by `make docs` from the command table in package operator.\n\n")
	b.WriteString("Flags before the command: `--admin IP:PORT` (or `FILBERTSTILE_ADMIN`), `--token-file FILE` (or\n`FILBERTSTILE_TOKEN_FILE`), `--json`.\n\n")
	b.WriteString("| Group | Command | Aliases | Flags | What it does |\n|---|---|---|---|---|\n")
	for _, c := range Commands() {
		var flags []string
		for _, f := range c.Flags {
			flags = append(flags, "`--"+f.Names()[0]+"`")
		}
		fmt.Fprintf(&b, "| %s | `%s` | %s | %s | %s |\n", c.Group, strings.ReplaceAll(strings.TrimSpace(c.Name+" "+c.Args), "|", "\\|"), strings.Join(c.Aliases, " "), strings.Join(flags, " "), c.Help)
	}
	return b.String()
}
