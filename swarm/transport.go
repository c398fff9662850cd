package swarm

import (
	"context"
	"fmt"

	"github.com/silverdeck/silverdeck/weights"
)

// Transport reaches other members.
type Transport interface {
	// Have returns the chunks that m got after the first since ones, in order
	// of arrival. It may wait for news, for as long as the callee sees fit.
	Have(ctx context.Context, m Member, root weights.Digest, since int) ([]int, error)
	// Chunk returns the bytes of chunk i from m, unverified, or a *RefusalError.
	Chunk(ctx context.Context, m Member, root weights.Digest, i int) ([]byte, error)
}

// Origin reads chunks where weights come from in the first place.
type Origin interface {
	// ReadChunk returns n bytes at off, unverified. With an error it returns
	// the bytes that had come, since they count against the budget; the error
	// is *origin.ChangedError when the origin has another version.
	ReadChunk(ctx context.Context, off, n int64) ([]byte, error)
}

// Refusal is why a member does not send a chunk.
type Refusal int

// The refusals.
const (
	// RefusalAbsent says that the member does not hold the chunk.
	RefusalAbsent Refusal = iota + 1
	// RefusalReading says that the member is reading the chunk from the origin now.
	RefusalReading
	// RefusalBusy says that the member's upload slots and queue are full.
	RefusalBusy
)

// RefusalError tells that a member is well but does not send a chunk.
type RefusalError struct {
	Refusal Refusal
}

// Error names the refusal.
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
