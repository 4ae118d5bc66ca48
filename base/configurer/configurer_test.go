package configurer_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/base/configurer"
	"filbertstile.example/filbertstile/rigs/imitator"
	"filbertstile.example/filbertstile/shells/relayer"
)

func TestExampleSettingsLoad(t *testing.T) {
	is := is.New(t)
	is.NoErr(configurer.Load("../../examples/separate/entry-1.jsonc", configurer.DefaultEntry()))
	is.NoErr(configurer.Load("../../examples/separate/host-1.jsonc", configurer.DefaultHost()))
	is.NoErr(configurer.Load("../../examples/separate/host-2.jsonc", configurer.DefaultHost()))
	is.NoErr(configurer.Load("../../examples/separate/standins.jsonc", imitator.DefaultSettings()))
}

// example returns a valid settings file of a host.
func example(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/separate/host-1.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestErrorsNameTheField guards against errors that do not say which key is invalid,
// where and why. Each case puts one mistake into a valid file.
func TestErrorsNameTheField(t *testing.T) {
	for _, c := range []struct {
		name, old, replacement string
		want                   []string
	}{
		{"unknown key", `"Service":`, `"Servcie":`, []string{"Servcie", "line 6", "allowed here", "MaxRunning"}},
		{"unknown nested key", `"Region": "izmir", "Domain"`, `"Regoin": "izmir", "Domain"`, []string{"Identity.Regoin", "line 3"}},
		{"duplicate key", `"Service":`, `"Kind": "Model", "Service":`, []string{"Kind", "given twice"}},
		{"string instead of a number", `2.5e6`, `"fast"`, []string{"RegionBytesPerSecond", "line 11"}},
		{"string instead of a list", `["127.0.0.1:7102"]`, `"127.0.0.1:7102"`, []string{"WeightSources", "must be a list"}},
		{"host name instead of an IP", `"127.0.0.1:7110"`, `"engine:7110"`, []string{"Backend", "not the host name"}},
		{"missing required key", `"Service": "filbert-models",`, ``, []string{"Service", "missing"}},
		{"weight sources of a plain service", `"Kind": "Model"`, `"Kind": "Plain"`, []string{"WeightSources", "contradicts"}},
		{"key in the wrong case", `"Service":`, `"service":`, []string{"service", "not a known key"}},
		{"broken JSON", `"Service":`, `"Service"`, []string{"file"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(example(t), c.old, c.replacement, 1)
			is.True(text != example(t))
			err := configurer.Parse([]byte(text), configurer.DefaultHost())
			is.True(err != nil)
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error does not contain %q: %v", want, err)
				}
			}
		})
	}
}

func TestLoadMissingFile(t *testing.T) {
	is := is.New(t)
	err := configurer.Load(filepath.Join(t.TempDir(), "none.jsonc"), configurer.DefaultEntry())
	is.True(err != nil)
}

// FuzzDecode guards against input that panics or returns an error without a message.
// It decodes mutated release notes.
func FuzzDecode(f *testing.F) {
	notes, err := os.ReadFile("../../examples/separate/notes.jsonc")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(notes)
	f.Add([]byte(`{"Notes": {"Added": {"Tiers": [{"Name": 1}]}}}`))
	f.Add([]byte(`{"Marks": [null], "Base": -1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var p relayer.Proposal
		if err := configurer.Decode(data, &p); err != nil && err.Error() == "" {
			t.Error("error with an empty message")
		}
	})
}
