package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/origin"
	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// uploadSlots is the default of the agents' setting.
const uploadSlots = 6

// node is the part of an agent that moves weights, over a link of its own.
type node struct {
	member   swarm.Member
	link     *link
	set      *weights.Set
	download *swarm.Download
	server   *http.Server
	client   *exchange.Client
	http     *http.Client
	pool     *peerconn.Pool
	ctx      context.Context
	cancel   context.CancelFunc

	mu   sync.Mutex
	done time.Time
}

// Set implements exchange.Holdings.
func (n *node) Set(root weights.Digest) *weights.Set {
	if n.set.Root() == root {
		return n.set
	}
	return nil
}

// Reading implements exchange.Holdings.
func (n *node) Reading(_ weights.Digest, i int) bool {
	return n.download != nil && n.download.Reading(i)
}

func newNode(name string, m *weights.Manifest, rate float64) (*node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{set: weights.NewSet(m), link: newLink(ctx, rate), ctx: ctx, cancel: cancel}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n.member = swarm.Member{VM: name, Addr: l.Addr().String(), Zone: "a", Region: "r"}
	n.pool = peerconn.NewPool(&dialer{link: n.link, control: true})
	n.http = &http.Client{Transport: &http.Transport{
		DialContext: (&dialer{link: n.link}).DialContext, MaxIdleConnsPerHost: 2, DisableCompression: true,
	}}
	n.client = exchange.NewClient(n.pool, n.http, "http")
	s := exchange.NewServer(n, uploadSlots)
	mux, err := peerconn.NewMux(map[string]any{exchange.Service: s})
	if err != nil {
		return nil, err
	}
	s.Register(mux)
	n.server = &http.Server{Handler: mux}
	go func() { _ = n.server.Serve(&listener{Listener: l, link: n.link}) }()
	return n, nil
}

// begin prepares the download among members.
func (n *node) begin(members []swarm.Member, originURL string, corruptPercent float64, opts ...swarm.Option) {
	source := &reader{source: origin.NewClient(originURL, n.http)}
	var t swarm.Transport = n.client
	if corruptPercent > 0 {
		t = &corrupter{Transport: t, percent: corruptPercent}
	}
	n.download = swarm.NewDownload(n.member, members, n.set, t, source, opts...)
}

// run downloads and notes when it was complete.
func (n *node) run() error {
	if err := n.download.Run(n.ctx); err != nil {
		return err
	}
	n.mu.Lock()
	n.done = time.Now()
	n.mu.Unlock()
	return n.set.VerifyWhole()
}

// kill ends the node at once.
func (n *node) kill() {
	n.cancel()
	n.link.cut()
	_ = n.server.Close()
	n.pool.Close()
	n.http.CloseIdleConnections()
}

// path is where the origin has the weights.
const path = "models/bench/v1"

// reader reads chunks from the origin.
type reader struct {
	source origin.Source
}

// ReadChunk implements swarm.Origin.
func (r *reader) ReadChunk(ctx context.Context, off, n int64) ([]byte, error) {
	b, _, err := r.source.ReadRange(ctx, path, "", off, n)
	return b, err
}

// corrupter makes some chunks from other members wrong.
type corrupter struct {
	swarm.Transport
	percent float64
}

// Chunk implements swarm.Transport.
func (c *corrupter) Chunk(ctx context.Context, m swarm.Member, req swarm.ChunkRequest) ([]byte, error) {
	b, err := c.Transport.Chunk(ctx, m, req)
	if err == nil && rand.Float64()*100 < c.percent {
		b[0] ^= 0xff
	}
	return b, err
}

func nodeName(i int) string {
	return fmt.Sprintf("runner-%04d", i)
}
