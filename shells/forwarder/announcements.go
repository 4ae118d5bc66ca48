package forwarder

import (
	"time"

	"filbertstile.example/filbertstile/base/reporter"
	"filbertstile.example/filbertstile/decisions/placer"
)

// recordAnnouncement records what the replica that responded has announced. A pause that
// another replica at the address asks for also holds for the one that was expected there.
func (x *requestState) recordAnnouncement(g *placer.Grant, resp Response) {
	if resp.Verdict != WrongReplica {
		x.announced(g, resp, g.Replica.ID, g.Replica.Born, resp.Announcement)
		x.limitEnded(g, resp)
		return
	}
	x.announced(g, resp, resp.Responder, time.Time{}, resp.Announcement)
	x.announced(g, resp, g.Replica.ID, g.Replica.Born, placer.Announcement{RetryAfter: resp.Announcement.RetryAfter})
}

// announced records an announcement, and logs what is news.
func (x *requestState) announced(g *placer.Grant, resp Response, id string, born time.Time, a placer.Announcement) {
	news := x.forwarder.config.Placer.Announced(id, born, a)
	fields := func(name string, value any) reporter.Fields {
		return reporter.Fields{"Request": x.call.ID, "Peer": id, "Address": g.Replica.Address, "Status": resp.Status, name: value}
	}
	if news.Leaving {
		x.forwarder.config.Log.Event(reporter.ReplicaLeaving, fields("Leaving", news.Leaving))
	}
	if news.RetryAfter > 0 {
		x.forwarder.config.Log.Event(reporter.ReplicaPaused, fields("RetryAfter", news.RetryAfter.String()))
	}
	if news.Limit.Named {
		x.forwarder.config.OnNews()
		x.forwarder.config.Log.Event(reporter.ReplicaLimited, fields("PerSecond", news.Limit.PerSecond))
	}
	if news.Limit.Unreadable != "" {
		x.forwarder.config.Log.Event(reporter.HeaderUnreadable, fields("Limit", news.Limit.Unreadable))
	}
}

// limitEnded records that the replica of the grant has responded without naming a limit. A
// response that is not valid says nothing about it.
func (x *requestState) limitEnded(g *placer.Grant, resp Response) {
	if resp.Announcement.Limit != (placer.Limit{}) || resp.Verdict == Invalid {
		return
	}
	if x.forwarder.config.Placer.LimitEnded(g.Replica.ID, g.Replica.Born, resp.WrittenAt) {
		x.forwarder.config.OnNews()
		x.forwarder.config.Log.Event(reporter.ReplicaLimited, reporter.Fields{
			"Request": x.call.ID, "Peer": g.Replica.ID, "Address": g.Replica.Address, "Status": resp.Status, "Ended": true,
		})
	}
}
