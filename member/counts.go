package member

import "github.com/silverdeck/silverdeck/roster"

// counts holds counts by endpoint and start time. The start time is 0 if the reporting gateway
// does not know it.
type counts map[string]map[int64]int

// add adds n to the count of l and removes the count once it is no longer positive.
func (c counts) add(l roster.Incarnation, n int) {
	byStart := c[l.ID]
	if byStart == nil {
		byStart = map[int64]int{}
		c[l.ID] = byStart
	}
	byStart[l.Born] += n
	if byStart[l.Born] <= 0 {
		delete(byStart, l.Born)
	}
	if len(byStart) == 0 {
		delete(c, l.ID)
	}
}

// get returns the count of l, including counts that may refer to it because a start time is
// unknown.
func (c counts) get(l roster.Incarnation) int {
	n := 0
	for born, counted := range c[l.ID] {
		if l.Same(roster.Incarnation{ID: l.ID, Born: born}) {
			n += counted
		}
	}
	return n
}
