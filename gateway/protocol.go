// Package gateway takes callers' requests, chooses endpoints and brings the
// answers back: each request's own answer, whole, or a failure that says
// truthfully whether the request may have run.
package gateway

// Protocol names the headers by which callers and endpoints speak. The adapter
// of the platform gives them.
type Protocol struct {
	// RequestID names a request; endpoints echo it.
	RequestID string
	// Deadline is how many milliseconds the caller waits.
	Deadline string
	// Key holds the caller's key.
	Key string
	// Account tells an endpoint the client account.
	Account string
	// Instance names the endpoint that a request is for.
	Instance string
	// Priority ranks a request at an endpoint.
	Priority string
	// Version is the version of weights that a request is for.
	Version string
	// Model names the model of a request.
	Model string
	// Tokens holds the numbers of prompt tokens and of tokens to make at most.
	Tokens string
	// Stamp is an endpoint's signature of its answer.
	Stamp string
	// NotRun is set in answers to requests that were not run.
	NotRun string
	// LastEvent is the event after which a stream goes on.
	LastEvent string
	// RetryAfter tells when to come back, in seconds.
	RetryAfter string
}
