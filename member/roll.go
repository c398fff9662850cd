package member

import (
	"time"
)

// roll is a membership list by name. Its hash is the exclusive or of the hashes of its members.
type roll struct {
	members map[string]Member
	hash    uint64
}

func newRoll() *roll {
	return &roll{members: map[string]Member{}}
}

// put adds or replaces m and returns whether the list changed.
func (r *roll) put(m Member) bool {
	old, found := r.members[m.Entry.Name]
	if found && old == m {
		return false
	}
	r.remove(m.Entry.Name)
	r.members[m.Entry.Name] = m
	r.hash ^= m.hash()
	return true
}

func (r *roll) remove(name string) bool {
	old, found := r.members[name]
	if found {
		r.hash ^= old.hash()
		delete(r.members, name)
	}
	return found
}

// apply applies changes and returns whether the list changed.
func (r *roll) apply(changes []Change) bool {
	news := false
	for _, c := range changes {
		if c.Gone {
			news = r.remove(c.Entry.Name) || news
			continue
		}
		news = r.put(c.Member) || news
	}
	return news
}

// trackedRoll is the membership list that a relay sends, with its recent changes.
type trackedRoll struct {
	roll
	changes map[string]timedChange
}

// timedChange is the last change of a member, with its time.
type timedChange struct {
	Change
	at time.Time
}

func newTrackedRoll() *trackedRoll {
	return &trackedRoll{roll: *newRoll(), changes: map[string]timedChange{}}
}

// update replaces the list by members and records the differences.
func (l *trackedRoll) update(members map[string]Member, now time.Time) {
	for name, old := range l.members {
		if _, still := members[name]; !still {
			l.remove(name)
			gone := Member{Entry: Entry{Name: name, Life: old.Entry.Life}}
			l.changes[name] = timedChange{Change: Change{Member: gone, Gone: true}, at: now}
		}
	}
	for name, m := range members {
		if l.put(m) {
			l.changes[name] = timedChange{Change: Change{Member: m}, at: now}
		}
	}
	for name, c := range l.changes {
		if now.Sub(c.at) >= changeRetention {
			delete(l.changes, name)
		}
	}
}

// summary returns the description of the list that is sent in a digest. It omits the changes if
// there are too many; receivers request the full list when the hash differs from theirs.
func (l *trackedRoll) summary() Roll {
	out := Roll{Hash: l.hash}
	if len(l.changes) > maxDigestChanges {
		return out
	}
	for _, c := range l.changes {
		out.Changes = append(out.Changes, c.Change)
	}
	return out
}
