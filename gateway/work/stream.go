package work

import (
	"time"

	"github.com/silverdeck/silverdeck/routes"
)

// Stated is what a caller states about the lengths of a stream, in tokens; 0 for what it does not
// state.
type Stated struct {
	// Prompt is the exact length of the prompt, MaxAnswer the length at which the answer is cut
	// off, and Hint the caller's guess of the answer's length.
	Prompt, MaxAnswer, Hint int
}

// Lengths returns the expected lengths of a stream: the caller's guess within the stated bound, or
// else the mean of the engine's answers within that bound. engine may be nil.
func (s Stated) Lengths(engine *routes.Engine) Tokens {
	t := Estimate(engine, Tokens{Prompt: float64(s.Prompt), Answer: float64(s.Hint)})
	if s.MaxAnswer > 0 {
		t.Answer = min(t.Answer, float64(s.MaxAnswer))
	}
	return t
}

// minAnswerShare is the share of the expected answer that an answer has in any case. Callers'
// guesses are often far off, and a stream must not be refused that might have ended in time.
const minAnswerShare = 0.25

// Stream holds the work of a stream at an endpoint that works at its engine's figures. The zero
// value is a stream of unknown work, which fits anywhere.
type Stream struct {
	// Prefill is the time of the prefill.
	Prefill time.Duration
	// Events is the expected number of events, MinEvents the number that it has in any case; 0
	// means that nothing may be concluded from the stream's end.
	Events, MinEvents float64
	// Left is the time until the stream's deadline, and FirstWithin the time within which its
	// first event should arrive; 0 means no limit.
	Left, FirstWithin time.Duration
}

// StreamOf returns the work of a stream of the given lengths, without time limits.
func StreamOf(engine *routes.Engine, t Tokens) Stream {
	if engine == nil {
		return Stream{}
	}
	w := Stream{Prefill: engine.Prefill(t.Prompt)}
	if t.Answer > 0 {
		w.Events = max(events(engine, t.Answer), 1)
		w.MinEvents = minAnswerShare * w.Events
	}
	return w
}

// Gap returns the mean pause between events at the given load, in streams per place.
func (s *Speed) Gap(load float64) time.Duration {
	return s.IdleGap + scale(s.FullGap-s.IdleGap, min(load, 1))
}

// FirstEvent returns when the first event of w is expected after it was sent to an endpoint, where
// pending is the time of the prefills that wait there. If others run, a stream starts once their
// current pass has ended, which takes half a pass in the mean.
func (s *Speed) FirstEvent(w *Stream, load float64, pending time.Duration) time.Duration {
	wait := scale(s.Gap(load), min(load*s.Places, 1)/2)
	return wait + scale(w.Prefill+pending, s.Pace) + s.IdleGap
}

// End returns when a stream with the given number of events is expected to end after it was sent to
// an endpoint.
func (s *Speed) End(w *Stream, events, load float64) time.Duration {
	return scale(w.Prefill, s.Pace) + scale(s.Gap(load), max(events, 1))
}

// Times are the expected times of a stream, counted from when it is sent to an endpoint; 0 if they
// are unknown.
type Times struct {
	FirstEvent, End time.Duration
}

// Times returns the expected times of w at an endpoint with the given load and pending prefill.
func (s *Speed) Times(w *Stream, load float64, pending time.Duration) Times {
	if s.IdleGap == 0 || w.Events <= 0 {
		return Times{}
	}
	first := s.FirstEvent(w, load, pending)
	return Times{FirstEvent: first, End: first + scale(s.Gap(load), w.Events-1)}
}

// Fit says whether a stream can be served in time at an endpoint.
type Fit int

// The possible values of Fit, from the best to the worst.
const (
	// InTime means that the stream is expected to begin and end in time.
	InTime Fit = iota
	// BeginsLate means that its first event is expected too late at this slow endpoint.
	BeginsLate
	// EndsLate means that it is expected to be cut off by its deadline.
	EndsLate
	// NeverEnds means that even a much shorter answer would be cut off there.
	NeverEnds
)

// Fit returns whether w can be served in time at an endpoint with the given load and pending
// prefill. A stream that is cut off by its deadline is worth nothing to its caller and takes a slot
// until then. Only a slow endpoint is judged by the first event: elsewhere the load limit does.
func (s *Speed) Fit(w *Stream, load float64, pending time.Duration) Fit {
	if s.Pace < SlowPace && s.endsWhenFull(w) {
		return InTime
	}
	return s.fit(w, load, pending)
}

// endsWhenFull reports whether w is expected to end in time even at a full endpoint. It is cheap,
// since it is asked for each endpoint and each request.
func (s *Speed) endsWhenFull(w *Stream) bool {
	return float64(w.Prefill)*s.Pace+w.Events*float64(s.FullGap) <= float64(w.Left)
}

func (s *Speed) fit(w *Stream, load float64, pending time.Duration) Fit {
	switch {
	case s.IdleGap == 0 || w.Left <= 0 || w.Events <= 0:
		return InTime
	case w.MinEvents > 0 && s.End(w, w.MinEvents, 0) > w.Left:
		return NeverEnds
	case s.End(w, w.Events, load) > w.Left:
		return EndsLate
	case s.Pace >= SlowPace && w.FirstWithin > 0 && s.FirstEvent(w, load, pending) > w.FirstWithin:
		return BeginsLate
	}
	return InTime
}
