package member

import "github.com/silverdeck/silverdeck/roster"

// counts are numbers by life of an endpoint, which may be told without the time of its
// start.
type counts map[string]map[int64]int

// add adds n to a count and drops it when nothing is left.
func (c counts) add(l roster.Life, n int) {
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

// get returns the count get l, with what may be get it as far as is known.
func (c counts) get(l roster.Life) int {
	n := 0
	for born, counted := range c[l.ID] {
		if l.Same(roster.Life{ID: l.ID, Born: born}) {
			n += counted
		}
	}
	return n
}
