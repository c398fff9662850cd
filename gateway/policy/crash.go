package policy

import "github.com/silverdeck/silverdeck/verdict"

// MayHaveCrashed returns whether an attempt may have failed because the endpoint's process
// exited: the connection broke after the request was written. A refusal, a timeout, a complete
// but unusable response and a canceled request are no evidence of a crash.
func MayHaveCrashed(e *verdict.Error) bool {
	return e.Code == verdict.CodeCut && e.Verdict() != verdict.NotRun && e.Err != nil
}

// IsWithheld returns whether a failure code means that the request is withheld from endpoints
// because others crashed while processing it.
func IsWithheld(code verdict.Code) bool {
	return code == CodeQuarantined || code == CodePartQuarantined || code == CodeOnTrial
}

// isolationCrashes is the number of crashes after which a request is sent to the least loaded
// endpoint only, because another crash also aborts all other requests in progress there. A
// single crash makes every request in progress at that endpoint suspect; sending all of them
// to the least loaded endpoint would put them together again. The value is the number of
// crashes that quarantines a request, minus one.
const isolationCrashes = 2

// RequiresIsolation returns whether a request goes to the least loaded endpoint after the given
// number of crashes.
func RequiresIsolation(crashes int) bool {
	return crashes >= isolationCrashes
}
