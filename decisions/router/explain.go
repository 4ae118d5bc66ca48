package router

import (
	"cmp"
	"slices"

	"filbertstile.example/filbertstile"
)

// Candidate is a replica of the request's service, as Choose sees it for the request.
type Candidate struct {
	Replica  Replica
	Eligible bool
	// Obstacle is why the request would not be sent to the replica now; empty if it may be.
	Obstacle string
	// Score is the utilization and, unless several hosts are asked, distanceCost for each step of the
	// distance. Of two random candidates, the one with the lower score is chosen.
	Score float64
}

// distanceCost exceeds the utilization of any replica that has room.
const distanceCost = 10

// Candidates returns the replicas of the request's service: those that it may be sent to in the order of
// their scores, then the other eligible ones, then the rest.
func Candidates(q Query, replicas []Replica) []Candidate {
	var out []Candidate
	free := make([][]Replica, numDistances)
	nearest := numDistances
	for _, r := range replicas {
		if r.Host.Service != q.Service {
			continue
		}
		c := Candidate{Replica: r, Eligible: Eligible(q, r), Score: utilization(r)}
		switch d := distance(q, r.Host); {
		case !c.Eligible:
			c.Obstacle = ineligibility(q, r)
		case r.inCooldown(q):
			c.Obstacle = "it is in a cooldown after a failure, or as it was full"
		case r.room(q) == roomNone && r.Load.Cold:
			c.Obstacle = "all slots are taken, and it is cold"
		case r.room(q) == roomNone:
			c.Obstacle = "all slots are taken, and the host's queue is full"
		case r.room(q) == roomSlot:
			free[d], nearest = append(free[d], r), min(nearest, d)
		}
		out = append(out, c)
	}
	if !q.TopTier || anyMostlyFree(free) {
		for i, c := range out {
			d := distance(q, c.Replica.Host)
			out[i].Score += float64(d * distanceCost)
			switch {
			case c.Obstacle != "" || nearest == numDistances:
			case c.Replica.room(q) == roomQueue:
				out[i].Obstacle = "all slots are taken, and another replica has a free one"
			case d > nearest:
				out[i].Obstacle = "a nearer replica has a free slot"
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.Score, b.Score))
	})
	return out
}

func (c Candidate) rank() int {
	switch {
	case c.Obstacle == "":
		return 0
	case c.Eligible:
		return 1
	}
	return 2
}

// ineligibility returns why the replica of the service may not run the request.
func ineligibility(q Query, r Replica) string {
	switch {
	case r.Load.Leaving || r.Host.Leaving:
		return "it is leaving"
	case q.Config.DomainOutOfService(r.Host.Domain) || q.Config.HostOutOfService(r.Host.Name):
		return "its failure domain or its host is out of service"
	case !r.Connected:
		return "its load reports do not arrive"
	case !r.Load.Serving:
		return "its host accepts no requests"
	case slices.Contains(q.Tried, r.Host.Name):
		return "it has refused or failed the request"
	case !q.Plain && r.Load.Whole == filbertstile.Digest(""):
		return "it has no weights"
	}
	return "it runs other weights than those that began the response"
}
