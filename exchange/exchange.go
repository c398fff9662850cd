// Package exchange carries chunks and manifests between VMs: news of chunks over
// net/rpc, the chunks themselves over HTTP.
//
// Sets owns what a VM holds for others. A Server relies on Holdings and bounds how
// much it sends at once; a Client relies on the connections of package peerconn.
// message.go has what is on the wire.
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

// Service is the net/rpc name of the methods that agents call on each other.
const Service = "X"

// Paths on an agent's peer port.
const (
	chunkPath   = "/chunks/"
	WeightsPath = "/weights/"
)

// Timing of the exchange.
const (
	// haveWait is how long a request for news may wait.
	haveWait = time.Second
	// haveCoalesce is how long news is coalesced before it is told.
	haveCoalesce = 450 * time.Millisecond
	// writeLimit is how long a chunk may take to be taken off our hands.
	writeLimit = 30 * time.Second
)

// Holdings is where the server finds what this agent holds.
type Holdings interface {
	// Set returns the set of chunks of root, or nil.
	Set(root weights.Digest) *weights.Set
	// Reading returns whether chunk i of root is being read from the origin now.
	Reading(root weights.Digest, i int) bool
}

// Client is a swarm.Transport. It is safe for concurrent use.
type Client struct {
	pool *peerconn.Pool
	http *http.Client
	base string
}

// NewClient returns a Client. scheme is http or https.
func NewClient(pool *peerconn.Pool, c *http.Client, scheme string) *Client {
	return &Client{pool: pool, http: c, base: scheme + "://"}
}

// Have implements swarm.Transport.
func (c *Client) Have(ctx context.Context, m swarm.Member, root weights.Digest, since int) ([]int, error) {
	var reply HaveReply
	err := c.pool.Call(ctx, m.Addr, Service+".Have", HaveRequest{Root: root, Since: since}, &reply)
	return reply.Chunks, err
}

// Chunk implements swarm.Transport.
func (c *Client) Chunk(ctx context.Context, m swarm.Member, root weights.Digest, i int) ([]byte, error) {
	url := c.base + m.Addr + chunkPath + root.String() + "/" + strconv.Itoa(i)
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
		return nil, fmt.Errorf("exchange: status %s", resp.Status)
	}
	if resp.ContentLength < 0 || resp.ContentLength > weights.MaxChunkSize {
		return nil, fmt.Errorf("exchange: chunk of %d bytes", resp.ContentLength)
	}
	b := make([]byte, resp.ContentLength)
	_, err = io.ReadFull(resp.Body, b)
	return b, err
}

// Manifest asks the agent at addr for the manifest of root, and checks it.
func (c *Client) Manifest(ctx context.Context, addr string, root weights.Digest) (*weights.Manifest, error) {
	var reply ManifestReply
	if err := c.pool.Call(ctx, addr, Service+".Manifest", ManifestRequest{Root: root}, &reply); err != nil {
		return nil, err
	}
	return CheckManifest(reply.Manifest, root)
}

// CheckManifest returns the manifest in b if it is the one that root names.
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
