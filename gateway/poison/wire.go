package poison

import (
	"encoding/binary"
	"math"
	"time"
)

// Sizes of the encoding, in bytes.
const (
	// recordSize is the size of a record without its crashes: shape, digest, generation,
	// relapses and number of crashes.
	recordSize = 8 + len(Digest{}) + 4 + 1 + 1
	// crashSize is the size of a crash of a request.
	crashSize = 8
	// partCrashSize is the size of a crash of a part, with its age.
	partCrashSize = crashSize + 4
)

// Flags in the number of relapses of a part.
const (
	// confirmedFlag is set if the part is confirmed.
	confirmedFlag = 0x80
	// survivedFlag is set if an endpoint survived the part.
	survivedFlag = 0x40
)

// Pack encodes the records of requests and leaves out others. Each consists of shape, digest, generation,
// relapses, number of crashes and the crashes, with integers in big-endian order.
func Pack(records []Record) []byte {
	var out []byte
	for _, r := range records {
		if r.Key.Kind != KindRequest {
			continue
		}
		out = appendHead(out, &r, r.Relapses)
		for _, l := range r.Crashes {
			out = binary.BigEndian.AppendUint64(out, uint64(l))
		}
	}
	return out
}

// PackParts encodes the records of parts and leaves out others. The encoding is that of Pack, with
// flags in the relapses, and with the age in milliseconds behind each crash.
func PackParts(records []Record) []byte {
	var out []byte
	for _, r := range records {
		if r.Key.Kind != KindPart {
			continue
		}
		relapses := r.Relapses
		if r.Confirmed {
			relapses |= confirmedFlag
		}
		if r.Survived {
			relapses |= survivedFlag
		}
		out = appendHead(out, &r, relapses)
		for i, l := range r.Crashes {
			out = binary.BigEndian.AppendUint64(out, uint64(l))
			out = binary.BigEndian.AppendUint32(out, r.ageMillis(i))
		}
	}
	return out
}

// ageMillis returns the age of the i-th crash in milliseconds, or 0 if it is not known.
func (r *Record) ageMillis(i int) uint32 {
	if i >= len(r.Ages) {
		return 0
	}
	return uint32(min(max(r.Ages[i].Milliseconds(), 0), math.MaxUint32))
}

// appendHead appends all but the crashes of a record.
func appendHead(out []byte, r *Record, relapses uint8) []byte {
	out = binary.BigEndian.AppendUint64(out, uint64(r.Key.Shape))
	out = append(out, r.Key.Digest[:]...)
	out = binary.BigEndian.AppendUint32(out, r.Generation)
	return append(out, relapses, byte(len(r.Crashes)))
}

// Unpack decodes the records of requests in p. A truncated record at the end is ignored.
func Unpack(p []byte) []Record {
	var out []Record
	for len(p) >= recordSize {
		r, crashes := unpackHead(KindRequest, p)
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

// UnpackParts decodes the records of parts in p. A truncated record at the end is ignored.
func UnpackParts(p []byte) []Record {
	var out []Record
	for len(p) >= recordSize {
		r, crashes := unpackHead(KindPart, p)
		r.Confirmed = r.Relapses&confirmedFlag != 0
		r.Survived = r.Relapses&survivedFlag != 0
		r.Relapses &^= confirmedFlag | survivedFlag
		p = p[recordSize:]
		if len(p) < crashes*partCrashSize {
			break
		}
		ages := map[Incarnation]time.Duration{}
		for range crashes {
			l := Incarnation(binary.BigEndian.Uint64(p))
			r.Crashes = append(r.Crashes, l)
			ages[l] = time.Duration(binary.BigEndian.Uint32(p[crashSize:])) * time.Millisecond
			p = p[partCrashSize:]
		}
		r = Join(r, Record{Key: r.Key, Generation: r.Generation}) // sorts and removes duplicates
		for _, l := range r.Crashes {
			r.Ages = append(r.Ages, ages[l])
		}
		out = append(out, r)
	}
	return out
}

// unpackHead decodes all but the crashes of the record at the start of p, and returns the number of
// crashes.
func unpackHead(k Kind, p []byte) (r Record, crashes int) {
	r.Key = Key{Kind: k, Shape: Shape(binary.BigEndian.Uint64(p))}
	rest := p[8:]
	rest = rest[copy(r.Key.Digest[:], rest):]
	r.Generation = binary.BigEndian.Uint32(rest)
	r.Relapses = rest[4]
	return r, int(rest[5])
}
