package roster

// Incarnation is one run of an endpoint from a start to its end. A restarted endpoint may keep
// its ID, but has none of its former state. Health, request counts and advice therefore
// belong to an incarnation.
type Incarnation struct {
	ID string
	// Born is the start time in Unix milliseconds by the endpoint's own clock, or 0 if it is
	// unknown, as with older versions.
	Born int64
}

// Same reports whether l and m may be the same incarnation: one with an unknown start time
// matches any with its ID.
func (l Incarnation) Same(m Incarnation) bool {
	return l.ID == m.ID && (l.Born == m.Born || l.Born == 0 || m.Born == 0)
}

// Before reports whether l is an earlier incarnation of the same endpoint than m.
func (l Incarnation) Before(m Incarnation) bool {
	return l.ID == m.ID && l.Born != 0 && l.Born < m.Born
}
