package swarm

import "context"

// originTroubled returns whether the origin failed when it was last asked.
func (d *Download) originTroubled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inject.faults > 0 || d.inject.changed
}

// askElsewhere asks the first readers of other regions for chunk c, which may
// have got it before the origin failed, and returns whether one gave it.
func (d *Download) askElsewhere(ctx context.Context, c int) bool {
	for _, m := range d.firstReadersElsewhere(c) {
		if d.askFront(ctx, c, m) == askGot {
			return true
		}
	}
	return false
}

// elsewhereReaders is how many members of each other region are asked.
const elsewhereReaders = 2

// firstReadersElsewhere returns the members of other regions that bring chunk c
// into their region, without those that are barred.
func (d *Download) firstReadersElsewhere(c int) []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := map[string]bool{d.self.Region: true}
	var out []Member
	for _, m := range d.members {
		if seen[m.Region] {
			continue
		}
		seen[m.Region] = true
		for _, reader := range ranked(d.set.Root(), c, inRegion(d.members, m.Region), elsewhereReaders) {
			if !d.barred(reader) {
				out = append(out, reader)
			}
		}
	}
	return out
}
