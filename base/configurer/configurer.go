// Package configurer reads settings in JSON with comments, checks every key
// against the settings' type, and describes them for the reference page.
package configurer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"

	"filbertstile.example/filbertstile"
)

const step = "read settings"

// Duration is a time span, written like "1.5s".
type Duration time.Duration

// UnmarshalJSON reads the span from a string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("want a duration like \"2s\", got %s", data)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("want a duration like \"2s\", got %q", s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes the span as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Checker is implemented by settings that check themselves as a whole.
type Checker interface {
	// Check returns every problem, each as filbertstile.ErrField.
	Check() error
}

// Load reads a file into the settings, which hold the defaults.
func Load(path string, into Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%s: %w", step, err)
	}
	if err := Parse(data, into); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// Parse reads the text into the settings and checks them.
func Parse(data []byte, into Checker) error {
	if err := Decode(data, into); err != nil {
		return err
	}
	return into.Check()
}

// Decode reads JSON with comments into the value. Unknown keys, repeated keys
// and values of the wrong type are refused with their line.
func Decode(data []byte, into any) error {
	v, err := hujson.Parse(data)
	if err != nil {
		return filbertstile.ErrField{Step: step, Field: "file", Problem: err.Error()}
	}
	w := &walker{data: data}
	w.value(v, reflect.TypeOf(into).Elem(), "")
	if err := w.problems.Err(); err != nil {
		return err
	}
	v.Standardize()
	dec := json.NewDecoder(bytes.NewReader(v.Pack()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return filbertstile.ErrField{Step: step, Field: "file", Problem: err.Error()}
	}
	return nil
}

type walker struct {
	data     []byte
	problems errs.Group
}

func (w *walker) line(offset int) int { return 1 + bytes.Count(w.data[:offset], []byte("\n")) }

func (w *walker) fail(at hujson.Value, field, format string, args ...any) {
	w.problems.Add(filbertstile.ErrField{Step: step, Field: field, Line: w.line(at.StartOffset), Problem: fmt.Sprintf(format, args...)})
}

// ownJSON tells whether the type reads itself, so that the walk ends there.
func ownJSON(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]())
}

func (w *walker) value(v hujson.Value, t reflect.Type, field string) {
	if ownJSON(t) {
		w.decodes(v, t, field)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		w.object(v, t, field)
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			return
		}
		arr, ok := v.Value.(*hujson.Array)
		if !ok {
			w.fail(v, field, "must be a list")
			return
		}
		for i, e := range arr.Elements {
			w.value(e, t.Elem(), fmt.Sprintf("%s[%d]", field, i))
		}
	default:
		w.decodes(v, t, field)
	}
}

func (w *walker) decodes(v hujson.Value, t reflect.Type, field string) {
	std := v.Clone()
	std.Standardize()
	if err := json.Unmarshal(std.Pack(), reflect.New(t).Interface()); err != nil {
		w.fail(v, field, "%s", strings.TrimPrefix(err.Error(), "json: "))
	}
}

func (w *walker) object(v hujson.Value, t reflect.Type, field string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		w.fail(v, field, "must be an object with the keys %s", strings.Join(Keys(t), ", "))
		return
	}
	seen := make(map[string]bool)
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		path := strings.TrimPrefix(field+"."+name, ".")
		f, known := t.FieldByName(name)
		switch {
		case !known || f.Anonymous:
			w.fail(m.Name, path, "is not a known key; allowed here: %s", strings.Join(Keys(t), ", "))
		case seen[name]:
			w.fail(m.Name, path, "is given twice")
		default:
			w.value(m.Value, f.Type, path)
		}
		seen[name] = true
	}
}

// Keys returns the keys that an object of the type may have.
func Keys(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		out = append(out, t.Field(i).Name)
	}
	slices.Sort(out)
	return out
}

// Markdown describes the settings of one program, from the doc tags of the
// type and the defaults that the value holds.
func Markdown(title string, defaults any) string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n| Key | Default | Meaning |\n|---|---|---|\n", title)
	describe(&b, "", reflect.ValueOf(defaults).Elem())
	b.WriteString("\n")
	return b.String()
}

func describe(b *strings.Builder, prefix string, v reflect.Value) {
	t := v.Type()
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + f.Name
		if f.Type.Kind() == reflect.Struct {
			describe(b, name+".", v.Field(i))
			continue
		}
		if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
			fmt.Fprintf(b, "| `%s` | `[]` | %s |\n", name, f.Tag.Get("doc"))
			describe(b, name+"[].", reflect.New(f.Type.Elem()).Elem())
			continue
		}
		value, err := json.Marshal(v.Field(i).Interface())
		if err != nil {
			panic(err) // settings are plain values and always encode
		}
		fmt.Fprintf(b, "| `%s` | `%s` | %s |\n", name, strings.ReplaceAll(string(value), "null", "[]"), f.Tag.Get("doc"))
	}
}
