package admission

import "time"

const (
	// vacatedTTL is how long a slot counts as free after a request of this gateway has ended there.
	// Afterwards other gateways know of it.
	vacatedTTL = time.Second
	// maxVacated limits the number of slots that are remembered.
	maxVacated = 64
)

// vacatedSlot is a slot of an endpoint at which a request of this gateway has ended.
type vacatedSlot struct {
	endpoint string
	at       time.Time
}

// vacated holds the slots that came free, the last one at the end. A gateway that refills its own
// slots doesn't meet other gateways there, which learn of free slots late. The zero value is ready
// to use.
type vacated struct {
	slots []vacatedSlot
}

// add adds a slot of endpoint, if there is one.
func (v *vacated) add(endpoint string, now time.Time) {
	if endpoint == "" {
		return
	}
	if len(v.slots) >= maxVacated {
		v.slots = append(v.slots[:0], v.slots[1:]...)
	}
	v.slots = append(v.slots, vacatedSlot{endpoint: endpoint, at: now})
}

// take removes the slot that came free last and returns its endpoint, or "" if there is none.
func (v *vacated) take(now time.Time) string {
	if len(v.slots) == 0 {
		return ""
	}
	last := v.slots[len(v.slots)-1]
	if now.Sub(last.at) > vacatedTTL {
		v.slots = v.slots[:0]
		return ""
	}
	v.slots = v.slots[:len(v.slots)-1]
	return last.endpoint
}
