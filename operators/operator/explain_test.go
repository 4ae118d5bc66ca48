package operator_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/shells/edgerunner"
)

// TestExplainOnProductInterface guards against an entry of the product that does not say where a request for
// a model would go, counts it as a request, or accepts a token that requests would not be accepted with.
func TestExplainOnProductInterface(t *testing.T) {
	withSystem(t, func(run func(args ...string) (string, error)) {
		is := is.New(t)
		_, err := run("apply", "../../examples/separate/notes.jsonc")
		is.NoErr(err)
		_, err = run("watch")
		is.NoErr(err)
		key := filepath.Join(t.TempDir(), "key")
		is.NoErr(os.WriteFile(key, []byte("clerk-token\n"), 0o600))
		explain := func(args ...string) (x edgerunner.RequestExplanation) {
			out, err := run(append([]string{"--json", "explain", "--key-file", key}, args...)...)
			is.NoErr(err)
			is.NoErr(json.Unmarshal([]byte(out), &x))
			return x
		}
		x := explain("filbert-models", "/v1/chat/completions")
		for deadline := time.Now().Add(time.Minute); x.Placement.Decision != placer.WouldPlace && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			x = explain("filbert-models", "/v1/chat/completions") // the weights are on their way
		}
		is.Equal(x.Rejected, "")
		is.Equal(x.Account, "clerk")
		is.Equal(x.Placement.Decision, placer.WouldPlace)
		is.Equal(len(x.Placement.Candidates), 1)
		is.Equal(x.Placement.Candidates[0].Replica, x.Placement.Replica)
		is.True(x.Placement.Candidates[0].Slots > 0)
		out, err := run("explain", "--key-file", key, "filbert-models", "/v1/chat/completions")
		is.NoErr(err)
		is.True(strings.Contains(out, "Place "+x.Placement.Replica))
		is.Equal(explain("nothing", "/v1/chat/completions").Rejected, "UnknownService")
		is.Equal(explain("royalty-ledger", "/v1/chat/completions").Rejected, "BadRequest")
		is.Equal(explain("filbert-models", "/elsewhere").Rejected, "BadRequest")
		is.NoErr(os.WriteFile(key, []byte("nobody"), 0o600))
		x = explain("filbert-models", "/v1/chat/completions")
		is.Equal(x.Rejected, "NoToken")
		is.Equal(x.Short, filbertstile.ResourceNone)
		_, err = run("--token-file", key, "explain", "filbert-models", "/v1/chat/completions")
		is.True(err != nil) // not an operator's token
		dump, err := run("dump", "entry-1")
		is.NoErr(err)
		is.True(strings.Contains(dump, `"Calls": 0`))
	})
}
