package placer

import "filbertstile.example/filbertstile"

// Obstacle is why a replica is not free for a request.
type Obstacle int

// Obstacles.
const (
	obstacleNone Obstacle = iota
	ObstacleFull
	ObstacleColdLimit
	ObstacleOthers
	ObstacleHalfFull
	ObstacleStall
	ObstacleSlowEnd
	ObstacleLateStart
	ObstacleVersionDue
	ObstacleMemory
	ObstacleReserve
	numObstacles
)

// obstacleInfo describes an obstacle.
type obstacleInfo struct {
	text string
	// short is what a request did not get that was refused because of the obstacle.
	short filbertstile.Resource
}

var obstacleInfos = [numObstacles]obstacleInfo{
	ObstacleFull:       {"all slots are taken", filbertstile.ResourceSlots},
	ObstacleColdLimit:  {"the limit of requests to a cold replica is used up", filbertstile.ResourceColdLimit},
	ObstacleOthers:     {"its free slots are left to other entries", filbertstile.ResourceSlots},
	ObstacleHalfFull:   {"the request is late, and the replica is more than half full", filbertstile.ResourceSlots},
	ObstacleStall:      {"the request is late, and its prompt would stall the streams of a slow engine", filbertstile.ResourceTime},
	ObstacleSlowEnd:    {"the engine is slow, and the response would end too late", filbertstile.ResourceTime},
	ObstacleLateStart:  {"the response would begin after the target latency", filbertstile.ResourceTime},
	ObstacleVersionDue: {"the response might begin after the version is due to end", filbertstile.ResourceTime},
	ObstacleMemory:     {"its memory does not hold the request beside those in flight", filbertstile.ResourceEngineMemory},
	ObstacleReserve:    {"its free slots are left to more urgent requests", filbertstile.ResourceReserve},
}

// String returns the obstacle as text; empty if there is none.
func (o Obstacle) String() string { return obstacleInfos[o].text }

// obstacleCounts is the number of eligible replicas by what is in the way of a request there.
type obstacleCounts [numObstacles]int

// short returns what a refused request did not get: the resource that is in the way at most replicas.
// Of equal numbers, that of the earlier check counts. Without any, all replicas are in a cooldown.
func (c obstacleCounts) short() filbertstile.Resource {
	most := ObstacleFull
	for o := ObstacleFull; o < numObstacles; o++ {
		if c[o] > c[most] {
			most = o
		}
	}
	if c[most] == 0 {
		return filbertstile.ResourceReplicas
	}
	return obstacleInfos[most].short
}

// shortWithoutEligible returns what a refused request did not get for which no replica is eligible.
func (p *Placer) shortWithoutEligible(req Request) filbertstile.Resource {
	if p.neverFits(req) {
		return filbertstile.ResourceEngineMemory
	}
	return filbertstile.ResourceReplicas
}
