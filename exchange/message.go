package exchange

import "github.com/silverdeck/silverdeck/weights"

// What follows is sent by net/rpc: names of types and fields are on the wire.

// HaveRequest asks an agent for the chunks that it got after the first Since.
type HaveRequest struct {
	Root  weights.Digest
	Since int
}

// HaveReply lists chunks in order of arrival.
type HaveReply struct {
	Chunks []int
}

// ManifestRequest asks an agent for a manifest.
type ManifestRequest struct {
	Root weights.Digest
}

// ManifestReply has the manifest as JSON, or nothing.
type ManifestReply struct {
	Manifest []byte
}
