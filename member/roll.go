package member

import (
	"time"
)

// roll is a set of members by name, with its hash: that of each member, by exclusive or.
type roll struct {
	members map[string]Member
	hash    uint64
}

func newRoll() *roll {
	return &roll{members: map[string]Member{}}
}

// put adds m, or puts it in the place of what was known, and returns whether that is news.
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

// apply takes in changes and returns whether there was news among them.
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

// trackedRoll is a roll that a relay tells others of, with what changed of late.
type trackedRoll struct {
	roll
	changes map[string]timedChange
}

// timedChange is a member's last timedChange.
type timedChange struct {
	Change
	at time.Time
}

func newTrackedRoll() *trackedRoll {
	return &trackedRoll{roll: *newRoll(), changes: map[string]timedChange{}}
}

// update makes members the roll.
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

// summary returns what is told of the roll: no changes where they are too many, since who
// sees another hash asks for all of it.
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
