package policy

import "github.com/silverdeck/silverdeck/verdict"

// MayHaveEnded returns whether an attempt may have failed because its endpoint's process
// ended: the connection broke off after the request was written. A refusal, silence, a whole
// answer of no use and a caller that left tell nothing of that.
func MayHaveEnded(e *verdict.Error) bool {
	return e.Code == verdict.CodeCut && e.Verdict != verdict.NotRun && e.Err != nil
}

// Withholds returns whether a failure with a code means that the request is kept from
// endpoints because others ended under it.
func Withholds(code verdict.Code) bool {
	return code == CodeQuarantined || code == CodeOnTrial
}

// trialEnds is how many endpoints must have ended under a request for its next one to be the
// least busy: whoever else is there goes down with it. After one end all that were in progress
// there are suspected, and sending them all to the least busy one would bring them together
// again. From the number of ends that quarantine, less one.
const trialEnds = 2

// RunsApart returns whether a request goes to the least busy endpoint, after so many ended
// under it.
func RunsApart(ends int) bool {
	return ends >= trialEnds
}
