package sharer

import (
	"time"

	"filbertstile.example/filbertstile/decisions/selector"
)

// bootstrapListed reports whether all Bootstrap copies are listed.
func (s *Sharer) bootstrapListed() bool {
	for _, c := range s.config.Copies {
		if c.Bootstrap && !isListed(c) {
			return false
		}
	}
	return true
}

// contactsListed reports whether the contacts are listed. Without any, the Bootstrap copies
// are read at once.
func (s *Sharer) contactsListed() bool {
	return s.config.Contacts == nil || isListed(s.config.Contacts)
}

func isListed(c Copy) bool {
	p, _ := c.Position()
	return p.Listed
}

// peersKnown reports whether the peers are all processes that may be followed, or enough of
// them to follow one.
func (s *Sharer) peersKnown(peers []Peer) bool {
	return s.bootstrapListed() || s.config.Contacts != nil && s.contactsListed() && len(peers) > 0
}

// turnHasCome reports whether this process may list the Bootstrap copies because it has got
// none from its contacts.
func (s *Sharer) turnHasCome() bool {
	if s.config.TurnSpread == 0 {
		return true
	}
	return time.Since(s.started) >= s.config.StartTimeout+selector.Turn(s.config.Self.Name, s.config.TurnSpread)
}
