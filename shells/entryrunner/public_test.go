package entryrunner

import (
	"encoding/json"
	"testing"
)

// FuzzParseCompletion feeds callers' bodies: whatever is let through is JSON
// that asks the engine to stream, and names a service.
func FuzzParseCompletion(f *testing.F) {
	for _, body := range []string{
		`{"model": "m", "messages": [{"role": "user", "content": "hi"}]}`,
		`{"model": "m", "stream": false, "max_tokens": 3, "messages": [{}]}`,
		`{"model": 1, "messages": []}`, `{"messages": null}`, `[]`, `{`, ``, `null`, `{"model":"m","messages":[1e999]}`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		in, body, field, err := parseCompletion(raw)
		if err != nil {
			if field == "" {
				t.Errorf("%q: a refusal that names no field", raw)
			}
			return
		}
		var out struct {
			Stream bool `json:"stream"`
		}
		if json.Unmarshal(body, &out) != nil || !out.Stream || in.Model == "" || len(in.Messages) == 0 {
			t.Errorf("%q became %q", raw, body)
		}
		prefixHash(in.Messages)
	})
}
