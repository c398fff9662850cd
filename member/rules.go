package member

import (
	"cmp"
	"slices"
	"time"
)

// Who sends to whom.
const (
	// maxMeshSize is how many gateways send heartbeats to each other without relays: with four
	// in each of three zones a relay sends to seven others, who would be heard a step
	// later. Each then sends 55 heartbeats a second of some 600 bytes, 33 KB, which is over
	// the 13 that the project's brief allows. The sites of 6 to 9 gateways were not played
	// with relays.
	maxMeshSize = 12
	// relaysPerZone is how many gateways of a zone are relays: the loss of one costs
	// nobody what the other tells.
	relaysPerZone = 2
	// probesPerHeartbeat is how many of the gateways that are listed and not alive a relay tries each
	// time; by turns it tries all. Who starts while the store is away knows nobody.
	probesPerHeartbeat = 4
	// fullHeartbeatEvery is how many heartbeats there are from one that tells everything to the
	// next: a second. Who missed one waits for no longer.
	fullHeartbeatEvery = 5
	// fullHeartbeatsAfterChange is how many tell everything after a change: two may be lost.
	fullHeartbeatsAfterChange = 3
	// digestLoadsEvery is how many digests there are from one with loads to the next. The two
	// relays of a zone are not in step, so that loads are as old as with one in each.
	digestLoadsEvery = 2
)

// Times of digests.
const (
	// rollRetention is for how long the roll of a relay that has gone silent is used where no
	// other tells of its zone: both relays may die at once, and the next two are known
	// after AliveTime. Without it the whole zone would count as dead meanwhile.
	rollRetention = 2 * AliveTime
	// settleTime is how long all gateways of a zone take to report to a new relay, as they
	// do once they know of it: what it tells before that lacks some who are alive.
	settleTime = 3 * Interval
	// changeRetention is for how long a change of a roll is told: five digests, of which four
	// may be lost.
	changeRetention = time.Second
	// maxDigestChanges is how many changes a digest tells. Where more come at once, as when many
	// gateways die, the whole roll is asked for, which is smaller than that many changes in
	// each of five digests.
	maxDigestChanges = 16
	// rollRequestInterval is the time between two questions for a relay's whole roll.
	rollRequestInterval = 300 * time.Millisecond
)

// Member is what is known of a gateway that is alive.
type Member struct {
	Entry Entry `json:"entry"`
	// Ready, Watching and Away are as in its heartbeat.
	Ready    bool `json:"ready,omitempty"`
	Watching bool `json:"watching,omitempty"`
	Away     bool `json:"away,omitempty"`
}

// Relays returns the relays among the gateways of one zone that are alive, best first:
// those that are ready, by name. It sorts members.
func Relays(members []Member) []Member {
	slices.SortFunc(members, func(a, b Member) int {
		if a.Ready != b.Ready {
			if a.Ready {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Entry.Name, b.Entry.Name)
	})
	return members[:min(relaysPerZone, len(members))]
}

// UsesRelays returns whether heartbeats go by relays, where so many gateways are known,
// this one among them, and some of those that are alive know no relays.
func UsesRelays(gateways int, someOlder bool) bool {
	return gateways > maxMeshSize && !someOlder
}
