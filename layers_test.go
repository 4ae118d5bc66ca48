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

// layers holds the folders of the tree, lowest first.
var layers = []string{"base", "decisions", "outside", "transport", "shells", "platform", "operators", "rigs", "cmd"}

func layerOf(path string) int {
	first, _, _ := strings.Cut(filepath.ToSlash(path), "/")
	return slices.Index(layers, first)
}

// TestImportsPointDown checks that no package outside the tests imports one of
// a higher layer.
func TestImportsPointDown(t *testing.T) {
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
			below, ours := strings.CutPrefix(imported, module)
			if ours && layerOf(below) > layerOf(path) {
				t.Errorf("%s imports %s of a higher layer", path, below)
			}
		}
		return nil
	})
	is.NoErr(err)
	is.True(files > 0)
}
