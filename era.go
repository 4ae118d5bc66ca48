package filbertstile

import "strconv"

// Era is an era of the platform's object store: the number of times that the store has come back from
// an older copy of its data. The zero Era is none. The first era of a store may have the number 0.
type Era struct {
	number uint64
	known  bool
}

// NewEra returns the era with the number.
func NewEra(number uint64) Era { return Era{number: number, known: true} }

// Known reports whether there is an era.
func (e Era) Known() bool { return e.known }

// Number returns the number of the era; it means nothing if there is none.
func (e Era) Number() uint64 { return e.number }

// Before reports whether the era comes before the one with the number. It does if there is none.
func (e Era) Before(number uint64) bool { return !e.known || e.number < number }

// String returns the number, or None.
func (e Era) String() string {
	if !e.known {
		return "None"
	}
	return strconv.FormatUint(e.number, 10)
}
