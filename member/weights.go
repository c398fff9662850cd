package member

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PackedWeights encodes the weights of gateways. Each record is a hash of the gateway's name followed
// by the weight as a signed byte.
type PackedWeights []byte

// weightSize is the size of a record in bytes: four of the hash and one of the weight.
const weightSize = 5

func weightKey(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// packWeights encodes weights by gateway name.
func packWeights(weights map[string]int) PackedWeights {
	out := make(PackedWeights, 0, weightSize*len(weights))
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		out = binary.BigEndian.AppendUint32(out, weightKey(name))
		out = append(out, byte(int8(max(min(weights[name], 127), -128))))
	}
	return out
}

// unpack decodes p and ignores a truncated record at the end.
func (p PackedWeights) unpack() map[uint32]int {
	out := make(map[uint32]int, len(p)/weightSize)
	for ; len(p) >= weightSize; p = p[weightSize:] {
		out[binary.BigEndian.Uint32(p)] = int(int8(p[weightSize-1]))
	}
	return out
}

// Weights returns the weights of the live gateways of this gateway's zone by name, itself included,
// without those of weight 0. It returns false while they are unknown because no relay tells them.
func (t *Table) Weights() (map[string]int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	view := t.currentView()
	if view.direct {
		return t.directWeights(), t.hearsZone()
	}
	out := map[string]int{}
	for name, m := range t.liveMembers() {
		if w := view.remote[0].weights[weightKey(name)]; w != 0 && m.Entry.Zone == t.self.Zone {
			out[name] = w
		}
	}
	if t.ownWeight != 0 {
		out[t.self.Name] = t.ownWeight
	}
	return out, true
}

// hearsZone returns whether the gateways of the zone send their heartbeats to this gateway. The caller
// must hold t.mu.
func (t *Table) hearsZone() bool {
	return !t.usesRelays() || t.isRelay()
}

// directWeights returns the weights in the heartbeats that this gateway received from its zone, and its
// own. The caller must hold t.mu.
func (t *Table) directWeights() map[string]int {
	out := map[string]int{}
	for name, p := range t.direct {
		if p.heartbeat.Weight != 0 && p.heartbeat.Entry.Zone == t.self.Zone {
			out[name] = p.heartbeat.Weight
		}
	}
	if t.ownWeight != 0 {
		out[t.self.Name] = t.ownWeight
	}
	return out
}

// MeanDemand returns the demand of all services over a longer time, in slots: this gateway's and the
// mean of the gateways of its zone. It returns false while the latter is unknown.
func (t *Table) MeanDemand() (own, mean float64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	view := t.currentView()
	if view.direct && !t.hearsZone() {
		return 0, 0, false
	}
	for i := range t.ownDemand {
		own += float64(max(t.ownDemand[i].Mean, 0)) / demandUnits
	}
	sum := own
	for key, others := range t.otherDemand(view) {
		if key.zone == t.self.Zone {
			sum += float64(max(others.mean, 0)) / demandUnits
		}
	}
	return own, sum / float64(len(t.zoneMembers(t.self.Zone))), true
}
