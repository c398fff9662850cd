package member

// Advice is what a gateway tells of what an endpoint said of itself in its answers.
type Advice struct {
	// ID and Born tell which life of which endpoint is meant, as in roster.Life.
	ID   string `json:"id"`
	Born int64  `json:"born,omitempty"`
	// Limit is the rate that it named, in requests a second; left out once it names none any
	// more.
	Limit *float64 `json:"limit,omitempty"`
	// HeardMS is how many milliseconds ago a gateway heard so from the endpoint itself; left
	// out if none heard of a limit.
	HeardMS *int64 `json:"heardMs,omitempty"`
	// ConfirmedMS is how many milliseconds ago the gateway that holds the endpoint told that
	// it stands; left out if it never did.
	ConfirmedMS *int64 `json:"confirmedMs,omitempty"`
	// Leaving is set once it said that it leaves.
	Leaving bool `json:"leaving,omitempty"`
}
