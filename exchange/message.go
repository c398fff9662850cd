package exchange

import "github.com/silverdeck/silverdeck/weights"

// The types below are sent over net/rpc, so that the names of types and fields are part of the
// wire format.

// HaveRequest requests the indices of the chunks that arrived at a peer after the first Since.
type HaveRequest struct {
	Root  weights.Digest
	Since int
}

// HaveReply lists the indices of chunks in order of arrival.
type HaveReply struct {
	Chunks []int
}

// ManifestRequest requests a manifest.
type ManifestRequest struct {
	Root weights.Digest
}

// ManifestReply contains the manifest as JSON. It is empty if the peer does not have the manifest.
type ManifestReply struct {
	Manifest []byte
}
