// Package verdict defines the errors of requests, each of which tells whether the request may
// have run.
//
// Every failure on the path from a caller to an engine carries a Verdict. Classify is the only
// function that derives one from an arbitrary error.
package verdict

// Verdict is what is known about the execution of a request.
type Verdict int

const (
	// MayHaveRun means that it is unknown whether the request ran. It is the zero value.
	MayHaveRun Verdict = iota
	// NotRun means that no engine has started the request. It is used only when that is
	// certain.
	NotRun
	// Ran means that an engine has run the request.
	Ran
)

// Header is the HTTP header that carries a verdict between hops and to callers.
const Header = "Silverdeck-Verdict"

var names = map[Verdict]string{
	MayHaveRun: "may-have-run",
	NotRun:     "not-run",
	Ran:        "ran",
}

// String returns the value of Header for v.
func (v Verdict) String() string {
	return names[v]
}

// Parse returns the verdict whose Header value is s, or MayHaveRun if s is unknown.
func Parse(s string) Verdict {
	for v, name := range names {
		if name == s {
			return v
		}
	}
	return MayHaveRun
}
