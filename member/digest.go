package member

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/roster"
)

// Digest is a relay's summary of other gateways. It is sent along with the relay's own
// heartbeat.
type Digest struct {
	// Loads aggregates their endpoint loads; nil if this digest carries none.
	Loads *Loads `json:"loads,omitempty"`
	Roll  Roll   `json:"roll"`
}

// Loads aggregates the endpoint loads of several gateways.
type Loads struct {
	// Covers is the number of gateways in the aggregate; the receiver is excluded.
	Covers int `json:"covers"`
	// InFlight counts in-flight requests by endpoint, Suspects the gateways that suspect an
	// endpoint.
	InFlight PackedCounts `json:"inFlight,omitempty"`
	Suspects PackedCounts `json:"suspects,omitempty"`
	// Demand is the work that the callers of these gateways ask for, by service and zone; older
	// versions omit and ignore it.
	Demand []Demand `json:"demand,omitempty"`
	// Shortages is what these gateways tell of the services whose room is short; older versions
	// omit and ignore it.
	Shortages []Shortage `json:"shortages,omitempty"`
	// Weights holds the weights of the gateways of the sender's zone that differ from 0. It is
	// sent within the zone; older versions omit and ignore it.
	Weights PackedWeights `json:"weights,omitempty"`
}

// Roll describes a relay's membership list by a hash and its recent changes.
type Roll struct {
	// Hash covers all members; see roll.
	Hash    uint64   `json:"hash"`
	Changes []Change `json:"changes,omitempty"`
}

// Change is a gateway that joined, changed or left.
type Change struct {
	Member
	Gone bool `json:"gone,omitempty"`
}

// PackedCounts encodes counts by endpoint. Each record is an endpointKey followed by the count.
type PackedCounts []byte

// packedSize is the size of a record in bytes: four of the key and one of the count.
const packedSize = 5

// maxCount is the largest count that is encoded; 255 also stands for anything above.
const maxCount = 255

// endpointKey is a hash of an endpoint's incarnation. Among 1,900 endpoints a collision occurs
// in one of 2,400 fleets; the two endpoints are then charged with each other's requests.
type endpointKey uint32

func keyOf(l roster.Incarnation) endpointKey {
	return endpointKey(xxhash.Sum64String(l.ID + "\x00" + strconv.FormatInt(l.Born, 10)))
}

// keyCounts holds counts by endpoint.
type keyCounts map[endpointKey]int

// get returns the count of l, including counts from gateways that do not know its start time.
func (c keyCounts) get(l roster.Incarnation) int {
	n := c[keyOf(l)]
	if l.Born != 0 {
		n += c[keyOf(roster.Incarnation{ID: l.ID})]
	}
	return n
}

// addCounts adds the counts of others, multiplied by sign.
func (c keyCounts) addCounts(others counts, sign int) {
	for id, byStart := range others {
		for born, n := range byStart {
			c[keyOf(roster.Incarnation{ID: id, Born: born})] += sign * n
		}
	}
}

func (c keyCounts) add(others keyCounts) {
	for k, n := range others {
		c[k] += n
	}
}

// pack encodes the positive counts.
func (c keyCounts) pack() PackedCounts {
	out := make(PackedCounts, 0, packedSize*len(c))
	for k, n := range c {
		if n > 0 {
			out = binary.BigEndian.AppendUint32(out, uint32(k))
			out = append(out, byte(min(n, maxCount)))
		}
	}
	return out
}

// unpack decodes p and ignores a truncated record at the end.
func (p PackedCounts) unpack() keyCounts {
	out := make(keyCounts, len(p)/packedSize)
	for ; len(p) >= packedSize; p = p[packedSize:] {
		out[endpointKey(binary.BigEndian.Uint32(p))] += int(p[packedSize-1])
	}
	return out
}

// hash returns the member's contribution to the hash of a roll.
func (m *Member) hash() uint64 {
	flags := strconv.FormatBool(m.Ready) + strconv.FormatBool(m.Watching) + strconv.FormatBool(m.Away)
	return xxhash.Sum64String(m.Entry.Name + "\x00" + strconv.FormatUint(m.Entry.Life, 10) + flags)
}
