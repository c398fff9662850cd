// Package weights binds chunks of weights to one complete version.
//
// A Manifest lists a digest for each chunk and for the whole. A Set accepts
// only chunks that match it, and is complete only when every chunk has. A Set owns
// its chunks under one lock; a Manifest does not change.
package weights

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/zeebo/blake3"
)

// DigestSize is the length of a Digest in bytes.
const DigestSize = 32

// Digest is a digest by BLAKE3, or by another Hash where that is said.
type Digest [DigestSize]byte

// Sum returns the digest of b.
func Sum(b []byte) Digest {
	return blake3.Sum256(b)
}

// Hash names a hash function; the zero value is BLAKE3.
type Hash string

// The hash functions of chunks.
const (
	HashBLAKE3 Hash = ""
	HashSHA256 Hash = "sha256"
)

// Sum returns the digest of b.
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

// Short returns the first characters of d, for people.
func (d Digest) Short() string {
	return d.String()[:12]
}

// MarshalText returns d in hex.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads d from hex.
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

// ParseDigest returns the digest written in hex in s.
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

// UnmarshalBinary reads d from bytes.
func (d *Digest) UnmarshalBinary(b []byte) error {
	if len(b) != DigestSize {
		return fmt.Errorf("weights: digest of %d bytes, want %d", len(b), DigestSize)
	}
	copy(d[:], b)
	return nil
}
