package endpoints

import (
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// departedMemory is how long an endpoint that is gone is remembered. The copy from which the store
// returns is some seconds old.
const departedMemory = time.Minute

// departed is an endpoint that is gone.
type departed struct {
	roster.Incarnation
	// leaving is set if it had stated that it leaves.
	leaving bool
	// era is the era of the store in which it went, at the time at.
	era int64
	at  time.Time
	// refused is set once its record was not used.
	refused bool
}

// keepLeaving marks the endpoints that leave according to previous and whose records returned with the
// store. A record that was written since is its endpoint's own word. The lock must be held.
func (l *List) keepLeaving(list, previous *roster.List) {
	for id, e := range list.Endpoints {
		known := previous.Endpoints[id]
		if known == nil || !l.decoded[id].returned || !known.Leaving || e.Leaving || !known.Incarnation().Same(e.Incarnation()) {
			continue
		}
		leaving := *e
		leaving.Leaving = true
		list.Endpoints[id] = &leaving
	}
}

// dropDeparted removes endpoints that were gone before the store returned from a copy with their records.
// A record that persists for RecordTTL is used: somebody writes it. That does not hold for an endpoint
// that had stated that it leaves. The lock must be held.
func (l *List) dropDeparted(list *roster.List, now time.Time) {
	for id, e := range list.Endpoints {
		d, found := l.departed[id]
		if !found {
			continue
		}
		if d.era == list.Era || !d.Same(e.Incarnation()) {
			delete(l.departed, id)
			continue
		}
		remaining := l.decoded[id].readAt.Add(l.cfg.RecordTTL).Sub(now)
		if remaining <= 0 && !d.leaving {
			delete(l.departed, id)
			continue
		}
		delete(list.Endpoints, id)
		if d.refused {
			continue
		}
		d.refused = true
		l.departed[id] = d
		l.cfg.Log.Info("departed endpoint not used", "endpoint", id, "addr", e.Addr, "leaving", d.leaving, "era", list.Era, "revision", list.Revision)
		if !d.leaving {
			time.AfterFunc(remaining, l.Update)
		}
	}
}

// noteDeparted remembers the endpoints of previous that are not in list. The lock must be held.
func (l *List) noteDeparted(list, previous *roster.List, now time.Time) {
	for id, d := range l.departed {
		if now.Sub(d.at) > departedMemory {
			delete(l.departed, id)
		}
	}
	for id, e := range previous.Endpoints {
		if list.Endpoints[id] == nil {
			l.departed[id] = departed{Incarnation: e.Incarnation(), leaving: e.Leaving, era: list.Era, at: now}
		}
	}
}
