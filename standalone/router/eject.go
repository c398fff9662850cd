package router

import (
	"time"

	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/verdict"
)

const plainRole = objectstore.RolePlain

// Ejection of endpoints by direct evidence.
const (
	// firstEjection is for how long at first; it doubles with each ejection in a row.
	firstEjection = time.Second
	// maxEjection is the longest ejection.
	maxEjection = 30 * time.Second
	// leavingEjection is how long an endpoint that said it was leaving is left
	// alone; by then its report has come around.
	leavingEjection = 3 * time.Second
	// faultsToEject is how many requests in a row may fail at an endpoint
	// before it is left alone for a while.
	faultsToEject = 2
)

// ejection is what this entry holds against an endpoint.
type ejection struct {
	faults int
	until  time.Time
}

// judge notes the outcome of a request at vm. Only faults of the endpoint
// itself count, not refusals: those come from an endpoint that is well.
func (r *Router) judge(vm string, outcome error, now time.Time) {
	if outcome == nil {
		delete(r.ejected, vm)
		return
	}
	switch verdict.From(outcome).Code {
	case verdict.CodeLeaving:
		r.ejected[vm] = ejection{until: now.Add(leavingEjection)}
		return
	case verdict.CodeUnreachable, verdict.CodeCut, verdict.CodeCrossed, verdict.CodeDeadline:
	default:
		return
	}
	e := r.ejected[vm]
	e.faults++
	if e.faults >= faultsToEject {
		pause := firstEjection << min(e.faults-faultsToEject, 5)
		e.until = now.Add(min(pause, maxEjection))
	}
	r.ejected[vm] = e
}

// sound returns the candidates that are not ejected. When that would leave
// less than half, the observer is more likely at fault, and all stay.
func (r *Router) sound(all []candidate, now time.Time) []candidate {
	out := make([]candidate, 0, len(all))
	for _, c := range all {
		if !now.Before(r.ejected[c.endpoint.VM].until) {
			out = append(out, c)
		}
	}
	if len(out)*2 < len(all) {
		return all
	}
	return out
}
