package mirror

// Position is a point in the history of the store. The store begins an era each time it returns from
// a copy: it has lost the latest changes, and gives out their revisions again.
type Position struct {
	// Era counts from 1. It is 0 if it is not known, as in copies from older programs.
	Era, Revision int64
}

// After reports whether p is later than q: a later era is, whatever the revisions.
func (p Position) After(q Position) bool {
	if p.Era != q.Era {
		return p.Era > q.Era
	}
	return p.Revision > q.Revision
}
