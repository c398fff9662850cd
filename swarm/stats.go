package swarm

// Stats describes the progress of a download.
type Stats struct {
	// Have and Total are the numbers of chunks held and in total.
	Have, Total int
	// OriginBytes and PeerBytes count the bytes read from the origin and from other members,
	// including those that failed verification.
	OriginBytes, PeerBytes int64
	// Takeovers counts chunks read from the origin in place of a higher-ranked reader.
	Takeovers int
	// CorruptOrigin and CorruptPeer count chunks that failed verification, by source.
	CorruptOrigin, CorruptPeer int
	// Stalled counts requests to neighbours that timed out.
	Stalled int
	// Blocked describes why the download makes no progress, or is empty.
	Blocked string
}

// Delays holds counters that explain delays of a download. Unlike Stats, it is not sent to
// other processes.
type Delays struct {
	// OtherRegionBytes counts bytes read from members of other regions.
	OtherRegionBytes int64
	// Postponed counts how often a chunk was postponed.
	Postponed int
}
