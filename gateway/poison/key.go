// Package poison detects what crashes every endpoint that starts to process it, and keeps it from
// further endpoints: a request, or a part of prompts that different requests share.
//
// A crash aborts all requests in progress at the endpoint, of which at most one caused it. Each of
// them has several suspects: the request itself, with all copies of it, whoever sends them and
// however often, and each shared part of its prompt. A suspect is quarantined once several endpoints
// in a row have crashed while processing it, and cleared when an endpoint answers it completely in
// between. A part that many requests share is in progress at many endpoints at a time; endpoints that
// crash at about the same time count once for it.
//
// The package owns the table of suspects, which is protected by one lock. Gateways
// exchange its records in their heartbeats. The meaning of a record, and whether it quarantines
// its suspect, are pure functions of its fields. The package knows nothing about connections,
// and of endpoints only the identity of their incarnations.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

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

// Kind is the kind of a suspect.
type Kind uint8

// The kinds of suspects.
const (
	// KindRequest is a request with all its copies. It is the only kind that older versions know.
	KindRequest Kind = iota
	// KindPart is a part of prompts in requests to one service.
	KindPart
)

// Key identifies a suspect.
type Key struct {
	Kind Kind
	// Shape is the shape of a request, and of a part the hash of the service's name.
	Shape Shape
	// Digest is the digest of a request, and the ID of a part.
	Digest Digest
}

// String returns the digest of a request in hexadecimal, and of a part its ID and the hash of the
// service, as in log lines.
func (k Key) String() string {
	if k.Kind == KindPart {
		return fmt.Sprintf("part-%s-%016x", PartID(k.Digest), uint64(k.Shape))
	}
	return hex.EncodeToString(k.Digest[:])
}

// Suspects lists what may be the cause if a request crashes its endpoint.
type Suspects struct {
	Request *Request
	// Parts are the shared parts of the prompt.
	Parts []Key
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
