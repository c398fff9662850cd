package member

import "github.com/silverdeck/silverdeck/roster"

// counts holds counts by endpoint and start time. The start time is 0 if the reporting gateway
// does not know it.
type counts map[string]map[int64]int

// add adds n to the count of l and removes the count once it is no longer positive.
func (c counts) add(l roster.Incarnation, n int) {
	lives := c[l.ID]
	if lives == nil {
		lives = map[int64]int{}
		c[l.ID] = lives
	}
	lives[l.Born] += n
	if lives[l.Born] <= 0 {
		delete(lives, l.Born)
	}
	if len(lives) == 0 {
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
