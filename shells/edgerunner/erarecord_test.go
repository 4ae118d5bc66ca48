package edgerunner

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
)

// fixedRecord is a record that has an era from the start.
type fixedRecord struct {
	era     filbertstile.Era
	err     error
	written filbertstile.Era
}

func (r *fixedRecord) Read(context.Context) (filbertstile.Era, error) { return r.era, r.err }

func (r *fixedRecord) Write(_ context.Context, _ string, era uint64) error {
	r.written = filbertstile.NewEra(era)
	return r.err
}

// TestAllEntriesStartInNewEra guards against entries that have all started after the store has come
// back from an older copy, and serve what it lists before operators have written again what it has
// lost; and against entries that wait although nothing can be lost.
func TestAllEntriesStartInNewEra(t *testing.T) {
	for _, c := range []struct {
		name   string
		record fixedRecord
		// soon is the code once all others can have answered.
		soon string
	}{
		{"NewSystem", fixedRecord{}, ""},
		{"ComparedInThisEra", fixedRecord{era: filbertstile.NewEra(2)}, ""},
		{"ComparedInTheEraBefore", fixedRecord{era: filbertstile.NewEra(1)}, CodeNotReady},
		{"ComparedInEra0", fixedRecord{era: filbertstile.NewEra(0)}, CodeNotReady},
		{"RecordCannotBeRead", fixedRecord{err: errors.New("the store does not answer")}, CodeNotReady},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, rewritten := range []bool{false, true} {
				withComparingEntry(t, func(is *is.I, e *comparingEntry) {
					e.config.EraRecord, e.comparison = &c.record, newComparison(true)
					e.list(2, 5)
					is.Equal(e.admit(), CodeNotReady)
					_ = e.updateEraRecord(context.Background())
					e.run(compareTimeout)
					is.Equal(e.admit(), c.soon)
					if rewritten {
						e.list(2, 8)
						want := ""
						if c.record.err != nil {
							want = CodeNotReady
						}
						is.Equal(e.admit(), want)
					}
					e.run(rewriteTimeout - compareTimeout)
					is.Equal(e.admit(), "")
				})
			}
		})
	}
}
