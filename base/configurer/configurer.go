// Package configurer reads settings files in JSON with comments, checks every key
// against the Go type of the settings, and generates the settings reference.
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

// Duration is a time.Duration that is written as a string such as "1.5s".
type Duration time.Duration

// UnmarshalJSON parses a duration string.
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

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Checker is implemented by settings that can validate themselves.
type Checker interface {
	// Check returns all problems, each as a filbertstile.ErrField.
	Check() error
}

// Load reads a file into the settings and validates them. The settings initially
// hold the defaults.
func Load(path string, settings Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%s: %w", step, err)
	}
	if err := Parse(data, settings); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// Parse decodes the data into the settings and validates them.
func Parse(data []byte, settings Checker) error {
	if err := Decode(data, settings); err != nil {
		return err
	}
	return settings.Check()
}

// Decode decodes JSON with comments into the value that dst points to. It rejects
// unknown keys, duplicate keys and values of the wrong type, and returns their line
// numbers.
func Decode(data []byte, dst any) error {
	v, err := hujson.Parse(data)
	if err != nil {
		return filbertstile.ErrField{Step: step, Field: "file", Problem: err.Error()}
	}
	c := &typeChecker{data: data}
	c.checkValue(v, reflect.TypeOf(dst).Elem(), "")
	if err := c.problems.Err(); err != nil {
		return err
	}
	v.Standardize()
	dec := json.NewDecoder(bytes.NewReader(v.Pack()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return filbertstile.ErrField{Step: step, Field: "file", Problem: err.Error()}
	}
	return nil
}

// typeChecker checks a parsed document against a Go type and collects the problems.
type typeChecker struct {
	data     []byte
	problems errs.Group
}

// line returns the line number of the offset, starting at 1.
func (c *typeChecker) line(offset int) int { return 1 + bytes.Count(c.data[:offset], []byte("\n")) }

func (c *typeChecker) addProblem(at hujson.Value, field, format string, args ...any) {
	c.problems.Add(filbertstile.ErrField{Step: step, Field: field, Line: c.line(at.StartOffset), Problem: fmt.Sprintf(format, args...)})
}

// hasUnmarshaler reports whether the type decodes its own JSON, so that its fields
// are not checked one by one.
func hasUnmarshaler(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]())
}

func (c *typeChecker) checkValue(v hujson.Value, t reflect.Type, field string) {
	if hasUnmarshaler(t) {
		c.checkDecodes(v, t, field)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		c.checkObject(v, t, field)
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			return
		}
		arr, ok := v.Value.(*hujson.Array)
		if !ok {
			c.addProblem(v, field, "must be a list")
			return
		}
		for i, e := range arr.Elements {
			c.checkValue(e, t.Elem(), fmt.Sprintf("%s[%d]", field, i))
		}
	default:
		c.checkDecodes(v, t, field)
	}
}

// checkDecodes checks that encoding/json can decode the value into the type.
func (c *typeChecker) checkDecodes(v hujson.Value, t reflect.Type, field string) {
	std := v.Clone()
	std.Standardize()
	if err := json.Unmarshal(std.Pack(), reflect.New(t).Interface()); err != nil {
		c.addProblem(v, field, "%s", strings.TrimPrefix(err.Error(), "json: "))
	}
}

func (c *typeChecker) checkObject(v hujson.Value, t reflect.Type, field string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		c.addProblem(v, field, "must be an object with the keys %s", strings.Join(Keys(t), ", "))
		return
	}
	seen := make(map[string]bool)
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		path := strings.TrimPrefix(field+"."+name, ".")
		f, known := t.FieldByName(name)
		switch {
		case !known || f.Anonymous:
			c.addProblem(m.Name, path, "is not a known key; allowed here: %s", strings.Join(Keys(t), ", "))
		case seen[name]:
			c.addProblem(m.Name, path, "is given twice")
		default:
			c.checkValue(m.Value, f.Type, path)
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

// Markdown returns the reference of a program's settings as a Markdown section. The
// texts are the doc tags of the type; defaults points to the default settings.
func Markdown(title string, defaults any) string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n| Key | Default | Meaning |\n|---|---|---|\n", title)
	describe(&b, "", reflect.ValueOf(defaults).Elem())
	b.WriteString("\n")
	return b.String()
}

// describe writes a table row for each field of v, with nested fields under prefix.
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
