package reporter_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"filbertstile.example/filbertstile/base/reporter"
)

// TestCatalogueMatchesCode guards against events in the catalogue that no code logs,
// events in the code that are not in the catalogue, and duplicate event numbers.
func TestCatalogueMatchesCode(t *testing.T) {
	uses := regexp.MustCompile(`reporter\.([A-Z][A-Za-z]+)\b`)
	used := make(map[string]bool)
	err := filepath.WalkDir(filepath.Join("..", ".."), func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, m := range uses.FindAllStringSubmatch(string(data), -1) {
			used[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	known := make(map[string]bool)
	numbers := make(map[reporter.Event]string)
	for _, e := range reporter.Catalogue {
		known[e.Name] = true
		if !used[e.Name] {
			t.Errorf("event %d %s is never logged", e.Event, e.Name)
		}
		if other, ok := numbers[e.Event]; ok {
			t.Errorf("events %s and %s share the number %d", other, e.Name, e.Event)
		}
		numbers[e.Event] = e.Name
	}
	notEvents := map[string]bool{"Fields": true, "Log": true, "New": true, "Config": true, "Event": true, "Subsystems": true, "Markdown": true, "Catalogue": true, "Writer": true, "NewWriter": true}
	for name := range used {
		if !known[name] && !notEvents[name] {
			t.Errorf("reporter.%s is not in the catalogue", name)
		}
	}
}
