package swarm

import "context"

// originUnusable reports whether the last read of the origin failed, the origin has another
// version, or the download does not read from it.
func (d *Download) originUnusable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg.OriginStatus.suspect() || d.schedule.changed || d.mode != ModeAll
}

// fetchFromOtherRegions requests chunk c from its readers in other regions, which may have read
// it before the origin failed. It reports whether the chunk was received.
func (d *Download) fetchFromOtherRegions(ctx context.Context, c int) bool {
	for _, m := range d.remoteReaders(c) {
		if d.fetchFromReader(ctx, c, m, false) == readerDelivered {
			return true
		}
	}
	return false
}

// readersPerRegion is how many readers of each other region are tried. It is more than one
// because the first reader may have failed together with the origin.
const readersPerRegion = 2

// remoteReaders returns the highest-ranked readers of chunk c in each other region, except
// banned members.
func (d *Download) remoteReaders(c int) []Member {
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
			if !d.banned(reader) {
				out = append(out, reader)
			}
		}
	}
	return out
}
