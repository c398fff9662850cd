package admission

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/member"
)

// Times at which refused callers return.
const (
	// returnStep is the time step in which returning callers are counted.
	returnStep = member.ToldStep
	// returnSteps is the number of steps that are counted: callers are told at most two seconds.
	// returnPast of them have passed.
	returnSteps, returnPast = 16, member.ToldPast
	// MinReturn is the shortest time after which a caller is told to return. Callers that return
	// sooner ignore what they were told.
	MinReturn = 100 * time.Millisecond
	// maxReturn is the longest time, for callers that no room is known for: a shortage may end
	// within it, and most callers retry once only.
	maxReturn = 2 * time.Second
	// returnShare is the part of the places that come free that returning callers are told of.
	// The others are left to new callers.
	returnShare = 0.25
	// comingShare is the part of the places that endpoints bring which returning callers are told of.
	// They come late at times, and new callers take them too.
	comingShare = 0.5
	// soonRefusedShare is the share of refusals up to which callers return within their latency
	// target: most of them then find a place at another gateway, which loses them nothing.
	soonRefusedShare = 0.35
	// returnTargetFraction is the fraction of the latency target that may have passed at a return
	// that can still be served in time.
	returnTargetFraction = 0.5
	// minEndShare is the share of its expected time that a request takes at least. Estimates follow
	// callers' guesses, which are often far off.
	minEndShare = 0.5
)

// returns counts the callers that were told to return, by time step. The zero value is ready to
// use.
type returns struct {
	// own counts those that this gateway told, others those that other gateways told, taken those
	// that returned here.
	own, others, taken [returnSteps]int
	// share is the part of all callers that come to this gateway.
	share float64
	// step is the step of the last call of advance.
	step int64
}

func stepOf(at time.Time) int64 {
	return at.UnixNano() / int64(returnStep)
}

// slot returns the index of a step.
func slot(step int64) int {
	return int(step % returnSteps)
}

// advance forgets the steps that have passed. A caller that is told a time is expected until some
// steps later, since other gateways learn of it late.
func (r *returns) advance(now time.Time) {
	step := stepOf(now)
	if step-r.step >= returnSteps || step < r.step {
		*r = returns{share: r.share, step: step}
		return
	}
	for ; r.step < step; r.step++ {
		past := slot(r.step - returnPast + returnSteps)
		r.own[past], r.others[past], r.taken[past] = 0, 0, 0
	}
}

// hear replaces the counts of other gateways. told begins with the first step that is not forgotten.
func (r *returns) hear(told []int, share float64, now time.Time) {
	r.advance(now)
	r.share, r.others = share, [returnSteps]int{}
	for i, n := range told[:min(len(told), member.ToldSteps)] {
		r.others[slot(r.step-returnPast+int64(i))] = n
	}
}

// told returns the counts of this gateway as hear takes them, without steps at the end that have none.
func (r *returns) told(now time.Time) []int {
	r.advance(now)
	var out []int
	for i := range int64(member.ToldSteps) {
		if n := r.own[slot(r.step-returnPast+i)]; n > 0 {
			out = append(out, make([]int, int(i)-len(out))...)
			out = append(out, n)
		}
	}
	return out
}

// expect records that a caller was told to return after d.
func (r *returns) expect(d time.Duration, now time.Time) {
	r.advance(now)
	if steps := stepOf(now.Add(d)) - r.step; steps < returnSteps-returnPast {
		r.own[slot(r.step+steps)]++
	}
}

// take returns whether a caller that returns now was expected, and counts it off.
func (r *returns) take(now time.Time) bool {
	r.advance(now)
	left := 0.0
	for step := r.step - returnPast; step <= r.step; step++ {
		left += Precedences(r.own[slot(step)], r.others[slot(step)], r.share) - float64(r.taken[slot(step)])
	}
	if left < 1 {
		return false
	}
	r.taken[slot(r.step)]++
	return true
}

// expected returns how many callers return to this gateway in the step of now + d.
func (r *returns) expected(d time.Duration, now time.Time) float64 {
	r.advance(now)
	at := slot(stepOf(now.Add(d)))
	return ExpectedReturns(r.own[at], r.others[at], r.share)
}

// ExpectedReturns returns how many callers return to a gateway in a time step. own is the number that it
// told itself, others that of other gateways, share the part of all callers that come to it. A caller
// may return to any gateway, so it is this gateway's part of all. What others told is known late, so of
// those that it told itself it counts all but one at least: it never tells more than one caller beyond
// those that its own places suffice for.
func ExpectedReturns(own, others int, share float64) float64 {
	if others == 0 {
		return float64(own)
	}
	return max(float64(own-1), share*float64(own+others))
}

// Precedences returns how many callers that return to a gateway in a time step go before new ones, given
// the same numbers: its part of all that were told to, and no fewer than it told itself, of which
// others may not know yet. Those of all gateways together are at most twice as many as were told.
func Precedences(own, others int, share float64) float64 {
	return max(float64(own), share*float64(own+others))
}

// ReturnForecast is what decides when a refused caller returns.
type ReturnForecast struct {
	// Target is the latency target, Elapsed the time since the caller's first try, Left the time to
	// its deadline.
	Target, Elapsed, Left time.Duration
	// SlotTime is the expected time for which the request takes a slot, or 0 if it is unknown.
	SlotTime time.Duration
	// FreePerSecond is the rate at which places of this gateway come free.
	FreePerSecond float64
	// Coming holds the places that this gateway gets of endpoints that are about to serve requests.
	Coming []Arrival
	// Exceeds is set if the request is beyond its client account's share.
	Exceeds bool
	// RefusedShare is the share of the callers who could be served in time that were refused.
	RefusedShare float64
	// Expected returns how many callers return to this gateway at about the given time from now.
	Expected func(d time.Duration) float64
	// Random returns a number in [0, 1), by which callers that are refused together are spread.
	Random func() float64
}

// room returns the number of callers that are told to return at about the given time from now.
func (f *ReturnForecast) room(d time.Duration) float64 {
	coming := 0.0
	for _, a := range f.Coming {
		if a.In <= d && a.In > d-returnStep {
			coming += a.Places
		}
	}
	return returnShare*f.FreePerSecond*returnStep.Seconds() + comingShare*coming
}

// needs returns the time that the request needs to end. A caller who can still be served within its
// latency target, but whose request is expected to be cut off, has a chance only if the estimate is wrong.
func (f *ReturnForecast) needs() time.Duration {
	if f.Elapsed < f.Target && f.Left-f.SlotTime < MinReturn {
		return time.Duration(minEndShare * float64(f.SlotTime))
	}
	return f.SlotTime
}

// CanReturn returns whether a refused caller can return at all for its request to end by its deadline. It
// answers long answers, whose callers would return in vain, to be refused again or cut off.
func CanReturn(f *ReturnForecast) bool {
	return f.Left-f.needs() >= MinReturn
}

// ReturnAfter returns when a refused caller should return: at the first time at which a place comes
// free that no other caller was told of, at an endpoint that serves requests or one that is about to.
// If that is soon enough for its latency target, the caller loses nothing. While few are refused, that
// is likely at any time. Otherwise it is told the latest time that leaves two thirds of its time, and
// enough for its request to end, since a shortage is more likely to have ended then.
func ReturnAfter(f *ReturnForecast) time.Duration {
	// The draw makes a fraction of a place per step count as often as that fraction.
	fits := func(d time.Duration) bool { return f.Expected(d)+f.Random() < f.room(d) }
	latest := max(MinReturn, min(maxReturn, policy.LatestReturnToEnd(f.Left, f.needs())))
	soon := time.Duration(returnTargetFraction*float64(f.Target)) - f.Elapsed
	if !f.Exceeds && soon > MinReturn && (f.RefusedShare <= soonRefusedShare || fits(soon)) {
		return MinReturn + time.Duration(f.Random()*float64(soon-MinReturn))
	}
	if f.Exceeds {
		return latest
	}
	for d := 2 * returnStep; d < latest; d += returnStep {
		if fits(d) {
			return d + time.Duration(f.Random()*float64(min(returnStep, latest-d)))
		}
	}
	earliest := max(MinReturn, latest*3/4)
	return earliest + time.Duration(f.Random()*float64(max(0, latest-earliest)))
}
