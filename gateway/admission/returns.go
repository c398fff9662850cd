package admission

import "time"

// Times at which refused callers return.
const (
	// returnStep is the time step in which returning callers are counted.
	returnStep = 250 * time.Millisecond
	// returnSteps is the number of steps that are counted: callers are told at most two seconds.
	returnSteps = 16
	// MinReturn is the shortest time after which a caller is told to return. Callers that return
	// sooner ignore what they were told.
	MinReturn = 100 * time.Millisecond
	// maxReturn is the longest time, for callers that no room is known for: a shortage may end
	// within it, and most callers retry once only.
	maxReturn = 2 * time.Second
	// returnShare is the part of the places that come free that returning callers are told of.
	// The others are left to new callers.
	returnShare = 0.25
	// soonRefusedShare is the share of refusals up to which callers return within their latency
	// target: most of them then find a place at another gateway, which loses them nothing.
	soonRefusedShare = 0.35
	// returnTargetFraction is the fraction of the latency target that may have passed at a return
	// that can still be served in time.
	returnTargetFraction = 0.5
)

// returns counts the callers that were told to return, by time step. The zero value is ready to
// use.
type returns struct {
	counts [returnSteps]int
	// step is the step of the last call of advance.
	step int64
}

func stepOf(at time.Time) int64 {
	return at.UnixNano() / int64(returnStep)
}

// advance forgets the steps that have passed. A caller that is told a time is expected until the
// end of the step that follows it.
func (r *returns) advance(now time.Time) {
	step := stepOf(now)
	if step-r.step >= returnSteps || step < r.step {
		r.counts = [returnSteps]int{}
		r.step = step
		return
	}
	for ; r.step < step; r.step++ {
		r.counts[(r.step+returnSteps-1)%returnSteps] = 0
	}
}

// expect records that a caller was told to return after d.
func (r *returns) expect(d time.Duration, now time.Time) {
	r.advance(now)
	if steps := stepOf(now.Add(d)) - r.step; steps < returnSteps-1 {
		r.counts[(r.step+steps)%returnSteps]++
	}
}

// take returns whether a caller that returns now was expected, and counts it off.
func (r *returns) take(now time.Time) bool {
	r.advance(now)
	for _, step := range []int64{r.step + returnSteps - 1, r.step} {
		if n := &r.counts[step%returnSteps]; *n > 0 {
			*n--
			return true
		}
	}
	return false
}

// expected returns the number of callers that were told to return in the step of now + d.
func (r *returns) expected(d time.Duration, now time.Time) int {
	r.advance(now)
	return r.counts[stepOf(now.Add(d))%returnSteps]
}

// ReturnForecast is what decides when a refused caller returns.
type ReturnForecast struct {
	// Target is the latency target, Elapsed the time since the caller's first try, Left the time to
	// its deadline.
	Target, Elapsed, Left time.Duration
	// FreePerSecond is the rate at which places of this gateway come free.
	FreePerSecond float64
	// Exceeds is set if the request is beyond its client account's share.
	Exceeds bool
	// RefusedShare is the share of the callers who could be served in time that were refused.
	RefusedShare float64
	// Expected returns how many callers were told to return at about the given time from now.
	Expected func(d time.Duration) int
	// Random returns a number in [0, 1), by which callers that are refused together are spread.
	Random func() float64
}

// ReturnAfter returns when a refused caller should return: at the first time at which a place comes
// free that no other caller was told of. If that is soon enough for its latency target, the caller
// loses nothing. While few are refused, that is likely at any time. Otherwise it is told the latest
// time that leaves two thirds of its time, since a shortage is more likely to have ended then.
func ReturnAfter(f *ReturnForecast) time.Duration {
	room := returnShare * f.FreePerSecond * returnStep.Seconds()
	// The draw makes a fraction of a place per step count as often as that fraction.
	fits := func(d time.Duration) bool { return float64(f.Expected(d))+f.Random() < room }
	soon := time.Duration(returnTargetFraction*float64(f.Target)) - f.Elapsed
	if !f.Exceeds && soon > MinReturn && (f.RefusedShare <= soonRefusedShare || fits(soon)) {
		return MinReturn + time.Duration(f.Random()*float64(soon-MinReturn))
	}
	latest := min(maxReturn, f.Left/3)
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
