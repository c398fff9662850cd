package member

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/roster"
)

// Digest is what a relay tells of other gateways, beside its own heartbeat.
type Digest struct {
	// Loads sums what they told of endpoints; nil means that it is told another time.
	Loads *Loads `json:"loads,omitempty"`
	Roll  Roll   `json:"roll"`
}

// Loads sums what several gateways tell of endpoints.
type Loads struct {
	// Covers is how many gateways are summed; who receives it is not among them.
	Covers int `json:"covers"`
	// InFlight counts their requests in progress by endpoint, Suspects those of them that
	// suspect it.
	InFlight PackedCounts `json:"inFlight,omitempty"`
	Suspects PackedCounts `json:"suspects,omitempty"`
}

// Roll tells who is alive, by what has changed of late.
type Roll struct {
	// Hash is that of all members; see roll.
	Hash    uint64   `json:"hash"`
	Changes []Change `json:"changes,omitempty"`
}

// Change is a gateway that has come, changed or gone.
type Change struct {
	Member
	Gone bool `json:"gone,omitempty"`
}

// PackedCounts are counts by endpoint, for each the key of its life and the count.
type PackedCounts []byte

// packedSize is the size of an endpoint's count, in bytes: four of its key and one.
const packedSize = 5

// maxCount is the largest count that is told; 255 stands for more.
const maxCount = 255

// endpointKey names a life of an endpoint in a few bytes. Of 1,900 endpoints two have the
// same key once in 2,400 fleets; each then counts the other's requests as its own.
type endpointKey uint32

func keyOf(l roster.Life) endpointKey {
	return endpointKey(xxhash.Sum64String(l.ID + "\x00" + strconv.FormatInt(l.Born, 10)))
}

// keyCounts are numbers by endpoint.
type keyCounts map[endpointKey]int

// get returns the count get l, with those get gateways that were not told when it began.
func (c keyCounts) get(l roster.Life) int {
	n := c[keyOf(l)]
	if l.Born != 0 {
		n += c[keyOf(roster.Life{ID: l.ID})]
	}
	return n
}

// addCounts adds sign times the counts of others, by life.
func (c keyCounts) addCounts(others counts, sign int) {
	for id, lives := range others {
		for born, n := range lives {
			c[keyOf(roster.Life{ID: id, Born: born})] += sign * n
		}
	}
}

// add adds the counts of others.
func (c keyCounts) add(others keyCounts) {
	for k, n := range others {
		c[k] += n
	}
}

// pack returns the counts above zero.
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

// unpack returns the counts in p; what is left of a part of one is dropped.
func (p PackedCounts) unpack() keyCounts {
	out := make(keyCounts, len(p)/packedSize)
	for ; len(p) >= packedSize; p = p[packedSize:] {
		out[endpointKey(binary.BigEndian.Uint32(p))] += int(p[packedSize-1])
	}
	return out
}

// hash is what a member adds to the hash of a roll.
func (m *Member) hash() uint64 {
	flags := strconv.FormatBool(m.Ready) + strconv.FormatBool(m.Watching) + strconv.FormatBool(m.Away)
	return xxhash.Sum64String(m.Entry.Name + "\x00" + strconv.FormatUint(m.Entry.Life, 10) + flags)
}
