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

// fetchFromHomeRegion requests chunk c from the readers in its home reader's region that rank after
// that one and read it in its place. It reports whether the chunk was received.
func (d *Download) fetchFromHomeRegion(ctx context.Context, c int) bool {
	for _, m := range d.nextHomeReaders(c) {
		if d.fetchFromReader(ctx, c, m, true) == readerDelivered {
			return true
		}
	}
	return false
}

// nextHomeReaders returns the members that rank next after the home reader of chunk c in its region,
// except banned ones and stragglers.
func (d *Download) nextHomeReaders(c int) []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	home := ranked(d.set.Root(), c, d.members, 1)
	if len(home) == 0 {
		return nil
	}
	var out []Member
	for _, m := range ranked(d.set.Root(), c, inRegion(d.members, home[0].Region), 1+readersPerRegion)[1:] {
		if !d.banned(m) && !d.skips(m) {
			out = append(out, m)
		}
	}
	return out
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
