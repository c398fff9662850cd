// Package roster holds what the platform tells of endpoints, and decides which of
// those that vanish from its list are kept (retention.go).
//
// A List does not change once it is in force. Retention owns which endpoints are
// kept until when, under a lock; it relies on being told whether the store answers.
package roster

// Weights is a model that an endpoint holds.
type Weights struct {
	Model   string
	Version int64
}

// Endpoint is what is known of an endpoint, in one of its lives.
type Endpoint struct {
	// ID names the endpoint, and Born tells which life of that name this is; see Life.
	ID   string
	Born int64

	Service string
	Addr    string
	Zone    string
	// Slots is how many requests it works on at a time.
	Slots int
	// Leaving is set ahead of a planned end.
	Leaving bool
	Weights []Weights
}

// Life returns which life of the endpoint this is.
func (e *Endpoint) Life() Life {
	return Life{ID: e.ID, Born: e.Born}
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

// List is what is known of all endpoints at one revision of the store.
type List struct {
	Revision  int64
	Endpoints map[string]*Endpoint
}

// ByAddr returns which endpoint has each address. Where several records name one, the life
// that began last has it.
func (l *List) ByAddr() map[string]Life {
	out := make(map[string]Life, len(l.Endpoints))
	for _, e := range l.Endpoints {
		if known, found := out[e.Addr]; !found || known.Born < e.Born {
			out[e.Addr] = e.Life()
		}
	}
	return out
}

// HeldByMost returns whether more than half of the endpoints that hold a model hold the
// version or a newer one.
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
