package roster

// Life is one life of an endpoint, from a start to its end. An endpoint that starts again
// may keep its ID; it then holds and knows nothing of before. What is believed of an
// endpoint, counted there or told of it belongs to one life.
type Life struct {
	ID string
	// Born is when the life began, in Unix milliseconds by the endpoint's own clock; 0 where
	// that is not told, as by older programs.
	Born int64
}

// Same returns whether l and m are one life as far as can be known: a life of which it is
// not told when it began may be any of its ID.
func (l Life) Same(m Life) bool {
	return l.ID == m.ID && (l.Born == m.Born || l.Born == 0 || m.Born == 0)
}

// Before returns whether l is an earlier life of the same endpoint than m.
func (l Life) Before(m Life) bool {
	return l.ID == m.ID && l.Born != 0 && l.Born < m.Born
}
