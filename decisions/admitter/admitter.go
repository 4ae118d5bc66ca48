// Package admitter decides, for one service at one entry, whether a request may use a free
// slot of the engines now: by priority, then by whether its response can still be in time,
// with a minimum share for each route. It has no clock, and does no I/O.
package admitter

import (
	"math"
	"slices"
	"time"
)

const (
	// reserveHorizon is the time for which slots are held for more urgent requests: entries
	// learn of one another's placements, and of slots that become free, 50 to 150 ms late.
	reserveHorizon = 100 * time.Millisecond
	// maxViewAge is the age that the loads of other entries may have: that of a message, and the
	// time until the next one. In the model, with messages of at most 200 ms, 0.013 of the
	// responses are late with 200 ms, 0.009 with 250 ms, and 300 ms refuse more urgent requests.
	maxViewAge = 250 * time.Millisecond
	// reserveMargin is the number of standard deviations of the number of more urgent
	// requests within reserveHorizon that the reserve covers in addition. In the model, 4 serves 0.94
	// of what a single entry does at 1.2 times the capacity and 0.83 of the most urgent requests at 1.4
	// times, and 3 serves 0.96 and 0.81.
	reserveMargin = 3.0
	// maxReserveShare bounds the reserve, as a share of the slots. More urgent requests that
	// need more than that keep fewer than that free.
	maxReserveShare = 0.5
	// leadFactor is the factor by which the reserve of a class grows with the lead of its served
	// share over that of a more urgent one. In the model, at 0.9 times the capacity 0.90 of the
	// requests of priority 2 are served in time without it, but 0.78 of those of priority 1. With
	// a factor of 10 it is 0.84 and 0.82, and 20 is no better.
	leadFactor = 10.0
	// floorShare is the share of the arrivals of a route that is admitted whatever its
	// priority. Requests that come back after their target latency has passed have no floor:
	// what it admits would be late, and would take the place of a response in time.
	floorShare = 0.3
	// maxCredit and minCredit bound the floor credit of a route, in requests.
	maxCredit = 4.0
	minCredit = -2.0
	// servedWeight is the weight of the latest outcome in the moving average of the share of
	// a class that is served.
	servedWeight = 0.04
	// initialHoldTime is the assumed time in seconds for which a request holds its slot until
	// the first has ended, and holdWeight the weight of the latest in the moving average.
	// minHoldTime keeps the rate of ends finite.
	initialHoldTime = 1.0
	holdWeight      = 0.02
	minHoldTime     = 0.01
	// maxReturns is the number of times that a refused request comes back at most. If more
	// requests of a route than that seem to have come back for each other one, its callers
	// allow less time than the route does, and the requests are new.
	maxReturns = 8
	// lateRank is the rank of the most urgent class of late requests.
	lateRank = 1 << 20
)

// Class orders requests: those whose response can still be in time before the others, then by
// priority. A late response takes as much of an engine as one in time, so that late requests of
// an urgent route must not displace others that can be in time.
type Class struct {
	// Priority is the priority; 0 is the highest.
	Priority int
	// Late is true if the target latency had passed before the request arrived.
	Late bool
}

// Rank returns the place of the class in the order of urgency; a lower one is more urgent.
func (c Class) Rank() int {
	if c.Late {
		return lateRank + c.Priority
	}
	return c.Priority
}

// View is what the entry knows of the engines of its group that are eligible.
type View struct {
	// Replicas is the number of engines.
	Replicas int
	// Slots is the number of slots, and Free the number of those that can be used now.
	Slots int
	Free  int
	// InFlight is the number of requests in flight, from all entries.
	InFlight int
}

// classState is what is known of a class.
type classState struct {
	class    Class
	arrivals rate
	// demand is like arrivals, over a longer time, and announced the rate that the other entries
	// are told since announcedAt. previous is the rate before.
	demand      rate
	announced   float64
	announcedAt time.Time
	previous    float64
	// served is a moving average of the share of the requests that got a slot.
	served float64
}

// routeState is what is known of a route.
type routeState struct {
	// credit is the number of requests that the floor admits.
	credit float64
	// inTime and late are the arrivals by whether the target latency had passed.
	inTime rate
	late   rate
}

// Admitter holds the rates and credits of one service at one entry. It is not safe for
// concurrent use.
type Admitter struct {
	// classes are in order of urgency.
	classes []*classState
	routes  map[string]*routeState
	// holdTime is a moving average of the time in seconds for which a request holds its slot.
	holdTime float64
	// peers are the other entries that use the engines, in the order of their names.
	peers []*peer
}

// New returns an admitter that has seen no requests.
func New() *Admitter {
	return &Admitter{routes: make(map[string]*routeState), holdTime: initialHoldTime}
}

// Arrived records the arrival of a request, and returns its class. The request is late if its
// target latency had passed before.
func (a *Admitter) Arrived(now time.Time, route string, priority int, late bool) Class {
	r := a.routes[route]
	if r == nil {
		r = &routeState{credit: 1 - floorShare, inTime: rate{over: rateTime}, late: rate{over: rateTime}}
		a.routes[route] = r
	}
	if late {
		r.late.add(now)
		late = r.late.perSecond(now) <= maxReturns*r.inTime.perSecond(now)
	} else {
		r.inTime.add(now)
	}
	c := Class{Priority: max(0, priority), Late: late}
	s := a.state(c)
	s.arrivals.add(now)
	s.demand.add(now)
	if !c.Late {
		r.credit = min(maxCredit, r.credit+a.floor(c))
	}
	return c
}

func (a *Admitter) state(c Class) *classState {
	i, ok := slices.BinarySearchFunc(a.classes, c.Rank(), func(s *classState, rank int) int { return s.class.Rank() - rank })
	if !ok {
		a.classes = slices.Insert(a.classes, i, &classState{class: c, served: 1, arrivals: rate{over: rateTime}, demand: rate{over: demandTime}})
	}
	return a.classes[i]
}

// moreUrgent returns the states of the classes that are more urgent than c.
func (a *Admitter) moreUrgent(c Class) []*classState {
	i, _ := slices.BinarySearchFunc(a.classes, c.Rank(), func(s *classState, rank int) int { return s.class.Rank() - rank })
	return a.classes[:i]
}

// floor returns the share of the class that is admitted whatever its priority. It is at most
// the share that is served of each more urgent class: if the floors of all routes exceed what
// the engines can serve, all get an equal share.
func (a *Admitter) floor(c Class) float64 {
	if c.Late {
		return 0
	}
	out := floorShare
	for _, s := range a.moreUrgent(c) {
		out = min(out, s.served)
	}
	return out
}

// urgentRates returns the arrivals per second of classes more urgent than c at this entry, and at
// the others.
func (a *Admitter) urgentRates(now time.Time, c Class) (own, others float64) {
	for _, s := range a.moreUrgent(c) {
		own += s.arrivals.perSecond(now)
	}
	return own, a.peerRate(own, func(o Class) bool { return o.Rank() < c.Rank() })
}

// endRate returns the number of requests per second that end at the engines, by the number in
// flight and the time for which each holds its slot.
func (a *Admitter) endRate(v View) float64 { return float64(v.InFlight) / a.holdTime }

// Reserve returns the number of free slots that the class must leave to more urgent ones of
// other entries: what they need beyond the slots that become free meanwhile, and a margin for its
// variation.
func (a *Admitter) Reserve(now time.Time, c Class, v View) int {
	own, others := a.urgentRates(now, c)
	// Requests of this entry do not need slots that are free in advance: they wait in the same
	// queue, and go first.
	if others == 0 {
		return 0
	}
	horizon := reserveHorizon.Seconds()
	out := max(0, (own+others-a.endRate(v))*horizon) + reserveMargin*math.Sqrt(others*horizon)
	out *= 1 + leadFactor*a.lead(c)
	return int(min(math.Ceil(out), maxReserveShare*float64(v.Slots)))
}

// lead returns by how much the share of the class that is served exceeds that of a more urgent one.
// A request with a long target latency may wait longer for a slot, and gets one more often.
func (a *Admitter) lead(c Class) float64 {
	if c.Late {
		return 0
	}
	out, served := 0.0, a.state(c).served
	for _, s := range a.moreUrgent(c) {
		out = max(out, served-s.served)
	}
	return out
}

// Unseen returns the number of requests that other entries may have placed at an engine since
// their latest loads that have arrived: the expected number and its standard deviation. As many
// are placed as end, and while there are free slots as many as arrive.
func (a *Admitter) Unseen(now time.Time, v View) int {
	others := 1 - 1/float64(1+len(a.peers))
	own := 0.0
	for _, s := range a.classes {
		own += s.arrivals.perSecond(now)
	}
	horizon := maxViewAge.Seconds()
	ends := a.endRate(v) * others * horizon
	arrivals := a.peerRate(own, func(Class) bool { return true }) * horizon
	n := max(ends, min(arrivals, ends+float64(v.Free))) / float64(max(1, v.Replicas))
	return int(math.Round(n + math.Sqrt(n)))
}

// Admits reports whether a request of the class may use a free slot.
func (a *Admitter) Admits(now time.Time, c Class, v View) bool {
	return v.Free > a.Reserve(now, c, v)
}

// RoomShare returns the share of the arrivals of the class for which room is expected after more
// urgent ones have taken theirs.
func (a *Admitter) RoomShare(now time.Time, c Class, v View) float64 {
	own := a.state(c).arrivals.perSecond(now)
	rate := own + a.peerRate(own, func(o Class) bool { return o == c })
	if rate == 0 {
		return 1
	}
	urgent, others := a.urgentRates(now, c)
	return min(1, max(0, a.endRate(v)-urgent-others)/rate)
}

// RoomRate returns the slots per second that this entry can expect for the class.
func (a *Admitter) RoomRate(now time.Time, c Class, v View) float64 {
	return a.RoomShare(now, c, v) * a.state(c).arrivals.perSecond(now)
}

// TakeCredit reports whether the floor of the route admits the request, which then ranks as
// the most urgent, and takes the credit for it.
func (a *Admitter) TakeCredit(c Class, route string) bool {
	r := a.routes[route]
	if c.Late || r == nil || r.credit < 1 {
		return false
	}
	r.credit--
	return true
}

// Placed records that a request got a slot, by a credit or without one.
func (a *Admitter) Placed(c Class, route string, byCredit bool) {
	a.countOutcome(c, 1)
	if r := a.routes[route]; r != nil && !byCredit && !c.Late {
		r.credit = max(minCredit, r.credit-1)
	}
}

// Refused records that a request got no slot. Its credit, if it had one, is given back.
func (a *Admitter) Refused(c Class, route string, byCredit bool) {
	a.countOutcome(c, 0)
	if r := a.routes[route]; r != nil && byCredit {
		r.credit = min(maxCredit, r.credit+1)
	}
}

func (a *Admitter) countOutcome(c Class, served float64) {
	s := a.state(c)
	s.served += (served - s.served) * servedWeight
}

// Ended records how long a request held its slot.
func (a *Admitter) Ended(held time.Duration) {
	a.holdTime = max(minHoldTime, a.holdTime+(held.Seconds()-a.holdTime)*holdWeight)
}

// Stats are the figures of a class.
type Stats struct {
	Class Class
	// PerSecond is the rate of arrivals at this entry.
	PerSecond float64
	// Served is the share of the latest requests that got a slot.
	Served float64
	// Floor is the share that is admitted whatever the priority.
	Floor float64
	// Reserve is the number of free slots that are left to more urgent classes.
	Reserve int
}

// Stats returns the figures of the classes that have been seen, in order of urgency.
func (a *Admitter) Stats(now time.Time, v View) []Stats {
	out := make([]Stats, 0, len(a.classes))
	for _, s := range a.classes {
		out = append(out, Stats{Class: s.class, PerSecond: s.arrivals.perSecond(now), Served: s.served, Floor: a.floor(s.class), Reserve: a.Reserve(now, s.class, v)})
	}
	return out
}
