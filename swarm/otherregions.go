package swarm

import "context"

// originFails returns whether the origin failed when it was last asked.
func (d *Download) originFails() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.schedule.faults > 0 || d.schedule.changed
}

// askOtherRegions asks the first readers of other regions for chunk c, which may
// have got it before the origin failed, and returns whether one gave it.
func (d *Download) askOtherRegions(ctx context.Context, c int) bool {
	for _, m := range d.readersElsewhere(c) {
		if d.askReader(ctx, c, m) == readerGave {
			return true
		}
	}
	return false
}

// readersPerRegion is how many members of each other region are asked: the first may have
// died with the origin.
const readersPerRegion = 2

// readersElsewhere returns the members of other regions that bring chunk c
// into their region, without those that are barred.
func (d *Download) readersElsewhere(c int) []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := map[string]bool{d.self.Region: true}
	var out []Member
	for _, m := range d.members {
		if seen[m.Region] {
			continue
		}
		seen[m.Region] = true
		for _, reader := range ranked(d.set.Root(), c, inRegion(d.members, m.Region), readersPerRegion) {
			if !d.barred(reader) {
				out = append(out, reader)
			}
		}
	}
	return out
}
