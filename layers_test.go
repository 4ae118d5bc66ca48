package filbertstile_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const module = "filbertstile.example/filbertstile/"

// layers lists the top-level folders from the lowest layer to the highest.
var layers = []string{"base", "decisions", "outside", "transport", "shells", "platform", "operators", "rigs", "cmd"}

// layerOf returns the index of the path's layer, or -1 if it is in none.
func layerOf(path string) int {
	first, _, _ := strings.Cut(filepath.ToSlash(path), "/")
	return slices.Index(layers, first)
}

// TestNoImportOfHigherLayer guards against non-test code that imports a package
// of a higher layer.
func TestNoImportOfHigherLayer(t *testing.T) {
	is := is.New(t)
	files := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || layerOf(path) < 0 ||
			filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			folder, internal := strings.CutPrefix(imported, module)
			if internal && layerOf(folder) > layerOf(path) {
				t.Errorf("%s imports %s, which is in a higher layer", path, folder)
			}
		}
		return nil
	})
	is.NoErr(err)
	is.True(files > 0)
}
