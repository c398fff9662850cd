package member

import (
	"cmp"
	"slices"
)

// Contacts are a few gateways of a large fleet, kept in the store for processes that start. Without
// them, each such process would read the list of all gateways, and when all start at once, the
// transfers would grow with the square of their number.
type Contacts struct {
	// Size is the number of live gateways when the contacts were written.
	Size int `json:"size"`
	// Gateways are the relays of each availability zone, sorted by zone and name.
	Gateways []Entry `json:"gateways"`
}

// minContactsSize is the number of gateways from which contacts are written. The list of fewer
// takes about 10 KB.
const minContactsSize = 32

// sizeTolerance is the share by which the size of a fleet may change before contacts are written
// again.
const sizeTolerance = 0.25

// ContactsOf returns the contacts of a fleet with the given live gateways. There are none if it is
// small.
func ContactsOf(live []Member) Contacts {
	if len(live) < minContactsSize {
		return Contacts{}
	}
	zones := map[string][]Member{}
	for _, m := range live {
		zones[m.Entry.Zone] = append(zones[m.Entry.Zone], m)
	}
	c := Contacts{Size: len(live)}
	for _, members := range zones {
		for _, m := range Relays(members) {
			e := m.Entry
			e.Life = 0 // a contact outlives a restart of its process
			c.Gateways = append(c.Gateways, e)
		}
	}
	slices.SortFunc(c.Gateways, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	return c
}

// Replaces reports whether c has to be written in place of old.
func (c *Contacts) Replaces(old *Contacts) bool {
	if len(c.Gateways) == 0 {
		return false
	}
	grown := float64(c.Size) > (1+sizeTolerance)*float64(old.Size)
	shrunk := float64(c.Size) < (1-sizeTolerance)*float64(old.Size)
	return grown || shrunk || !slices.Equal(c.Gateways, old.Gateways)
}

// Contacts returns the contacts of the fleet as this gateway knows it, and whether it is the one
// that writes them: the first of them.
func (t *Table) Contacts() (c Contacts, writes bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := []Member{{Entry: t.self, Ready: t.ready}}
	for _, m := range t.liveMembers() {
		live = append(live, m)
	}
	c = ContactsOf(live)
	return c, len(c.Gateways) > 0 && c.Gateways[0].Name == t.self.Name
}
