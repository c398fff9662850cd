package swarm

// Stats tells how far a download has come.
type Stats struct {
	// Have and Total count chunks.
	Have, Total int
	// OriginBytes and PeerBytes count verified and unverified bytes read.
	OriginBytes, PeerBytes int64
	// Takeovers counts chunks read from the origin in another member's place.
	Takeovers int
	// Corrupt counts chunks that did not verify, by where they came from.
	CorruptOrigin, CorruptPeer int
	// Stalled counts requests to neighbours that took too long.
	Stalled int
	// Blocked says in words why nothing moves, or is empty.
	Blocked string
}

// Delays tells what held a download up. Unlike Stats it stays on its VM.
type Delays struct {
	// OtherRegionBytes counts bytes read from members of other regions.
	OtherRegionBytes int64
	// Postponed counts how often a chunk was left to another member that should have
	// read it.
	Postponed int
}
