// Package verdict says whether a request may have run.
//
// Every failure on the way from a caller to an engine carries a Verdict. The
// table in classify.go is the only place that derives one from an error.
package verdict

// Verdict tells what is known about the execution of a request.
type Verdict int

const (
	// MayHaveRun is the zero value: nothing is known, so nothing is promised.
	MayHaveRun Verdict = iota
	// NotRun is said only when it is certain that no engine started the request.
	NotRun
	// Ran is said when an engine is known to have run the request.
	Ran
)

// Header is the HTTP header that carries a verdict between hops and to callers.
const Header = "Silverdeck-Verdict"

var names = map[Verdict]string{
	MayHaveRun: "may-have-run",
	NotRun:     "not-run",
	Ran:        "ran",
}

// String returns the verdict's name as it stands in Header.
func (v Verdict) String() string {
	return names[v]
}

// Parse returns the verdict named s. Anything unknown is MayHaveRun.
func Parse(s string) Verdict {
	for v, name := range names {
		if name == s {
			return v
		}
	}
	return MayHaveRun
}
