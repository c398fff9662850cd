package admission

import "time"

// Ranks is the number of priority ranks that are told apart. Less urgent ranks share the last one.
const Ranks = 4

// Slots is an amount of work by priority rank, in slots of a service's endpoints.
type Slots [Ranks]float64

// Total returns the amount of all ranks.
func (s Slots) Total() float64 {
	total := 0.0
	for _, n := range s {
		total += n
	}
	return total
}

// Levels are the shares of each rank's demand, between 0 and 1, that the room suffices for.
type Levels [Ranks]float64

// leastShare is the share of its demand that each rank is served at least, relative to the share
// of all demand that can be served. No class of callers may starve: each is served at least half
// as often as all of them.
const leastShare = 0.5

// FullLevels admits all demand.
func FullLevels() Levels {
	return Levels{1, 1, 1, 1}
}

// LevelsFor divides room, in slots, among the demand of all ranks. Each rank gets its least share,
// the more urgent ones the rest. It answers a lasting overload with callers of different urgency.
func LevelsFor(room float64, demand Slots) Levels {
	total := demand.Total()
	if total <= room || total <= 0 {
		return FullLevels()
	}
	least := leastShare * max(0, room) / total
	left := max(0, room) - least*total
	var out Levels
	for r, d := range demand {
		if d <= 0 {
			out[r] = 1
			continue
		}
		extra := min(left, d*(1-least))
		out[r] = least + extra/d
		left -= extra
	}
	return out
}

// Conditions is what a gateway knows of a service at one moment.
type Conditions struct {
	// Room is the number of requests that the service's endpoints run concurrently, Running the
	// number that all gateways have outstanding there.
	Room, Running float64
	// Own is the demand of this gateway's callers, Fleet that of all gateways.
	Own, Fleet Demand
	// Gateways is the number of gateways that share the room, including this one. Covers is how
	// many of the others Fleet and Running include, Age the age of the oldest news from them.
	Gateways, Covers int
	Age              time.Duration
}

// targetUtilization is the part of the room that is used. The rest absorbs that gateways learn of
// each other's requests late, so that some endpoints get more than others at the same moment.
const targetUtilization = 0.96

// Target returns the number of running requests that all gateways together aim at.
func (c *Conditions) Target() float64 {
	return targetUtilization * c.Room
}

// Unmet returns the share of all demand, between 0 and 1, that the room doesn't suffice for.
func (c *Conditions) Unmet() float64 {
	demand := c.Fleet.Recent.Total()
	if demand <= c.Target() {
		return 0
	}
	return 1 - c.Target()/demand
}

// Shortage thresholds, relative to Target. They differ so that a demand that is about as large as
// the room doesn't switch the limits on and off.
const (
	// beginDemand and beginRunning are the demand and the running requests at which a shortage
	// begins.
	beginDemand, beginRunning = 1.0, 0.85
	// endDemand and endRunning are the demand and the running requests below which it ends.
	endDemand, endRunning = 0.92, 0.7
	// minShortage is how long a shortage lasts at least. It is longer than the news of requests
	// takes to reach all gateways.
	minShortage = time.Second
)

// InShortage returns whether the room is short. current and since are the last result and the time
// since it changed. Demand alone is not enough: the estimates of work may be too high, and on calm
// days no request may be refused while there is room. Nor are the running requests: endpoints that
// stand still for a moment are full, but have room again before a refused caller returns.
func InShortage(c *Conditions, current bool, since time.Duration) bool {
	target := c.Target()
	if target < float64(c.Gateways) {
		return false // shares of less than one request would refuse what there is room for
	}
	demand, running := c.Fleet.Recent.Total(), c.Running
	if !current {
		return demand >= beginDemand*target && running >= beginRunning*target
	}
	return since < minShortage || demand >= endDemand*target && running >= endRunning*target
}

// Limits on the requests that one gateway runs during a shortage.
const (
	// limitGain is by how much a gateway's limit exceeds its share, relative to it, for each part
	// of the target that is free in the fleet. Running requests change within seconds and news of
	// them within half a second, which leaves the loop stable.
	limitGain = 2
	// minLimitFactor bounds how far a gateway withdraws while others exceed their shares.
	minLimitFactor = 0.5
)

// Share returns the part of the room that is this gateway's, between 0 and 1: that of its demand in
// the demand of all, so that callers fare alike at each gateway. While its own or the fleet's demand
// is unknown, it is an equal share.
func Share(c *Conditions) float64 {
	equal := 1 / float64(max(c.Gateways, 1))
	own, fleet := c.Own.Mean, c.Fleet.Mean
	if own <= 0 || fleet <= 0 {
		return equal
	}
	return min(1, own/fleet)
}

// Limit returns the number of requests that this gateway may run during a shortage. It is the
// gateway's share of the target, more while the fleet runs fewer requests than that, and less while
// it runs more. A gateway always may run one request, since it has callers whom no other serves.
func Limit(c *Conditions) float64 {
	target := c.Target()
	if target <= 0 {
		return 1
	}
	factor := 1 + limitGain*(target-c.Running)/target
	return max(1, Share(c)*target*max(factor, minLimitFactor))
}

// Rules for late callers.
const (
	// mildRefusedShare is the share of refusals among other callers up to which late callers are
	// served from places that these leave.
	mildRefusedShare = 0.1
	// lateReserve is the number of reserves that a late caller leaves free above it.
	lateReserve = 5
	// maxExcessUnmet is the share of the demand without room up to which what is beyond an account's
	// share is served from places that others leave: up to there, others are more likely to find one
	// than not.
	maxExcessUnmet = 0.5
)

// reserve returns the number of places of a limit that are kept for ranks and accounts that have
// not had their part: one, or a tenth of large limits.
func reserve(limit float64) float64 {
	return max(1, limit/10)
}

// Standing is how a request compares to the requests that a gateway already runs.
type Standing struct {
	// Limit is the gateway's limit, Running the number of requests that it runs.
	Limit   float64
	Running int
	// RunningOfRank is the number with the request's rank, PartOfRank how many of that rank the
	// gateway should run by the levels.
	RunningOfRank, PartOfRank float64
	// Level is the level of the rank.
	Level float64
	// Exceeds is set if the request is beyond its client account's share; see AccountShare.
	Exceeds bool
	// Returned is set if the caller returned when it was told.
	Returned bool
	// Late is set if the caller can't be served within its latency target any more, or came back
	// before it was told to, as others of its account do.
	Late bool
	// RefusedShare is the share of the callers who still could, and are within their account's share,
	// that were refused lately.
	RefusedShare float64
	// Unmet is the result of Conditions.Unmet.
	Unmet float64
}

// Fits returns whether a request is admitted now. A rank that runs more than its part leaves a
// reserve free for the others, which would otherwise find the places taken whenever they arrive;
// callers who return when they were told are exempt. Late callers and what is beyond an account's
// share get what others leave. While others are refused, late callers get next to nothing: a place that
// a late caller takes makes another caller late, so in a lasting overload all would be. What is beyond
// an account's share is in time, so it fills places while most of the others find one.
func Fits(s *Standing) bool {
	free := s.Limit - float64(s.Running)
	if free < 1 {
		return false
	}
	switch {
	case s.Late && s.RefusedShare > mildRefusedShare, s.Exceeds && s.Unmet > maxExcessUnmet:
		return free >= 1+lateReserve*reserve(s.Limit)
	case s.Late, s.Exceeds, s.Level < 1 && s.RunningOfRank >= s.PartOfRank && !s.Returned:
		return free >= 1+reserve(s.Limit)
	}
	return true
}

// PartOf returns how many requests of a rank a gateway with the given limit should run.
func PartOf(rank int, limit float64, levels Levels, own Slots) float64 {
	total := 0.0
	for r, d := range own {
		total += levels[r] * d
	}
	if total <= 0 {
		return limit
	}
	return limit * levels[rank] * own[rank] / total
}
