package suspector

import (
	"slices"
	"time"
)

// suspect is a key with crashes that no begun answer has cleared.
type suspect struct {
	policy  policy
	crashes []*crash
	// episodes are the first crashes of the episodes.
	episodes []episode
	// reported is the highest number of episodes that another entry has reported.
	reported  int
	lastCrash time.Time
	// inTrial is true while this entry has sent a request with the key as a trial.
	inTrial bool
	// logged is the state in the last Change.
	logged State
}

// episode is a number of crashes that count once.
type episode struct {
	// at is the time of the first crash, and sentAt the time at which a request with the key
	// was sent to its replica; zero if it is not known, or does not matter.
	at, sentAt time.Time
}

// same reports whether crashes belong to one episode: both happened together, and no request
// was sent after one and lost in the other.
func (e episode) same(o episode) bool {
	return e.at.Sub(o.at).Abs() < episodeWindow && !e.sentAt.After(o.at) && !o.sentAt.After(e.at)
}

// add adds a crash under a request that was sent at the time; zero if it is not known.
func (p *suspect) add(c *crash, sentAt time.Time) {
	if len(p.crashes) == maxCrashesPerKey {
		p.crashes = slices.Delete(p.crashes, 0, 1)
	}
	p.crashes = append(p.crashes, c)
	reported := p.reported
	if p.addEpisode(episode{c.at, sentAt}) && reported >= len(p.episodes) && (c.at.Sub(p.lastCrash) > ageTolerance || sentAt.After(p.lastCrash)) {
		// This crash is later than those that another entry has counted.
		p.reported = min(reported+1, p.maxCounted())
	}
	if c.at.After(p.lastCrash) {
		p.lastCrash = c.at
	}
}

// addEpisode adds the episode, and reports whether it is a new one.
func (p *suspect) addEpisode(e episode) bool {
	if slices.ContainsFunc(p.episodes, e.same) {
		return false
	}
	if len(p.episodes) < p.maxCounted() {
		p.episodes = append(p.episodes, e)
	}
	return true
}

// recount counts the episodes of the key again after the crash at the time was dated earlier.
func (p *suspect) recount(key uint64, was time.Time) {
	p.episodes = slices.DeleteFunc(p.episodes, func(e episode) bool { return e.at.Equal(was) })
	for _, c := range p.crashes {
		p.addEpisode(episode{c.at, c.keys[key].sentAt})
	}
}

// maxCounted returns the number of episodes beyond which no more are counted.
func (p *suspect) maxCounted() int { return max(blockEpisodes, p.policy.maxEpisodes) }

// counted returns the number of episodes.
func (p *suspect) counted() int { return max(len(p.episodes), p.reported) }

// count returns the number of crashes, as far as they are kept.
func (p *suspect) count() int { return max(len(p.crashes), p.reported) }

func (p *suspect) state() State {
	switch {
	case p.counted() >= blockEpisodes:
		return Blocked
	case p.count() >= suspectCrashes:
		return Suspected
	}
	return Free
}

func (p *suspect) expired(now time.Time) bool {
	if p.state() == Blocked {
		return now.Sub(p.lastCrash) > p.policy.forgetBlockedAfter
	}
	return now.Sub(p.lastCrash) > forgetSuspectedAfter
}
