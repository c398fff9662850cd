package poison

import "encoding/binary"

// Sizes of the encoding, in bytes.
const (
	// recordSize is the size of a record without its crashes: shape, digest, generation,
	// relapses and number of crashes.
	recordSize = 8 + len(Digest{}) + 4 + 1 + 1
	// crashSize is the size of a crash.
	crashSize = 8
)

// Pack encodes records. Each consists of shape, digest, generation, relapses, number of crashes
// and the crashes, with integers in big-endian order.
func Pack(records []Record) []byte {
	var out []byte
	for _, r := range records {
		out = binary.BigEndian.AppendUint64(out, uint64(r.Key.Shape))
		out = append(out, r.Key.Digest[:]...)
		out = binary.BigEndian.AppendUint32(out, r.Generation)
		out = append(out, r.Relapses, byte(len(r.Crashes)))
		for _, l := range r.Crashes {
			out = binary.BigEndian.AppendUint64(out, uint64(l))
		}
	}
	return out
}

// Unpack decodes the records in p. A truncated record at the end is ignored.
func Unpack(p []byte) []Record {
	var out []Record
	for len(p) >= recordSize {
		r := Record{Key: Key{Shape: Shape(binary.BigEndian.Uint64(p))}}
		rest := p[8:]
		rest = rest[copy(r.Key.Digest[:], rest):]
		r.Generation = binary.BigEndian.Uint32(rest)
		r.Relapses = rest[4]
		crashes := int(rest[5])
		p = p[recordSize:]
		if len(p) < crashes*crashSize {
			break
		}
		for range crashes {
			r.Crashes = append(r.Crashes, Incarnation(binary.BigEndian.Uint64(p)))
			p = p[crashSize:]
		}
		out = append(out, Join(r, Record{Key: r.Key, Generation: r.Generation})) // sorts and removes duplicates
	}
	return out
}
