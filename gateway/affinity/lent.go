package affinity

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/gateway/zoneflow"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
)

// maxLent is the maximum number of endpoints of other zones per service that a gateway prefers.
const maxLent = 2 * minPreferred

// LentCount returns how often endpoints of other zones are preferred by the gateways of a zone, given
// their number and the share of the zone's demand that flows to other zones. The ratio to how often
// they prefer endpoints of their own zone is that of the demand, so that a small flow is left to a
// few of the gateways: those that share endpoints of the own zone with them gain as well.
func LentCount(share float64, gateways int) int {
	kept := 1 - share
	if minPreferred*share >= maxLent*kept {
		return maxLent * gateways
	}
	return int(math.Ceil(minPreferred * share / kept * float64(gateways)))
}

// Lent returns the IDs of the endpoints of other zones that the gateway named self prefers, in
// addition to those of its own zone; see Preferred. shares are the shares of the demand of its zone
// that flow to other zones, by service. The endpoints of each zone are dealt out evenly to the
// gateways of self's zone. This answers zones whose demand exceeds the room of their endpoints.
func Lent(list *roster.List, live []member.Entry, self string, shares map[string][]zoneflow.Share) map[string]bool {
	out := map[string]bool{}
	if list == nil || len(shares) == 0 {
		return out
	}
	groups := byServiceZone(list)
	for service, to := range shares {
		position, count := positionInZone(live, self, service)
		if count == 0 {
			return out
		}
		n := LentCount(zoneflow.Total(to), count)
		for slot := position; slot < n; slot += count {
			zone, first := zoneOfSlot(to, slot, n)
			ids := groups[serviceZone{service: service, zone: zone}]
			if len(ids) > 0 {
				out[ids[endpointIndex(slot-first, len(ids), count)]] = true
			}
		}
	}
	return out
}

// positionInZone returns the position of self among the live gateways of its zone and their number,
// which is 0 if self is not live. The order is by a hash of service and name, so that small flows of
// several services are not left to the same gateways.
func positionInZone(live []member.Entry, self, service string) (position, count int) {
	i := slices.IndexFunc(live, func(e member.Entry) bool { return e.Name == self })
	if i < 0 {
		return 0, 0
	}
	own := xxhash.Sum64String(service + "\x00" + self)
	for _, e := range live {
		if e.Zone != live[i].Zone {
			continue
		}
		count++
		if xxhash.Sum64String(service+"\x00"+e.Name) < own {
			position++
		}
	}
	return position, count
}

// zoneOfSlot returns the zone to which a slot, out of n, belongs if zones have slots in proportion to
// their shares, and the first slot of that zone.
func zoneOfSlot(shares []zoneflow.Share, slot, n int) (zone string, first int) {
	total, sum := zoneflow.Total(shares), 0.0
	for i, s := range shares {
		first = int(math.Round(sum / total * float64(n)))
		sum += s.Share
		if i == len(shares)-1 || slot < int(math.Round(sum/total*float64(n))) {
			return s.To, first
		}
	}
	return "", 0
}

// byServiceZone returns the IDs of the endpoints of each service and zone, sorted.
func byServiceZone(list *roster.List) map[serviceZone][]string {
	out := map[serviceZone][]string{}
	for id, e := range list.Endpoints {
		g := serviceZone{service: e.Service, zone: e.Zone}
		out[g] = append(out[g], id)
	}
	for _, ids := range out {
		slices.Sort(ids)
	}
	return out
}

// endpointIndex returns the index of the endpoint, out of n, in the i-th step of a round-robin
// assignment to gateways. Without the correction, a gateway would be assigned the same endpoint
// again after the least common multiple of both numbers; it is assigned the next one instead.
func endpointIndex(i, n, gateways int) int {
	return (i + i/lcm(n, gateways)) % n
}

// lcm returns the least common multiple of a and b.
func lcm(a, b int) int {
	x, y := a, b
	for y != 0 {
		x, y = y, x%y
	}
	return a / x * b
}
