package member

import (
	"cmp"
	"slices"
	"time"
)

// Topology.
const (
	// maxMeshSize is the largest number of gateways that use a full mesh instead of relays.
	// With four gateways in each of three zones a relay would send to seven others, and loads
	// would arrive one hop later. At this size each gateway sends 55 heartbeats per
	// second of about 600 bytes, 33 KB/s, which exceeds the 13 KB/s allowed for control
	// traffic. Relays have not been tried on sites of 6 to 9 gateways.
	maxMeshSize = 12
	// relaysPerZone is the number of relays in a zone. With two, the loss of one loses no
	// information.
	relaysPerZone = 2
	// probesPerHeartbeat is how many listed gateways that are not alive a relay probes with
	// each heartbeat, in rotation. A gateway that starts while the store is unavailable knows
	// no other and depends on these probes.
	probesPerHeartbeat = 4
	// fullHeartbeatEvery is the number of heartbeats from one full heartbeat to the next: one
	// second, which bounds the delay for a receiver that missed one.
	fullHeartbeatEvery = 5
	// fullHeartbeatsAfterChange is the number of full heartbeats after a change. Two of them
	// may be lost.
	fullHeartbeatsAfterChange = 3
	// digestLoadsEvery is the number of digests from one with loads to the next. The two relays
	// of a zone send at different times, so loads are as recent as with one relay that sends
	// them in each digest.
	digestLoadsEvery = 2
)

// Digest timing.
const (
	// rollRetention is how long the membership list of a silent relay is used if no other relay
	// covers its zone. Both relays of a zone may die at once, and their successors are known
	// only after AliveTime; without the retention the whole zone would count as dead meanwhile.
	rollRetention = 2 * AliveTime
	// settleTime is how long it takes until all gateways of a zone report to a new relay, which
	// they do once they know of it. Before that its membership list may lack live gateways.
	settleTime = 3 * Interval
	// changeRetention is how long a membership change is repeated: in five digests, four of
	// which may be lost.
	changeRetention = time.Second
	// maxDigestChanges is the largest number of changes in a digest. If more occur at once, as
	// when many gateways die, receivers request the full list, which is smaller than that many
	// changes in each of five digests.
	maxDigestChanges = 16
	// rollRequestInterval is the minimum time between two requests for a relay's full
	// membership list.
	rollRequestInterval = 300 * time.Millisecond
)

// Member is the state of a live gateway.
type Member struct {
	Entry Entry `json:"entry"`
	// Ready, Watching and Away are as in Heartbeat.
	Ready    bool `json:"ready,omitempty"`
	Watching bool `json:"watching,omitempty"`
	Away     bool `json:"away,omitempty"`
}

// Relays returns the relays among the live gateways of one zone: the first relaysPerZone by
// name, gateways that are ready before the others. It sorts members in place.
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

// UsesRelays returns whether heartbeats go through relays. gateways is the number of known
// gateways, this one included; someOlder is set if a live gateway does not support relays.
func UsesRelays(gateways int, someOlder bool) bool {
	return gateways > maxMeshSize && !someOlder
}
