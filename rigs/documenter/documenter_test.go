package documenter_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile/rigs/documenter"
)

const docs = "../../docs"

func TestPagesAreCurrent(t *testing.T) {
	is := is.New(t)
	is.NoErr(documenter.Check(docs))
}

// TestCheckReportsStalePage guards against a check that accepts a page that was edited or
// not regenerated.
func TestCheckReportsStalePage(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	for _, name := range []string{documenter.FiguresFile, documenter.SweepFile} {
		figures, err := os.ReadFile(filepath.Join(docs, name))
		is.NoErr(err)
		is.NoErr(os.WriteFile(filepath.Join(dir, name), figures, 0o600))
	}
	is.NoErr(documenter.Write(dir))
	is.NoErr(documenter.Check(dir))
	is.NoErr(os.WriteFile(filepath.Join(dir, "LOGS.md"), []byte("# Log events\n"), 0o600))
	err := documenter.Check(dir)
	stale, ok := err.(documenter.ErrStale)
	is.True(ok)
	is.Equal(stale.Page, "LOGS.md")
}
