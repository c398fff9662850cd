package swarm

import (
	"context"
	"fmt"

	"github.com/silverdeck/silverdeck/weights"
)

// Transport sends requests to other members.
type Transport interface {
	// Have returns the chunks that m holds beyond the first since ones, in order of arrival.
	// If there are none, it may block until one arrives or for a time that the callee sets.
	Have(ctx context.Context, m Member, root weights.Digest, since int) ([]int, error)
	// Chunk returns the unverified bytes of a chunk from m. The error is a *RefusalError if m
	// declined to send the chunk.
	Chunk(ctx context.Context, m Member, req ChunkRequest) ([]byte, error)
}

// ChunkRequest requests a chunk from another member.
type ChunkRequest struct {
	Root  weights.Digest
	Chunk int
	// FirstCopy is set if the chunk is the first copy for another region. The member sends it
	// before others.
	FirstCopy bool
	// MaxBytes is the length of the chunk by its manifest; no member may send more.
	MaxBytes int64
}

// Origin reads chunks from the store that weights are published in.
type Origin interface {
	// ReadChunk returns n unverified bytes at off. On an error it returns the bytes received
	// until then, since they count against the budget. The error is an *origin.ChangedError
	// if the origin has another version.
	ReadChunk(ctx context.Context, off, n int64) ([]byte, error)
}

// Refusal is the reason why a member declined to send a chunk.
type Refusal int

// Reasons for a refusal.
const (
	// RefusalAbsent means that the member does not hold the chunk.
	RefusalAbsent Refusal = iota + 1
	// RefusalReading means that the member is reading the chunk from the origin or is about
	// to; see Download.Reading.
	RefusalReading
	// RefusalBusy means that the member's upload slots and queue are full.
	RefusalBusy
)

// RefusalError is the error of a Transport for a chunk that a healthy member declined to send.
type RefusalError struct {
	Refusal Refusal
}

// Error implements error.
func (e *RefusalError) Error() string {
	switch e.Refusal {
	case RefusalAbsent:
		return "swarm: chunk is absent"
	case RefusalReading:
		return "swarm: chunk is being read from the origin"
	case RefusalBusy:
		return "swarm: member is busy"
	}
	return fmt.Sprintf("swarm: refusal %d", e.Refusal)
}
