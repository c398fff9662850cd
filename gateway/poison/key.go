// Package poison recognizes requests that end each endpoint that begins to run them, and
// keeps them from further endpoints.
//
// An endpoint that ends takes all requests in progress there with it, of which at most one
// is to blame. A request is told apart by what its copies have in common, whoever sends
// them and however often: its Key. One under which several endpoints ended in a row is
// quarantined; one that was answered whole in between is cleared.
//
// It owns the table of suspected requests, under one lock, which gateways share by records
// in their heartbeats. What a record says and when it quarantines are functions of plain
// values. It knows nothing of connections and endpoints but the names of their lives.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// Request is what two copies of a request have in common. What else a copy carries, such as
// its ID, its deadline or the place where it goes on, says nothing of what it does to an
// endpoint.
type Request struct {
	Method, URI string
	// Account is the name of the client account: nobody can have another's requests
	// quarantined.
	Account string
	Body    []byte
}

// Shape tells most requests apart at the cost of hashing a few dozen bytes. Only requests
// with the shape of a suspected one have their bodies hashed.
type Shape uint64

// Digest is a part of a SHA-256, long enough that no other request with the same can be
// found.
type Digest [16]byte

// Key names a request and all its copies.
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
	return Shape(xxhash.Sum64(r.head()))
}

// Key returns the request's key. It reads the whole body: 3.3 ms for one of 4 MiB and 3.6 us
// for one of 4 KiB (BenchmarkKey).
func (r *Request) Key() Key {
	head := r.head()
	h := sha256.New()
	h.Write(head)
	h.Write(r.Body)
	k := Key{Shape: Shape(xxhash.Sum64(head))}
	copy(k.Digest[:], h.Sum(nil))
	return k
}

// head returns all but the body, and the body's length, so that no two requests have the
// same.
func (r *Request) head() []byte {
	var b []byte
	for _, s := range []string{r.Method, r.URI, r.Account} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	return binary.AppendUvarint(b, uint64(len(r.Body)))
}
