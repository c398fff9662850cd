package verdict

// Evidence is what a verdict rests on: Unknown, Executed, Unsent, Refused or Reported. A request
// counts as one that may have run unless its evidence proves something else.
type Evidence interface {
	// Verdict returns what the evidence proves.
	Verdict() Verdict

	isEvidence()
}

// Unknown is the lack of evidence: the request was sent, and nothing shows whether it ran.
type Unknown struct{}

// Executed means that an endpoint answered the request as one that it ran.
type Executed struct{}

// Unsent means that no byte of the request was sent to an endpoint.
type Unsent struct{}

// Refused means that an endpoint stated, in a whole and consistent answer, that it did not run the
// request and never will. The zero value proves nothing.
type Refused struct {
	// Endpoint is the ID of the endpoint, RequestID the ID of the request that the answer names.
	Endpoint, RequestID string
	// Status is the HTTP status of the answer.
	Status int
}

// Reported is the verdict of another silverdeck process, which had evidence of its own.
type Reported struct {
	Result Verdict
}

// Verdict implements Evidence.
func (Unknown) Verdict() Verdict { return MayHaveRun }

// Verdict implements Evidence.
func (Executed) Verdict() Verdict { return Ran }

// Verdict implements Evidence.
func (Unsent) Verdict() Verdict { return NotRun }

// Verdict implements Evidence.
func (e Refused) Verdict() Verdict {
	if e.Endpoint == "" {
		return MayHaveRun
	}
	return NotRun
}

// Verdict implements Evidence.
func (e Reported) Verdict() Verdict { return e.Result }

func (Unknown) isEvidence()  {}
func (Executed) isEvidence() {}
func (Unsent) isEvidence()   {}
func (Refused) isEvidence()  {}
func (Reported) isEvidence() {}
