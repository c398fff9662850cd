package swarm

import (
	"context"
	"slices"
	"time"

	"github.com/silverdeck/silverdeck/wait"
)

// When neighbours are replaced.
const (
	// haveTimeout is how long a neighbour may take to tell its news; it waits for some up
	// to a second.
	haveTimeout = 5 * time.Second
	// faultPause is how long a neighbour is not asked after a fault, for each fault in a
	// row.
	faultPause = 500 * time.Millisecond
	// maxStrikes is how many faults in a row replace a neighbour.
	maxStrikes = 3
	// maxCorrupt is how many corrupt chunks bar a member for the rest of the download: one
	// may be an accident.
	maxCorrupt = 2
)

// freshCandidates returns the members that are not neighbours yet.
func (d *Download) freshCandidates() []Member {
	var out []Member
	for _, m := range candidates(d.set.Root(), d.self, d.members, d.cfg.Degree) {
		used := slices.ContainsFunc(d.avail.neighbours, func(n neighbour) bool { return n.member.VM == m.VM && n.up })
		if !used && !d.barred(m) {
			out = append(out, m)
		}
	}
	return out
}

// fillNeighbours gives every free place to the next candidate.
func (d *Download) fillNeighbours(ctx context.Context) {
	for i := range d.avail.neighbours {
		if !d.avail.neighbours[i].up && d.avail.neighbours[i].outstanding == 0 && len(d.standby) > 0 {
			d.adopt(ctx, i)
		}
	}
	for len(d.avail.neighbours) < d.cfg.Degree && len(d.standby) > 0 {
		d.avail.neighbours = append(d.avail.neighbours, neighbour{})
		d.adopt(ctx, len(d.avail.neighbours)-1)
	}
}

// adopt makes the next candidate neighbour i and begins to listen to it.
func (d *Download) adopt(ctx context.Context, i int) {
	m := d.standby[0]
	d.standby = d.standby[1:]
	d.avail.forget(i)
	d.avail.neighbours[i] = neighbour{member: m, up: true}
	d.inflight.Add(1)
	go d.listen(ctx, i, m)
}

// listen keeps up with what neighbour i holds until it is replaced.
func (d *Download) listen(ctx context.Context, i int, m Member) {
	defer d.inflight.Done()
	since := 0
	for ctx.Err() == nil {
		hctx, cancel := context.WithTimeout(ctx, haveTimeout)
		news, err := d.peers.Have(hctx, m, d.set.Root(), since)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			since += len(news)
			if !d.heard(i, m, news) {
				return
			}
			continue
		}
		if d.strike(i, m) {
			return
		}
		since = 0
		if !wait.For(ctx, faultPause) {
			return
		}
	}
}

// heard notes news of neighbour i and returns whether m still is that neighbour.
func (d *Download) heard(i int, m Member, news []int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &d.avail.neighbours[i]
	if n.member != m || !n.up {
		return false
	}
	if len(news) > 0 {
		n.strikes = 0
	}
	for _, c := range news {
		if c >= 0 && c < len(d.avail.holders) {
			d.avail.holders[c] |= 1 << i
		}
	}
	if len(news) > 0 {
		d.signal()
	}
	return true
}

// strike notes a fault of neighbour i and returns whether it lost its place.
func (d *Download) strike(i int, m Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &d.avail.neighbours[i]
	if n.member != m || !n.up {
		return true
	}
	n.strikes++
	n.until = time.Now().Add(time.Duration(n.strikes) * faultPause)
	if n.strikes < maxStrikes && !d.barred(m) {
		return false
	}
	d.avail.forget(i)
	n.up = false
	if len(d.standby) == 0 {
		d.standby = d.freshCandidates()
	}
	d.signal()
	return true
}
