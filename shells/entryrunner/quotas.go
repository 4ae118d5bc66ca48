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

// demandTimeout is the timeout of a request for grants.
const demandTimeout = 400 * time.Millisecond

// quotas holds the grants that this entry has made as the owner of accounts.
type quotas struct {
	mu sync.Mutex
	// ledgers holds the grants by account.
	ledgers map[string]limiter.Ledger
	// lastDemandAt is when each entry last sent demands, including empty ones.
	lastDemandAt map[string]time.Time
}

func newQuotas() *quotas {
	return &quotas{ledgers: make(map[string]limiter.Ledger), lastDemandAt: make(map[string]time.Time)}
}

// owner returns the entry that owns the key, which is the first in the key's rendezvous
// hashing order. It reports false if there is no entry.
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

// grant returns the rates that are granted for the demands of an entry.
func (e *Entry) grant(now time.Time, sender string, rates []*wire.AccountRate) []*wire.AccountRate {
	v := e.node.Holder.View()
	q := e.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastDemandAt[sender] = now
	entries, silent := q.countEntries(now, v.Members, e.node.Self().Name)
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
		params := limiter.GrantParams{Now: now, Rate: a.RatePerSecond, Entries: entries, SilentEntries: silent}
		l, rate := l.WithGrant(params, sender, r.GetPerSecond())
		q.ledgers[a.Name] = l
		out = append(out, &wire.AccountRate{Account: a.Name, PerSecond: rate})
	}
	return out
}

// countEntries returns the number of live entries, and how many of them have sent no
// demands for a lease duration.
func (q *quotas) countEntries(now time.Time, members filbertstile.Table[filbertstile.Member], self string) (entries, silent int) {
	for _, m := range members.All() {
		if m.Role != filbertstile.RoleEntry || m.Leaving {
			continue
		}
		entries++
		if m.Name != self && now.Sub(q.lastDemandAt[m.Name]) > limiter.LeaseDuration {
			silent++
		}
	}
	return entries, silent
}

func (e *Entry) handleDemand(sender string, d *wire.Demand, s *messenger.Stream) {
	rates := e.grant(time.Now(), sender, d.GetRates())
	_ = s.Send(&wire.Frame{Kind: &wire.Frame_Grant{Grant: &wire.Grant{Rates: rates, LeaseMilliseconds: limiter.LeaseDuration.Milliseconds()}}})
}

// requestGrants sends the demands to the owners of the accounts. The other entries get an
// empty request as a heartbeat, as they may own other accounts.
func (e *Entry) requestGrants(cmd dispatcher.RequestGrants) {
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
		e.wg.Go(func() { e.requestGrantsFrom(m, rates) })
	}
}

// requestGrantsFrom sends demands to one owner and passes its grants to the core.
func (e *Entry) requestGrantsFrom(m filbertstile.Member, rates []*wire.AccountRate) {
	// The lease of a grant starts before the grant is requested, so that it expires here
	// before it does at the owner.
	requestedAt := time.Now()
	var granted []*wire.AccountRate
	if m.Name == e.node.Self().Name {
		granted = e.grant(requestedAt, m.Name, rates)
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
		e.loop.Post(dispatcher.GrantReceived{Account: r.GetAccount(), PerSecond: r.GetPerSecond(), Until: requestedAt.Add(limiter.LeaseDuration)})
	}
}
