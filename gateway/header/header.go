// Package header holds the names of the HTTP headers of client requests and endpoint responses,
// by purpose. The platform adapter supplies the names used on the wire.
package header

// Names are header names.
type Names struct {
	// RequestID identifies a request. Endpoints echo it.
	RequestID string
	// Deadline is how long the client waits, in milliseconds.
	Deadline string
	// Key is the API key of the client.
	Key string
	// Account tells an endpoint the client account of a request.
	Account string
	// Instance identifies the endpoint that a request is addressed to.
	Instance string
	// AnsweredBy identifies the endpoint that answers, in the response of one that was not addressed.
	AnsweredBy string
	// Priority is the priority of a request at the endpoint.
	Priority string
	// Version is the version of the weights that a request requires.
	Version string
	// Weights is the version of the weights that the response started on.
	Weights string
	// Model is the model that a request is for.
	Model string
	// Tokens holds the number of prompt tokens and the maximum number of tokens to generate.
	Tokens string
	// Prompt lists the parts of a request's prompt.
	Prompt string
	// LengthHint is the client's guess of the number of tokens that will be generated.
	LengthHint string
	// Signature is the endpoint's signature of its response.
	Signature string
	// NotRun is set in responses to requests that were not run.
	NotRun string
	// LastEventID identifies the event after which a stream is to be resumed.
	LastEventID string
	// RetryAfter is the delay before a retry, in seconds.
	RetryAfter string
}
