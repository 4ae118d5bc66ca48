package entryrunner

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/decisions/dispatcher"
	"filbertstile.example/filbertstile/decisions/limiter"
	"filbertstile.example/filbertstile/transport/messenger"
)

const demandTimeout = 400 * time.Millisecond

// quotas is what this entry has granted as the owner of accounts.
type quotas struct {
	mu      sync.Mutex
	ledgers map[string]limiter.Ledger
	// heardAt tells when each entry was last in touch.
	heardAt map[string]time.Time
}

func newQuotas() *quotas {
	return &quotas{ledgers: make(map[string]limiter.Ledger), heardAt: make(map[string]time.Time)}
}

// owner returns the entry that is first in the key's rendezvous order.
func owner(members filbertstile.Table[filbertstile.Member], key string) (filbertstile.Member, bool) {
	var best filbertstile.Member
	bestHash := uint64(0)
	found := false
	for _, m := range members.All() {
		if m.Role != filbertstile.RoleEntry || m.Leaving {
			continue
		}
		h := xxhash.Sum64String(key + "\x00" + m.Name)
		if !found || h > bestHash {
			best, bestHash, found = m, h, true
		}
	}
	return best, found
}

// grant answers one entry's demands.
func (e *Entry) grant(now time.Time, from string, rates []*wire.AccountRate) []*wire.AccountRate {
	v := e.node.Holder.View()
	q := e.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.heardAt[from] = now
	entries, unheard := q.count(now, v.Members, e.node.Self().Name)
	out := make([]*wire.AccountRate, 0, len(rates))
	for _, r := range rates {
		a, ok := v.Config.Accounts.Get(r.GetAccount())
		if !ok {
			continue
		}
		l, ok := q.ledgers[a.Name]
		if !ok {
			l = limiter.NewLedger(now)
		}
		round := limiter.GrantParams{Now: now, Rate: a.RatePerSecond, Entries: entries, SilentEntries: unheard}
		l, rate := l.WithGrant(round, from, r.GetPerSecond())
		q.ledgers[a.Name] = l
		out = append(out, &wire.AccountRate{Account: a.Name, PerSecond: rate})
	}
	return out
}

// count returns the number of live entries, and of those out of touch.
func (q *quotas) count(now time.Time, members filbertstile.Table[filbertstile.Member], self string) (entries, unheard int) {
	for _, m := range members.All() {
		if m.Role != filbertstile.RoleEntry || m.Leaving {
			continue
		}
		entries++
		if m.Name != self && now.Sub(q.heardAt[m.Name]) > limiter.LeaseDuration {
			unheard++
		}
	}
	return entries, unheard
}

func (e *Entry) handleDemand(from string, d *wire.Demand, s *messenger.Stream) {
	rates := e.grant(time.Now(), from, d.GetRates())
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Grant{Grant: &wire.Grant{Rates: rates, LeaseMilliseconds: limiter.LeaseDuration.Milliseconds()}}})
}

// askOwners sends the demands to the owners of the accounts, and a sign of
// life to every other entry that owns something.
func (e *Entry) askOwners(cmd dispatcher.RequestGrants) {
	members := e.node.Holder.View().Members
	byOwner := make(map[filbertstile.Member][]*wire.AccountRate)
	for _, m := range members.All() {
		if m.Role == filbertstile.RoleEntry && !m.Leaving {
			byOwner[m] = nil
		}
	}
	for _, d := range cmd.Demands {
		if m, ok := owner(members, "quota/"+d.Account); ok {
			byOwner[m] = append(byOwner[m], &wire.AccountRate{Account: d.Account, PerSecond: d.PerSecond})
		}
	}
	for m, rates := range byOwner {
		e.wg.Go(func() { e.askOwner(m, rates) })
	}
}

func (e *Entry) askOwner(m filbertstile.Member, rates []*wire.AccountRate) {
	// The grant counts from before it was asked for.
	asked := time.Now()
	var granted []*wire.AccountRate
	if m.Name == e.node.Self().Name {
		granted = e.grant(asked, m.Name, rates)
	} else {
		ctx, cancel := context.WithTimeout(e.ctx, demandTimeout)
		defer cancel()
		f, err := e.node.Client.Call(ctx, m.Address, &wire.Request{Id: e.node.Client.NextID(), Kind: &wire.Request_Demand{Demand: &wire.Demand{Rates: rates}}})
		if err != nil {
			if len(rates) > 0 && e.ctx.Err() == nil {
				e.node.Log.Event(reporter.QuotaOwnerUnreached, reporter.Fields{"Peer": m.Name, "Error": err})
			}
			return
		}
		granted = f.GetGrant().GetRates()
	}
	for _, r := range granted {
		e.loop.Post(dispatcher.GrantReceived{Account: r.GetAccount(), PerSecond: r.GetPerSecond(), Until: asked.Add(limiter.LeaseDuration)})
	}
}
