package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/shells/edgerunner"
)

const (
	flagKeyFile      = "key-file"
	flagPromptTokens = "prompt-tokens"
	flagOutputTokens = "output-tokens"
	flagOutputHint   = "output-hint"
	flagTimeout      = "timeout"
	// maxShownCandidates is the number of candidates that are shown as text.
	maxShownCandidates = 12
)

// explainCommand returns the command that explains where a request would go.
func explainCommand() Command {
	return Command{
		Name: "explain", Group: groupInspection, Args: "HOST-NAME PATH",
		Help: "show where an entry would send a request now, and why, without sending it; on the platform, --admin names the entry's address for metrics; otherwise, HOST-NAME is the service, PATH is /v1/chat/completions, and the key is the caller's token",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagKeyFile, Usage: "file that contains the caller's API key"},
			&cli.IntFlag{Name: flagPromptTokens, Usage: "length of the prompt in tokens"},
			&cli.IntFlag{Name: flagOutputTokens, Usage: "maximum length of the output in tokens"},
			&cli.IntFlag{Name: flagOutputHint, Usage: "length of the output in tokens that the caller expects"},
			&cli.DurationFlag{Name: flagTimeout, Usage: "time for which the caller waits"},
		},
		Run: explain,
	}
}

func explain(ctx context.Context, s *Session) error {
	req := edgerunner.ExplainRequest{
		HostName: s.Cmd.Args().Get(0), Path: s.Cmd.Args().Get(1), PromptTokens: s.Cmd.Int(flagPromptTokens),
		OutputTokens: s.Cmd.Int(flagOutputTokens), OutputHint: s.Cmd.Int(flagOutputHint), Timeout: s.Cmd.Duration(flagTimeout),
	}
	if req.HostName == "" || req.Path == "" {
		return filbertstile.ErrField{Step: "explain", Field: "HOST-NAME PATH", Problem: "missing"}
	}
	if path := s.Cmd.String(flagKeyFile); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("read key: %w", err)
		}
		req.Key = strings.TrimSpace(string(data))
	}
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	var out edgerunner.RequestExplanation
	if err := s.call(ctx, "explain", "POST", "explain", nil, body, &out); err != nil {
		return err
	}
	if s.json {
		return s.print(out)
	}
	s.printExplanation(out)
	return nil
}

func (s *Session) printExplanation(x edgerunner.RequestExplanation) {
	fmt.Fprintf(s.Out, "entry %s: ready %t, leaving %t\n", x.Entry, x.Ready, x.Leaving)
	if x.Rejected != "" {
		fmt.Fprintf(s.Out, "Reject before placement: %s: %s\n", x.Rejected, x.Detail)
		return
	}
	p := x.Placement
	fmt.Fprintf(s.Out, "route %s, service %s, account %q, priority %d\n", x.Route, x.Service, x.Account, x.Priority)
	fmt.Fprintf(s.Out, "%s %s: %s\n", p.Decision, p.Replica, p.Reason)
	if x.Short != "" {
		fmt.Fprintf(s.Out, "short: %s\n", x.Short)
	}
	if p.RetryAfter != "" {
		fmt.Fprintf(s.Out, "retry after about %s\n", p.RetryAfter)
	}
	if p.Reserve > 0 || p.Free > 0 {
		fmt.Fprintf(s.Out, "%d slots are free, %d are left to more urgent requests; %d requests are ahead in the queue\n", p.Free, p.Reserve, p.Queued)
	}
	fmt.Fprintf(s.Out, "%-20s %-12s %9s %6s %8s %6s %9s %7s  %s\n", "REPLICA", "DOMAIN", "IN FLIGHT", "QUEUED", "TOKENS", "PACE", "FIRST", "SCORE", "NOT FREE BECAUSE")
	for i, c := range p.Candidates {
		if i == maxShownCandidates {
			fmt.Fprintf(s.Out, "and %d more; --json shows all\n", len(p.Candidates)-i)
			break
		}
		fmt.Fprintf(s.Out, "%-20s %-12s %6d/%-2d %6d %8d %6.1f %9s %7.1f  %s\n", c.Replica, c.Domain, c.InFlight, c.Slots, c.Waiting, c.PendingTokens, c.Pace, c.FirstEvent, c.Score, c.Obstacle)
	}
}
