package poison

import (
	"encoding/hex"
	"strings"
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
