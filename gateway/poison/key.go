// Package poison detects poison requests, which crash every endpoint that starts to process
// them, and keeps them from further endpoints.
//
// A crash aborts all requests in progress at the endpoint, of which at most one caused it.
// Copies of a request are matched by Key, whoever sends them and however often. A request is
// quarantined once several endpoints in a row have crashed while processing it, and cleared when
// an endpoint answers it completely in between.
//
// The package owns the table of suspected requests, which is protected by one lock. Gateways
// exchange its records in their heartbeats. The meaning of a record, and whether it quarantines
// its request, are pure functions of its fields. The package knows nothing about connections,
// and of endpoints only the identity of their incarnations.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// Request holds what all copies of a request have in common. Other properties of a copy, such
// as its ID, its deadline or the position from which it resumes, do not determine whether it
// crashes an endpoint.
type Request struct {
	Method, URI string
	// Account is the name of the client account. It is part of the key so that no account can
	// have the requests of another quarantined.
	Account string
	Body    []byte
}

// Shape is a cheap hash, of a few dozen bytes, that distinguishes most requests. Only requests
// with the shape of a suspected one have their bodies hashed.
type Shape uint64

// Digest is a truncated SHA-256, long enough to make it infeasible to find another request with
// the same digest.
type Digest [16]byte

// Key identifies a request and all its copies.
type Key struct {
	Shape  Shape
	Digest Digest
}

// String returns the digest in hexadecimal, as in log lines.
func (k Key) String() string {
	return hex.EncodeToString(k.Digest[:])
}

// Shape returns the request's shape.
func (r *Request) Shape() Shape {
	return Shape(xxhash.Sum64(r.encodeHead()))
}

// Key returns the request's key. It hashes the whole body.
func (r *Request) Key() Key {
	head := r.encodeHead()
	h := sha256.New()
	h.Write(head)
	h.Write(r.Body)
	k := Key{Shape: Shape(xxhash.Sum64(head))}
	copy(k.Digest[:], h.Sum(nil))
	return k
}

// encodeHead encodes all fields but the body, and the length of the body. Strings are prefixed
// with their length, so that the encoding is unambiguous.
func (r *Request) encodeHead() []byte {
	var b []byte
	for _, s := range []string{r.Method, r.URI, r.Account} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	return binary.AppendUvarint(b, uint64(len(r.Body)))
}
