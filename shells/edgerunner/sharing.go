package edgerunner

import (
	"cmp"
	"context"
	"time"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/selector"
	"filbertstile.example/filbertstile/shells/sharer"
	"filbertstile.example/filbertstile/transport/messenger"
)

// Ages from which copies count as old. Each is somewhat longer than the time between two
// confirmations by a process that reads the store, and leaves another process the time to
// take over before the copy is too old to be used.
const (
	maxRoutingAge  = 1200 * time.Millisecond
	maxReplicasAge = 3200 * time.Millisecond
	maxMarksAge    = 5500 * time.Millisecond
	maxWeightsAge  = 5500 * time.Millisecond
	maxMembersAge  = 9 * time.Second
)

// copiesTimeout is how long an entry that has just started waits for copies of others.
const copiesTimeout = time.Second

// idleSessionTimeout is how long the session to another entry is kept without a stream.
const idleSessionTimeout = 3 * time.Second

// newSharer returns the sharer of the entry's copies, or nil if Config.Messages is nil.
func (e *Edge) newSharer() *sharer.Sharer {
	if e.config.Messages == nil {
		return nil
	}
	var contacts sharer.Copy
	if e.sources.Contacts != nil {
		contacts = e.sources.Contacts
	}
	return sharer.New(sharer.Config{
		Self: e.config.Self, Contacts: contacts, Choose: selector.Choose, Peers: e.domainPeers, Clock: e.config.Clock, Client: e.config.Messages, Log: e.config.Log,
		OnReaderChange: e.readerChanged, StartTimeout: copiesTimeout,
		Copies: []sharer.SharedCopy{
			{Copy: e.sources.Routing, MaxAge: maxRoutingAge},
			{Copy: e.sources.Replicas, MaxAge: maxReplicasAge},
			{Copy: e.sources.Marks, MaxAge: maxMarksAge},
			{Copy: e.sources.Weights, MaxAge: maxWeightsAge},
			{Copy: e.sources.Members, MaxAge: maxMembersAge, Bootstrap: true},
		},
	})
}

// domainPeers returns the other registered entries of the failure domain.
func (e *Edge) domainPeers() []sharer.Peer {
	live := e.pulser.Peers()
	var out []sharer.Peer
	for _, m := range e.knownMembers() {
		if m.Role != filbertstile.RoleEntry || m.Domain != e.config.Self.Domain || m.Name == e.config.Self.Name {
			continue
		}
		p, ok := live[m.Name]
		out = append(out, sharer.Peer{Member: m, Heard: ok && !p.Pulse.GetLeaving(), Reader: p.Pulse.GetReader()})
	}
	return out
}

// knownMembers returns the members or, before they are listed, the contacts.
func (e *Edge) knownMembers() []filbertstile.Member {
	if v := e.sources.Members.View(); v.Listed || e.sources.Contacts == nil {
		return v.Rows.All()
	}
	return e.sources.Contacts.View().Rows.All()
}

// readerChanged tells the other entries at once that this one reads the store, or no
// longer does. Only one that does records the era.
func (e *Edge) readerChanged() {
	e.mu.Lock()
	e.otherGroupsSentAt = time.Time{}
	e.mu.Unlock()
	e.pulser.SendNow()
	e.requestRecord()
}

// sourceName returns the name of the entry that this one follows, or its own if it reads the
// store.
func (e *Edge) sourceName() string {
	if e.sharer == nil {
		return e.config.Self.Name
	}
	return cmp.Or(e.sharer.Source().Follows, e.config.Self.Name)
}

// isReader reports whether others may follow this entry.
func (e *Edge) isReader() bool { return e.sharer != nil && e.sharer.Reader() }

// HandleMessage serves the request of another process.
func (e *Edge) HandleMessage(ctx context.Context, req *wire.Request, s *messenger.Stream) {
	if req.GetFollow() != nil && e.sharer != nil {
		e.sharer.Serve(ctx, req, s)
	}
}
