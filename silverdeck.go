// Package silverdeck distributes model weights to many small inference
// services in a burst, and routes each caller's request to an endpoint that
// serves it.
//
// Operators edit labelled objects and selectors. The system keeps the fleet
// matched to them, without a coordination service of its own: what must last
// lives in the platform's object store.
//
// Start reading at packages object and snapshot (what operators declare),
// swarm (how weights travel), router and forward (where a request goes) and
// ticket (how a request runs at most once).
package silverdeck

// Version is the release that this tree builds.
const Version = "0.1.0"
