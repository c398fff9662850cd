package poison

import (
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PartID identifies a part of a prompt that several requests may share. It is a number of up to 128
// bits, in big-endian order. Platforms with longer IDs map them to such a number.
type PartID [16]byte

// String returns the number in hexadecimal, without leading zeros.
func (id PartID) String() string {
	s := strings.TrimLeft(hex.EncodeToString(id[:]), "0")
	if s == "" {
		return "0"
	}
	return s
}

// Key returns the key of the part in requests to a service. It does not depend on the client account:
// what crashes an endpoint is the content, and a crash aborts the requests of all accounts.
func (id PartID) Key(service string) Key {
	return Key{Kind: KindPart, Shape: ServiceHash(service), Digest: Digest(id)}
}

// TrialKey returns the key of the lease on a trial of a part: one for all parts in requests to a service,
// since requests with one of them hold others that may be the cause.
func (k Key) TrialKey() Key {
	if k.Kind == KindPart {
		return Key{Kind: KindPart, Shape: k.Shape}
	}
	return k
}

// ServiceHash returns the hash of a service's name as in the keys of parts.
func ServiceHash(service string) Shape {
	return Shape(xxhash.Sum64String(service))
}
