package poison

import "encoding/binary"

// Sizes on the wire, in bytes.
const (
	// recordSize is that of a record without its ends: shape, digest, round, relapses and the
	// number of ends.
	recordSize = 8 + len(Digest{}) + 4 + 1 + 1
	// lifeSize is that of an end.
	lifeSize = 8
)

// Pack returns records as they are sent: for each its shape, digest, round, relapses, the
// number of ends and the ends, numbers in big-endian order.
func Pack(records []Record) []byte {
	var out []byte
	for _, r := range records {
		out = binary.BigEndian.AppendUint64(out, uint64(r.Key.Shape))
		out = append(out, r.Key.Digest[:]...)
		out = binary.BigEndian.AppendUint32(out, r.Round)
		out = append(out, r.Relapses, byte(len(r.Ends)))
		for _, l := range r.Ends {
			out = binary.BigEndian.AppendUint64(out, uint64(l))
		}
	}
	return out
}

// Unpack returns the records in p. What is left of a record that is not whole is dropped.
func Unpack(p []byte) []Record {
	var out []Record
	for len(p) >= recordSize {
		r := Record{Key: Key{Shape: Shape(binary.BigEndian.Uint64(p))}}
		rest := p[8:]
		rest = rest[copy(r.Key.Digest[:], rest):]
		r.Round = binary.BigEndian.Uint32(rest)
		r.Relapses = rest[4]
		ends := int(rest[5])
		p = p[recordSize:]
		if len(p) < ends*lifeSize {
			break
		}
		for range ends {
			r.Ends = append(r.Ends, Life(binary.BigEndian.Uint64(p)))
			p = p[lifeSize:]
		}
		out = append(out, Join(r, Record{Key: r.Key, Round: r.Round})) // in order, each once
	}
	return out
}
