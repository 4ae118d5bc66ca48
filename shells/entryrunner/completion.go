package entryrunner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxParallelBytes is the largest body that is parsed beside others.
	maxParallelBytes = 64 << 10
	// parseBytesPerSecond is the rate at which larger ones are parsed. What is parsed while the garbage
	// collector is held up, which took 90 ms on a busy machine, adds to the memory.
	parseBytesPerSecond = 64 << 20
	// maxNames is the maximum number of names in a request. The format has some thirty. Each takes
	// a hundred bytes while the request is parsed: the largest body had room for 400,000.
	maxNames = 1024
)

// completion is the part of a chat completion request that the entry reads.
type completion struct {
	Model    string       `json:"model"`
	Stream   bool         `json:"stream"`
	Messages firstMessage `json:"messages"`
}

// firstMessage is the first element of an array; empty if there is none. The others are not kept,
// as an array of small elements takes many times the memory of its text.
type firstMessage []json.RawMessage

// UnmarshalJSON sets the first element of the array in data, which is valid JSON.
func (f *firstMessage) UnmarshalJSON(data []byte) error {
	*f = nil
	if string(data) == "null" {
		return nil
	}
	if data[0] != '[' {
		return &json.UnmarshalTypeError{Value: "value that is not an array", Type: reflect.TypeFor[[]json.RawMessage]()}
	}
	d := json.NewDecoder(bytes.NewReader(data[1:]))
	if rest := bytes.TrimLeft(data[1:], " \t\r\n"); rest[0] == ']' {
		return nil
	}
	var first json.RawMessage
	if err := d.Decode(&first); err != nil {
		return err
	}
	*f = firstMessage{first}
	return nil
}

// countNames returns the number of names in an object, not counting those of objects in it.
func countNames(raw []byte) int {
	names, depth, inString := 0, 0, false
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			depth--
		case c == ':' && depth == 1:
			names++
		}
	}
	return names
}

// parseInTurn is like parseCompletion. Large bodies are parsed one at a time, as that takes
// several times their size.
func (e *Entry) parseInTurn(raw []byte) (completion, []byte, string, error) {
	if len(raw) > maxParallelBytes {
		e.parsing.Lock()
		defer e.parsing.Unlock()
		time.Sleep(time.Second * time.Duration(len(raw)) / parseBytesPerSecond)
	}
	return parseCompletion(raw)
}

// parseCompletion parses and checks a chat completion request. It returns the body for
// the engine and, with an error, the field that is invalid. The body always requests a
// stream, so that the response can be resumed at another replica.
func parseCompletion(raw []byte) (completion, []byte, string, error) {
	var in completion
	if n := countNames(raw); n > maxNames {
		return in, nil, "body", fmt.Errorf("has %d names, the maximum is %d", n, maxNames)
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(raw, &all); err != nil {
		return in, nil, "body", err
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		field := "body"
		if typed, ok := err.(*json.UnmarshalTypeError); ok {
			field = typed.Field
		}
		return in, nil, field, err
	}
	if in.Model == "" {
		return in, nil, "model", fmt.Errorf("is missing; it must be the name of a service")
	}
	if len(in.Messages) == 0 {
		return in, nil, "messages", fmt.Errorf("must contain at least one message")
	}
	all["stream"] = json.RawMessage("true")
	body, err := encodeObject(all)
	return in, body, "body", err
}

// encodeObject returns the object with the fields, in the order of their names. Package json would
// keep its buffers, of twice the size of the largest object, for each processor.
func encodeObject(fields map[string]json.RawMessage) ([]byte, error) {
	size := 2
	for name, value := range fields {
		size += 2*len(name) + len(value) + 4
	}
	out := append(make([]byte, 0, size), '{')
	for i, name := range slices.Sorted(maps.Keys(fields)) {
		if i > 0 {
			out = append(out, ',')
		}
		encoded, err := json.Marshal(name)
		if err != nil {
			return nil, err
		}
		out = append(append(append(out, encoded...), ':'), fields[name]...)
	}
	return append(out, '}'), nil
}

// prefixHash returns a hash of the start of the prompt. An engine may have cached its work
// on an earlier prompt that starts in the same way.
func prefixHash(messages []json.RawMessage) uint64 {
	first := messages[0]
	return xxhash.Sum64(first[:min(len(first), affinityBytes)])
}
