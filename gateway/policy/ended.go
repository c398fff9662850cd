package policy

import "github.com/silverdeck/silverdeck/verdict"

// MayHaveEnded returns whether an attempt may have failed because its endpoint's process
// ended: the connection broke off after the request was written. A refusal, silence, a whole
// answer of no use and a caller that left tell nothing of that.
func MayHaveEnded(e *verdict.Error) bool {
	return e.Code == verdict.CodeCut && e.Verdict != verdict.NotRun && e.Err != nil
}
