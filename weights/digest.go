// Package weights verifies that chunks of model weights belong to one version.
//
// A Manifest lists the digest of each chunk and of the complete weights. A Set accepts only
// chunks that match its manifest, and is complete once it holds all of them. A Set guards its
// chunks with a single lock. A Manifest is immutable.
package weights

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/zeebo/blake3"
)

// DigestSize is the length of a Digest in bytes.
const DigestSize = 32

// Digest is a BLAKE3 digest, unless another Hash is specified.
type Digest [DigestSize]byte

// Sum returns the BLAKE3 digest of b.
func Sum(b []byte) Digest {
	return blake3.Sum256(b)
}

// Hash identifies a hash function. The zero value is BLAKE3.
type Hash string

// Hash functions for chunks.
const (
	HashBLAKE3 Hash = ""
	HashSHA256 Hash = "sha256"
)

// Sum returns the digest of b by h.
func (h Hash) Sum(b []byte) Digest {
	if h == HashSHA256 {
		return sha256.Sum256(b)
	}
	return Sum(b)
}

// String returns d in hex.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// Short returns the first 12 hex digits of d, for logs and error messages.
func (d Digest) Short() string {
	return d.String()[:12]
}

// MarshalText returns d in hex.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText decodes d from hex.
func (d *Digest) UnmarshalText(b []byte) error {
	n, err := hex.Decode(d[:], b)
	if err != nil {
		return err
	}
	if n != DigestSize {
		return fmt.Errorf("weights: digest of %d bytes, want %d", n, DigestSize)
	}
	return nil
}

// ParseDigest parses a digest in hex.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	if len(s) != 2*DigestSize {
		return d, fmt.Errorf("weights: digest of %d characters, want %d", len(s), 2*DigestSize)
	}
	err := d.UnmarshalText([]byte(s))
	return d, err
}

// MarshalBinary returns the bytes of d.
func (d Digest) MarshalBinary() ([]byte, error) {
	return d[:], nil
}

// UnmarshalBinary sets d to the bytes of b.
func (d *Digest) UnmarshalBinary(b []byte) error {
	if len(b) != DigestSize {
		return fmt.Errorf("weights: digest of %d bytes, want %d", len(b), DigestSize)
	}
	copy(d[:], b)
	return nil
}
