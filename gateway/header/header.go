// Package header names the headers of callers' requests and of endpoints' answers,
// by what they hold. The platform's adapter gives the words on the wire.
package header

// Names are the headers' names.
type Names struct {
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
	// Weights is the version of weights that an answer begins on.
	Weights string
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
