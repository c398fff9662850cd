// Package roster holds what the platform records about endpoints, and decides which endpoints
// that disappear from its list are kept (retention.go).
//
// A List must not be changed once it is in force. Retention tracks the endpoints that are kept
// and must be told when the store becomes unreachable and when it returns.
package roster

import "time"

// Weights is a version of a model that an endpoint holds.
type Weights struct {
	Model   string
	Version int64
}

// Endpoint is the record of one incarnation of an endpoint.
type Endpoint struct {
	// ID and Born identify the incarnation; see Incarnation.
	ID   string
	Born int64

	Service string
	Addr    string
	Zone    string
	// Region is the region of Zone, or empty if it is not known.
	Region string
	// Slots is the number of requests that the endpoint processes concurrently.
	Slots int
	// Leaving is set ahead of a planned stop.
	Leaving bool
	// Cold is how long the endpoint was going to remain cold when the record was written: a cold
	// endpoint bears only few requests. ColdUntil is the latest time at which that ends, counted
	// from when this process received the record.
	Cold      time.Duration
	ColdUntil time.Time
	Weights   []Weights
	// Sequence is the number of times that the endpoint had written its record, or 0 if it is unknown,
	// as with older versions. The store keeps a record whose sequence alone has risen as it was.
	Sequence int64
	// Created is the revision of the store at which the record was created, or 0 if it is unknown.
	Created int64
}

// Incarnation returns the incarnation of the endpoint.
func (e *Endpoint) Incarnation() Incarnation {
	return Incarnation{ID: e.ID, Born: e.Born}
}

// Holds returns the version of model that the endpoint holds, or 0.
func (e *Endpoint) Holds(model string) int64 {
	for _, w := range e.Weights {
		if w.Model == model {
			return w.Version
		}
	}
	return 0
}

// List holds all endpoints at one revision of the store, in one of its eras.
type List struct {
	Revision  int64
	Era       int64
	Endpoints map[string]*Endpoint
}

// ByAddr returns the endpoint at each address. If several records have the same address, the
// incarnation that started last is returned.
func (l *List) ByAddr() map[string]Incarnation {
	out := make(map[string]Incarnation, len(l.Endpoints))
	for _, e := range l.Endpoints {
		if known, found := out[e.Addr]; !found || known.Born < e.Born {
			out[e.Addr] = e.Incarnation()
		}
	}
	return out
}

// HeldByMost reports whether, of the endpoints that hold any version of model, more than half
// hold the given version or a newer one.
func (l *List) HeldByMost(model string, version int64) bool {
	holders, upToDate := 0, 0
	for _, e := range l.Endpoints {
		held := e.Holds(model)
		if held > 0 {
			holders++
		}
		if held >= version {
			upToDate++
		}
	}
	return 2*upToDate > holders
}
