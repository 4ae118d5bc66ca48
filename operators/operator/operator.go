// Package operator implements the operators' command line, which is a client of the
// administration API.
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
	"filbertstile.example/filbertstile/outside/requester"
	"filbertstile.example/filbertstile/shells/relayer"
	"filbertstile.example/filbertstile/transport/connector"
	"filbertstile.example/filbertstile/transport/responder"
)

const (
	// callTimeout is the timeout of a call of the administration API.
	callTimeout = 15 * time.Second
	// watchInterval is the polling interval of the watch command.
	watchInterval = 200 * time.Millisecond
	// watchTimeout is the maximum duration of the watch command.
	watchTimeout = 2 * time.Minute
)

// Groups of commands, in the order of the command reference.
const (
	groupConfig       = "configuration"
	groupServiceState = "service state"
	groupInspection   = "inspection"
)

// Command describes a command for the command line and its reference page.
type Command struct {
	Name    string
	Aliases []string
	Group   string
	Args    string
	Help    string
	Flags   []cli.Flag
	// Run executes the command.
	Run func(ctx context.Context, s *Session) error
}

// Session is one execution of a command.
type Session struct {
	Out io.Writer
	Cmd *cli.Command
	api *requester.Client
	// authorization is the value of the Authorization header.
	authorization string
	// json is true if the output is JSON.
	json bool
}

const (
	flagAdmin  = "admin"
	flagToken  = "token-file"
	flagJSON   = "json"
	flagDryRun = "dry-run"
	flagBase   = "base"
	flagAfter  = "after"
	flagOnce   = "once"
)

// Commands returns the command table.
func Commands() []Command {
	return []Command{
		{
			Name: "apply", Group: groupConfig, Args: "FILE", Help: "apply a release-notes file and print the diff",
			Flags: []cli.Flag{
				&cli.BoolFlag{Name: flagDryRun, Usage: "validate the file and print the diff without applying it"},
				&cli.Uint64Flag{Name: flagBase, Usage: "revision that the file is based on; a later change of the same entities is a conflict"},
			},
			Run: apply,
		},
		{
			Name: "diff", Group: groupConfig, Args: "FILE", Help: "print the diff that a release-notes file would make, without applying it",
			Run: func(ctx context.Context, s *Session) error { return proposeFile(ctx, s, true) },
		},
		{
			Name: "history", Aliases: []string{"log"}, Group: groupConfig, Help: "list accepted changes",
			Flags: []cli.Flag{&cli.Uint64Flag{Name: flagAfter, Usage: "list only changes after this revision"}},
			Run:   history,
		},
		{Name: "get", Group: groupConfig, Args: "[TABLE]", Help: "print the configuration or one of its tables", Run: get},
		{Name: "domain", Group: groupServiceState, Args: "out|in NAME", Help: "take a failure domain out of service or put it back in service", Run: setMark(filbertstile.MarkDomain)},
		{Name: "host", Group: groupServiceState, Args: "out|in NAME", Help: "take a host out of service or put it back in service", Run: setMark(filbertstile.MarkHost)},
		{Name: "status", Aliases: []string{"st"}, Group: groupInspection, Help: "show services, replicas, entries and the revision that is in force", Run: status},
		{
			Name: "watch", Group: groupInspection, Args: "[REVISION]", Help: "wait until a revision is in force in all processes",
			Flags: []cli.Flag{&cli.BoolFlag{Name: flagOnce, Usage: "print the state once and exit"}},
			Run:   watch,
		},
		{Name: "dump", Group: groupInspection, Args: "PROCESS", Help: "print the state dump of a process as JSON", Run: dump},
		explainCommand(),
	}
}

// App returns the command-line application. It writes its output to out.
func App(out io.Writer) *cli.Command {
	app := &cli.Command{
		Name:  "filbertstile",
		Usage: "operate a filbertstile deployment",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagAdmin, Usage: "IP and port of an entry's administration API", Sources: cli.EnvVars("FILBERTSTILE_ADMIN"), Value: "127.0.0.1:7003"},
			&cli.StringFlag{Name: flagToken, Usage: "file that contains the operator's token", Sources: cli.EnvVars("FILBERTSTILE_TOKEN_FILE")},
			&cli.BoolFlag{Name: flagJSON, Usage: "print the output as JSON"},
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

// run executes the command.
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
		Out: out, Cmd: cmd, authorization: "Bearer " + token, json: cmd.Bool(flagJSON),
		api: requester.New(requester.Config{Address: cmd.String(flagAdmin), Network: connector.NewTCP(), Timeout: callTimeout}),
	}
	defer s.api.Close()
	return c.Run(ctx, s)
}

// ErrRejected reports an error response of the administration API.
type ErrRejected struct {
	Step   string
	Peer   string
	Status int
	// Problem describes the error; it is empty if the response has no valid problem
	// document.
	Problem responder.ProblemDetail
}

// Error returns a message with the step and the problem, or with the peer and the
// status if there is no problem document.
func (e ErrRejected) Error() string {
	if e.Problem.Code == "" {
		return fmt.Sprintf("%s: peer %s responded with status %d", e.Step, e.Peer, e.Status)
	}
	return fmt.Sprintf("%s: %s: %s", e.Step, e.Problem.Code, e.Problem.Message)
}

// call calls the administration API and decodes the response into dst. If dst is a
// *json.RawMessage, it stores the body as it is.
func (s *Session) call(ctx context.Context, step, method, path string, query url.Values, body []byte, dst any) error {
	resp, err := s.api.Do(ctx, requester.Call{
		Step: step, Method: method, Path: "/admin/v1/" + path, Query: query, Body: body,
		Headers: []requester.Header{{Name: fasthttp.HeaderAuthorization, Value: s.authorization}},
	})
	if err != nil {
		return err
	}
	if resp.Status != fasthttp.StatusOK {
		var p responder.Problem
		// The problem stays empty if the body is not a problem document.
		_ = json.Unmarshal(resp.Body, &p)
		return ErrRejected{Step: step, Peer: s.api.Address(), Status: resp.Status, Problem: p.Error}
	}
	if raw, ok := dst.(*json.RawMessage); ok {
		*raw = resp.Body
		return nil
	}
	if err := json.Unmarshal(resp.Body, dst); err != nil {
		return fmt.Errorf("%s: peer %s: %w", step, s.api.Address(), err)
	}
	return nil
}

// print writes the value as indented JSON.
func (s *Session) print(v any) error {
	enc := json.NewEncoder(s.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func apply(ctx context.Context, s *Session) error { return proposeFile(ctx, s, s.Cmd.Bool(flagDryRun)) }

// proposeFile proposes the change in the release-notes file that the command line
// names.
func proposeFile(ctx context.Context, s *Session, dryRun bool) error {
	path := s.Cmd.Args().First()
	if path == "" {
		return filbertstile.ErrField{Step: s.Cmd.Name, Field: "FILE", Problem: "missing"}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read release notes: %w", err)
	}
	p := relayer.Proposal{Base: s.Cmd.Uint64(flagBase), DryRun: dryRun}
	if err := configurer.Decode(data, &p.Notes); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return s.propose(ctx, p)
}

// propose sends the proposal and prints the diff.
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
		fmt.Fprintf(s.Out, "dry run: the change would be revision %d; nothing was changed\n", out.Revision)
		return nil
	}
	fmt.Fprintf(s.Out, "accepted as revision %d; %d of %d relays have received it\n", out.Revision, out.PushedTo, out.Relays)
	return nil
}

// setMark returns the Run function of the commands that mark an object of the kind as
// in or out of service.
func setMark(kind filbertstile.MarkKind) func(context.Context, *Session) error {
	return func(ctx context.Context, s *Session) error {
		state, name := s.Cmd.Args().Get(0), s.Cmd.Args().Get(1)
		if state != "out" && state != "in" {
			return filbertstile.ErrField{Step: s.Cmd.Name, Field: "out|in", Problem: fmt.Sprintf("must be out or in, is %q", state)}
		}
		if name == "" {
			return filbertstile.ErrField{Step: s.Cmd.Name, Field: "NAME", Problem: "missing"}
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
		rows, ok := all[table]
		if !ok {
			return filbertstile.ErrField{Step: "get", Field: "TABLE", Problem: fmt.Sprintf("unknown table %q; must be Accounts, Marks, Releases, Services or Tiers", table)}
		}
		raw = rows
	}
	return s.printRaw(raw)
}

// printRaw writes the JSON document with indentation.
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
		return filbertstile.ErrField{Step: "dump", Field: "PROCESS", Problem: "missing"}
	}
	var raw json.RawMessage
	if err := s.call(ctx, "dump", "GET", "dump/"+name, nil, nil, &raw); err != nil {
		return err
	}
	return s.printRaw(raw)
}

// Markdown returns the command table as a Markdown page, docs/COMMANDS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Commands of filbertstile\n\nGenerated by `make docs` from the command table in package operator.\n\n")
	b.WriteString("Global flags, before the command: `--admin IP:PORT` (or `FILBERTSTILE_ADMIN`), `--token-file FILE` (or\n`FILBERTSTILE_TOKEN_FILE`), `--json`.\n\n")
	b.WriteString("| Group | Command | Aliases | Flags | Description |\n|---|---|---|---|---|\n")
	for _, c := range Commands() {
		var flags []string
		for _, f := range c.Flags {
			flags = append(flags, "`--"+f.Names()[0]+"`")
		}
		fmt.Fprintf(&b, "| %s | `%s` | %s | %s | %s |\n", c.Group, strings.ReplaceAll(strings.TrimSpace(c.Name+" "+c.Args), "|", "\\|"), strings.Join(c.Aliases, " "), strings.Join(flags, " "), c.Help)
	}
	return b.String()
}
