package peerrunner

import (
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/selector"
	"filbertstile.example/filbertstile/shells/sharer"
)

// maxCopyAge is the age from which the host's copies count as old. Entries send those that
// change rarely, such as members, with an age of up to 9 s.
const maxCopyAge = 12 * time.Second

// copiesTimeout is how long a host that has just started waits for copies of entries. It is
// longer than entries that start at the same moment take to have some.
const copiesTimeout = 3 * time.Second

// listSpread is the time over which hosts that have got no copies from entries list the
// members. Large lists to all of them at once fill the link to the store.
const listSpread = 4 * time.Second

// newSharer returns the sharer of the host's copies. A host follows any entry of its failure
// domain, and none follows it.
func (p *Peer) newSharer() *sharer.Sharer {
	return sharer.New(sharer.Config{
		Self: p.config.Self, Choose: selector.ChooseAny, Peers: p.domainEntries, Clock: p.config.Clock, Client: p.client, Log: p.config.Log, StartTimeout: copiesTimeout,
		Contacts: p.sources.Contacts, TurnSpread: listSpread,
		Copies: []sharer.SharedCopy{{Copy: p.sources.Weights, MaxAge: maxCopyAge}, {Copy: p.sources.Members, MaxAge: maxCopyAge, Bootstrap: true}},
	})
}

// domainEntries returns the registered entries of the host's failure domain, from the contacts
// before the members are listed.
func (p *Peer) domainEntries() []sharer.Peer {
	var out []sharer.Peer
	known := p.sources.Members.View()
	if !known.Listed {
		known = p.sources.Contacts.View()
	}
	for _, m := range known.Rows.All() {
		if m.Role == filbertstile.RoleEntry && m.Domain == p.config.Self.Domain {
			out = append(out, sharer.Peer{Member: m})
		}
	}
	return out
}
