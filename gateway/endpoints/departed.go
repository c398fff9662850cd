package endpoints

import (
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// departedMemory is how long an endpoint that is gone is remembered. The copy from which the store
// returns is some seconds old.
const departedMemory = time.Minute

// departed is an endpoint that is gone, with its last record.
type departed struct {
	endpoint *roster.Endpoint
	// era is the era of the store in which it went, at the time at.
	era int64
	at  time.Time
	// lapsed is set if its record may have lapsed while it was running.
	lapsed bool
}

// noteDeparted remembers the endpoints of previous that are not in list. The lock must be held.
func (l *List) noteDeparted(list, previous *roster.List, now time.Time) {
	for id, d := range l.departed {
		if now.Sub(d.at) > departedMemory {
			delete(l.departed, id)
		}
	}
	gone := map[string]bool{}
	for id := range previous.Endpoints {
		if list.Endpoints[id] == nil {
			gone[id] = true
		}
	}
	if len(gone) == 0 {
		return
	}
	lapsed := l.cfg.Retention.MayHaveLapsed(gone, previous, now)
	for id := range gone {
		l.departed[id] = departed{endpoint: previous.Endpoints[id], era: list.Era, at: now, lapsed: lapsed}
	}
}
