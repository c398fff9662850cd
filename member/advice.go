package member

// Advice is what a gateway reports of an endpoint's statements about itself in its responses.
type Advice struct {
	// ID and Born identify an incarnation of an endpoint, as in roster.Incarnation.
	ID   string `json:"id"`
	Born int64  `json:"born,omitempty"`
	// Limit is the stated rate limit in requests per second; omitted once the endpoint states
	// no limit any more.
	Limit *float64 `json:"limit,omitempty"`
	// HeardMS is how many milliseconds ago a gateway received the limit from the endpoint
	// itself; omitted if none received one.
	HeardMS *int64 `json:"heardMs,omitempty"`
	// ConfirmedMS is how many milliseconds ago the gateway that holds the endpoint confirmed
	// the limit; omitted if it never did.
	ConfirmedMS *int64 `json:"confirmedMs,omitempty"`
	// Leaving is set once the endpoint stated that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
}
