package entryrunner

import (
	"encoding/json"
	"testing"
)

// FuzzParseCompletion guards against accepted bodies that are not valid JSON, do not
// request a stream or lack the service or the messages, and against errors that do not
// name the invalid field.
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
				t.Errorf("%q: the error does not name the invalid field", raw)
			}
			return
		}
		var out struct {
			Stream bool `json:"stream"`
		}
		if json.Unmarshal(body, &out) != nil || !out.Stream || in.Model == "" || len(in.Messages) == 0 {
			t.Errorf("%q was accepted as %q", raw, body)
		}
		prefixHash(in.Messages)
	})
}
