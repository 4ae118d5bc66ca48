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

func TestExamplesAreInOrder(t *testing.T) {
	is := is.New(t)
	is.NoErr(configurer.Load("../../examples/separate/entry-1.jsonc", configurer.DefaultEntry()))
	is.NoErr(configurer.Load("../../examples/separate/host-1.jsonc", configurer.DefaultHost()))
	is.NoErr(configurer.Load("../../examples/separate/host-2.jsonc", configurer.DefaultHost()))
	is.NoErr(configurer.Load("../../examples/separate/standins.jsonc", imitator.DefaultSettings()))
}

func example(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/separate/host-1.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestMistakesAreNamed makes one mistake at a time.
func TestMistakesAreNamed(t *testing.T) {
	for _, c := range []struct {
		name, old, next string
		want            []string
	}{
		{"unknown key", `"Service":`, `"Servcie":`, []string{"Servcie", "line 6", "allowed here", "MaxRunning"}},
		{"unknown key inside", `"Region": "izmir", "Domain"`, `"Regoin": "izmir", "Domain"`, []string{"Identity.Regoin", "line 3"}},
		{"twice", `"Service":`, `"Kind": "Model", "Service":`, []string{"Kind", "given twice"}},
		{"wrong type", `2.5e6`, `"fast"`, []string{"RegionBytesPerSecond", "line 11"}},
		{"not a list", `["127.0.0.1:7102"]`, `"127.0.0.1:7102"`, []string{"WeightSources", "must be a list"}},
		{"host name", `"127.0.0.1:7110"`, `"engine:7110"`, []string{"Backend", "not the host name"}},
		{"missing", `"Service": "filbert-models",`, ``, []string{"Service", "missing"}},
		{"contradiction", `"Kind": "Model"`, `"Kind": "Plain"`, []string{"WeightSources", "contradicts"}},
		{"other case", `"Service":`, `"service":`, []string{"service", "not a known key"}},
		{"broken JSON", `"Service":`, `"Service"`, []string{"file"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(example(t), c.old, c.next, 1)
			is.True(text != example(t))
			err := configurer.Parse([]byte(text), configurer.DefaultHost())
			is.True(err != nil)
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error lacks %q: %v", want, err)
				}
			}
		})
	}
}

func TestMissingFile(t *testing.T) {
	is := is.New(t)
	err := configurer.Load(filepath.Join(t.TempDir(), "none.jsonc"), configurer.DefaultEntry())
	is.True(err != nil)
}

// FuzzDecode feeds release notes: a refusal must be an error, never a panic.
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
			t.Error("a refusal without words")
		}
	})
}
