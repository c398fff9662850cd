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
			l.departed[id] = departed{endpoint: e, era: list.Era, at: now}
		}
	}
}
