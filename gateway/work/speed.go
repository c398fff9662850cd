package work

import (
	"math"
	"time"

	"github.com/silverdeck/silverdeck/routes"
)

// Bounds of a pace, which is the factor by which an endpoint is slower than its engine's figures.
const (
	// SlowPace is the pace from which an endpoint counts as slow. Below it, the difference is
	// less than that between two streams of usual lengths.
	SlowPace = 1.25
	// maxPace bounds a pace, so that a wrong report does not take an endpoint out of use.
	maxPace = 8
)

// minInTime is the probability with which a mean stream has no pause above the gap target at an
// endpoint that holds as many streams as it has places.
const minInTime = 0.75

// ClampPace returns pace within its bounds. A pace of 0 is unknown and counts as 1. An endpoint
// that is faster than its figures gets no more work than these allow.
func ClampPace(pace float64) float64 {
	if math.IsNaN(pace) || pace < 1 {
		return 1
	}
	return min(pace, maxPace)
}

// Service holds what is known about the model engines of a service.
type Service struct {
	// Engine is nil if the service has no engines or their figures are unknown.
	Engine *routes.Engine
	// GapTarget is the longest pause between events that its streams allow; 0 if unknown.
	GapTarget time.Duration
}

// Speed is how fast an endpoint works. The times of its streams follow from it by interpolation
// between an idle and a full endpoint. The zero value is an endpoint without known figures, for
// which all times are 0.
type Speed struct {
	// Pace is the factor by which the endpoint is slower than its engine's figures, at least 1.
	Pace float64
	// Places is the number of mean streams that it serves in time concurrently.
	Places float64
	// IdleGap and FullGap are the mean pauses between events of a stream that runs alone, and of
	// one in a full endpoint.
	IdleGap, FullGap time.Duration
	// MeanTime is how long a mean stream takes in a full endpoint.
	MeanTime time.Duration
}

// SpeedOf returns the speed of an endpoint of s with the given number of slots.
func SpeedOf(s *Service, slots int, pace float64) Speed {
	pace = ClampPace(pace)
	speed := Speed{Pace: pace, Places: float64(max(slots, 1))}
	if s.Engine == nil {
		return speed
	}
	speed.Places = float64(Places(s, slots, pace))
	speed.IdleGap = scale(s.Engine.PassTime(1), pace)
	full := steadyState(s.Engine, speed.Places, pace)
	speed.FullGap = full.gap
	speed.MeanTime = full.prefill + scale(full.gap, events(s.Engine, s.Engine.MeanAnswerTokens))
	return speed
}

// Places returns the number of mean streams that an endpoint serves in time concurrently. An
// endpoint that works at its engine's figures has a place for each slot. A slow one has fewer: the
// prefill of each request that starts there is a longer pause for the streams that run, so that
// these exceed the gap target at a load that others bear.
func Places(s *Service, slots int, pace float64) int {
	slots = max(slots, 1)
	if s.Engine == nil || s.GapTarget <= 0 || pace < SlowPace {
		return slots
	}
	atFigures := maxInTime(s, slots, 1)
	return max(1, slots*maxInTime(s, slots, pace)/atFigures)
}

// maxInTime returns the largest number of concurrent streams, from 1 to slots, of which each is in
// time with probability minInTime.
func maxInTime(s *Service, slots int, pace float64) int {
	for n := slots; n > 1; n-- {
		if inTime(s, float64(n), pace) >= minInTime {
			return n
		}
	}
	return 1
}

// inTime returns the probability that a mean stream has no pause above the gap target at an
// endpoint that runs n streams. The prefills of requests that start during a pause lengthen it.
// They start independently of each other, and their lengths are widely spread: their number is
// Poisson distributed and their duration exponentially.
func inTime(s *Service, n, pace float64) float64 {
	state := steadyState(s.Engine, n, pace)
	spare := s.GapTarget - scale(s.Engine.PassTime(n), pace)
	if spare <= 0 {
		return 0
	}
	starts := state.startsPerSecond * state.gap.Seconds()
	late := compoundTail(starts, float64(spare)/float64(max(state.prefill, 1)))
	return math.Pow(1-late, events(s.Engine, s.Engine.MeanAnswerTokens))
}

// state is the steady state of an endpoint.
type state struct {
	// gap is the mean pause between two events, prefill the mean time of a prefill.
	gap, prefill time.Duration
	// startsPerSecond is the rate at which other requests start while a stream runs.
	startsPerSecond float64
}

// steadyState returns the state of an endpoint that runs n mean streams, each of which is replaced
// by another when it ends. Prefill takes a share of the time, by which the passes are drawn out.
func steadyState(e *routes.Engine, n, pace float64) state {
	pass := scale(e.PassTime(n), pace).Seconds()
	prefill := scale(e.Prefill(e.MeanPromptTokens), pace).Seconds()
	passes := events(e, e.MeanAnswerTokens)
	others := max(n-1, 0)
	// With the gap g, others start at the rate r = others / (prefill + passes*g), and
	// g = pass + r*prefill*g. This is a quadratic equation for g.
	a, b, c := passes, prefill-passes*pass-others*prefill, -pass*prefill
	gap := pass
	if a > 0 {
		gap = (-b + math.Sqrt(b*b-4*a*c)) / (2 * a)
	}
	out := state{gap: seconds(gap), prefill: seconds(prefill)}
	if duration := prefill + passes*gap; duration > 0 {
		out.startsPerSecond = others / duration
	}
	return out
}

// maxTerms bounds the number of prefills that are considered within one pause.
const maxTerms = 24

// compoundTail returns the probability that the sum of a Poisson distributed number of exponentially
// distributed terms exceeds x. mean is the mean number of terms, and the mean of a term is 1.
func compoundTail(mean, x float64) float64 {
	probability := math.Exp(-mean) // of k terms
	erlang, summand := 0.0, math.Exp(-x)
	tail := 0.0
	for k := 1; k <= maxTerms; k++ {
		probability *= mean / float64(k)
		erlang += summand // the probability that k terms exceed x
		summand *= x / float64(k)
		tail += probability * erlang
	}
	return min(tail, 1)
}

// events returns the number of events of an answer of n tokens.
func events(e *routes.Engine, n float64) float64 {
	return n / float64(max(e.Stride, 1))
}

func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
