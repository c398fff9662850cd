// Package exchange transfers chunks and manifests between VMs. Manifests and announcements of
// chunks are sent over net/rpc, the chunks themselves over HTTP.
//
// Sets stores the chunks that a VM can send to others. A Server sends chunks from Holdings and
// limits concurrent transfers. A Client uses the connections of package peerconn. The messages
// are defined in message.go.
package exchange

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// Service is the net/rpc service name of Server.
const Service = "X"

// HTTP paths on the peer port.
const (
	chunkPath   = "/chunks/"
	WeightsPath = "/weights/"
	// firstCopyParam is the query parameter of a request for the first copy of a chunk for
	// another region.
	firstCopyParam = "first"
)

// Timeouts and delays.
const (
	// havePollTimeout is how long a Have call waits for new chunks.
	havePollTimeout = time.Second
	// defaultCoalescing is how long announcements of new chunks are coalesced before they are
	// sent.
	defaultCoalescing = 450 * time.Millisecond
	// chunkWriteTimeout limits the time for sending a chunk.
	chunkWriteTimeout = 30 * time.Second
)

// Holdings provides the chunk sets that a Server sends from.
type Holdings interface {
	// Set returns the chunk set of root, or nil.
	Set(root weights.Digest) *weights.Set
	// Reading reports whether chunk i of root is currently being read from the origin.
	Reading(root weights.Digest, i int) bool
}

// Client implements swarm.Transport. It is safe for concurrent use.
type Client struct {
	pool *peerconn.Pool
	http *http.Client
	// urlPrefix is the scheme and "://".
	urlPrefix string
}

// NewClient returns a Client. scheme is http or https.
func NewClient(pool *peerconn.Pool, c *http.Client, scheme string) *Client {
	return &Client{pool: pool, http: c, urlPrefix: scheme + "://"}
}

// Have implements swarm.Transport.
func (c *Client) Have(ctx context.Context, m swarm.Member, root weights.Digest, since int) ([]int, error) {
	var reply HaveReply
	err := c.pool.Call(ctx, m.Addr, Service+".Have", HaveRequest{Root: root, Since: since}, &reply)
	return reply.Chunks, err
}

// Chunk implements swarm.Transport.
func (c *Client) Chunk(ctx context.Context, m swarm.Member, req swarm.ChunkRequest) ([]byte, error) {
	url := c.urlPrefix + m.Addr + chunkPath + req.Root.String() + "/" + strconv.Itoa(req.Chunk)
	if req.FirstCopy {
		url += "?" + firstCopyParam
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, &swarm.RefusalError{Refusal: swarm.RefusalAbsent}
	case http.StatusTooEarly:
		return nil, &swarm.RefusalError{Refusal: swarm.RefusalReading}
	case http.StatusServiceUnavailable:
		return nil, &swarm.RefusalError{Refusal: swarm.RefusalBusy}
	default:
		return nil, fmt.Errorf("exchange: chunk %d from %s: unexpected status %s", req.Chunk, m.Addr, resp.Status)
	}
	if resp.ContentLength < 0 || resp.ContentLength > req.MaxBytes {
		return nil, fmt.Errorf("exchange: chunk %d from %s: content length %d, want 0 to %d", req.Chunk, m.Addr, resp.ContentLength, req.MaxBytes)
	}
	b := make([]byte, resp.ContentLength)
	_, err = io.ReadFull(resp.Body, b)
	return b, err
}

// Manifest requests the manifest of root from the peer at addr and checks it.
func (c *Client) Manifest(ctx context.Context, addr string, root weights.Digest) (*weights.Manifest, error) {
	var reply ManifestReply
	if err := c.pool.Call(ctx, addr, Service+".Manifest", ManifestRequest{Root: root}, &reply); err != nil {
		return nil, err
	}
	return CheckManifest(reply.Manifest, root)
}

// CheckManifest decodes a manifest and checks that its root is the given one.
func CheckManifest(b []byte, root weights.Digest) (*weights.Manifest, error) {
	m, err := weights.ParseManifest(b)
	if err != nil {
		return nil, err
	}
	if got := m.Root(); got != root {
		return nil, &weights.ManifestError{Reason: fmt.Sprintf("root is %s, want %s", got.Short(), root.Short())}
	}
	return m, nil
}
