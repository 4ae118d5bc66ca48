package forwarder

// EventID is the ID of an event of a stream. The zero EventID is none. The IDs of a stream count from
// 0 or from 1.
type EventID struct {
	number int64
	known  bool
}

// NewEventID returns the ID with the number.
func NewEventID(number int64) EventID { return EventID{number: number, known: true} }

// Known reports whether there is an ID.
func (id EventID) Known() bool { return id.known }

// Number returns the ID's number; 0 if there is none.
func (id EventID) Number() int64 { return id.number }

// follows reports whether the event comes right after the last one, or is the first if there is no last one.
func (id EventID) follows(last EventID) bool {
	if !last.known {
		return id.known && (id.number == 0 || id.number == 1)
	}
	return id.known && id.number == last.number+1
}
