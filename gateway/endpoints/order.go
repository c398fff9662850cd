package endpoints

import (
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// lateWriteLimit is how long after an endpoint has gone the store may still apply one of its writes that
// was not acknowledged.
const lateWriteLimit = 10 * time.Second

// comparison is a record of an endpoint of which another record was used before.
type comparison struct {
	// known is the record that was used before, record the one in the store.
	known, record *roster.Endpoint
	// returned is set if record came back with the store from a copy, in place of another one.
	returned bool
	// gone is set if the endpoint had no record any more, for the time goneFor. lapsed is set if its last
	// record may have lapsed while it was running.
	gone, lapsed bool
	goneFor      time.Duration
	// outlasted is set once record has been in the store for so long that it would have lapsed if its
	// endpoint had not renewed it.
	outlasted bool
}

// supersedes returns whether the record is used in place of what is known. The store may apply a write
// seconds after a later one of the same endpoint, so that the record that came last need not be the one
// that was written last. A record that may have been written earlier is used only once somebody has
// renewed it, and never if the endpoint had stated that it leaves.
func (c *comparison) supersedes() bool {
	known, record := c.known.Incarnation(), c.record.Incarnation()
	switch {
	case record.Before(known):
		return c.outlasted
	case !record.Same(known), !c.mayBeEarlier():
		return true
	}
	return c.outlasted && !c.known.Leaving
}

// mayBeEarlier returns whether the record may have been written before the known one of the same
// incarnation. The sequence of a record in the store is that of its last change, and its endpoint is
// further on: it does not show whether a record was written before its endpoint went. Records without
// a sequence are taken in the order in which they come.
func (c *comparison) mayBeEarlier() bool {
	later := c.known.Sequence > 0 && c.record.Sequence > c.known.Sequence
	switch {
	case c.record.Sequence > 0 && c.record.Sequence < c.known.Sequence:
		return true
	case later && c.known.Leaving:
		return false
	case c.gone:
		return c.returned || !c.lapsed && c.record.Sequence > 0 && c.goneFor < lateWriteLimit
	}
	return c.returned && !later && c.known.Leaving
}

// keepLatest replaces the records of list that don't supersede what is known of their endpoints, or
// removes them if that is that the endpoint is gone. The lock must be held.
func (l *List) keepLatest(list, previous *roster.List, now time.Time) {
	back := recreated(list, previous)
	lapsed := len(back) > 0 && l.cfg.Retention.MayHaveLapsed(back, previous, now)
	for id, e := range list.Endpoints {
		c := l.compare(e, previous, list.Era, now)
		if back[id] {
			c.gone, c.lapsed = true, lapsed
		}
		if c.known == nil {
			continue
		}
		if c.supersedes() {
			delete(l.departed, id)
			continue
		}
		if c.gone {
			delete(list.Endpoints, id)
		} else {
			list.Endpoints[id] = c.known
		}
		l.noteUnused(c, list, now)
	}
}

// recreated returns the IDs of the endpoints whose records were gone between previous and list and are back.
// Both may come with one answer of the store.
func recreated(list, previous *roster.List) map[string]bool {
	out := map[string]bool{}
	for id, e := range list.Endpoints {
		known := previous.Endpoints[id]
		if known != nil && list.Era == previous.Era && known.Created > 0 && e.Created > known.Created {
			out[id] = true
		}
	}
	return out
}

// compare returns the comparison of e with what is known of the endpoint, which is nil if nothing is. The
// lock must be held.
func (l *List) compare(e *roster.Endpoint, previous *roster.List, era int64, now time.Time) *comparison {
	d := l.decoded[e.ID]
	c := &comparison{known: previous.Endpoints[e.ID], record: e, returned: d.returned, outlasted: !now.Before(d.readAt.Add(l.cfg.RecordTTL))}
	if gone, found := l.departed[e.ID]; found && c.known == nil {
		c.known, c.gone, c.lapsed, c.goneFor = gone.endpoint, true, gone.lapsed, d.readAt.Sub(gone.at)
		c.returned = gone.era != era
	}
	return c
}

// noteUnused logs that a record is not used, and schedules an update for when it may be. The lock must be
// held.
func (l *List) noteUnused(c *comparison, list *roster.List, now time.Time) {
	id := c.record.ID
	d := l.decoded[id]
	if d.unused {
		return
	}
	d.unused = true
	l.decoded[id] = d
	message := "earlier record not used"
	if c.gone {
		message = "departed endpoint not used"
	}
	l.cfg.Log.Info(message, "endpoint", id, "addr", c.record.Addr, "leaving", c.known.Leaving, "sequence", c.record.Sequence,
		"knownSequence", c.known.Sequence, "era", list.Era, "revision", list.Revision)
	time.AfterFunc(d.readAt.Add(l.cfg.RecordTTL).Sub(now), l.Update)
}
