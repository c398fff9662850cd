// Package policy contains the per-request decisions of a gateway: how much load an endpoint
// may carry, the request's priority there, how long the gateway waits for a response, whether
// it retries, and which status and Retry-After the caller receives.
//
// Each rule is a pure function of plain values, without clock, locks or I/O. Package proxy
// collects the inputs, calls the rule and applies the result. docs/DECISIONS.md lists all
// rules with their inputs and log lines.
package policy
