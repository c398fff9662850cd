package member

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/wait"
)

// maxDatagram is the largest size of a message in bytes, that of a UDP datagram.
const maxDatagram = 64 << 10

// rollRequestTimeout bounds a request for a full membership list. The list has some tens of
// kilobytes, and the link between regions may be saturated.
const rollRequestTimeout = time.Second

// message is the content of one datagram: a heartbeat, from a relay along with a digest, or a
// notice.
type message struct {
	Heartbeat *Heartbeat `json:"beat,omitempty"`
	Notice    *Notice    `json:"notice,omitempty"`
	Digest    *Digest    `json:"digest,omitempty"`
}

// Kind is the kind of a datagram between gateways, as used for traffic counters.
type Kind string

// Kinds of datagrams.
const (
	KindHeartbeat Kind = "heartbeat"
	// KindDigest is a heartbeat with a relay's digest.
	KindDigest Kind = "digest"
)

// kind returns the kind of a message between gateways.
func (m *message) kind() Kind {
	if m.Digest != nil {
		return KindDigest
	}
	return KindHeartbeat
}

// Handlers are the callbacks of a Heartbeater. They are called from its goroutines.
type Handlers struct {
	// NextHeartbeat returns the next heartbeat, without its sequence number.
	NextHeartbeat func() Heartbeat
	// AfterRound is called after each round with the names of the gateways that are no longer
	// alive.
	AfterRound func(dead []string)
	// OnHeartbeat is called after each new heartbeat of another gateway.
	OnHeartbeat func()
	// OnPoison is called with the reports in a new heartbeat of requests, and of parts of prompts,
	// during which endpoints terminated. It may be nil.
	OnPoison func(requests, parts []byte)
	// OnAdvice is called with the endpoints' statements in a new heartbeat. It may be nil.
	OnAdvice func([]Advice)
	// OnNotice is called with each notice.
	OnNotice func(Notice)
	// FetchRoll requests the full membership list of the relay at addr; see RollService.
	FetchRoll func(ctx context.Context, addr string) ([]Member, error)
	// OnSent is called for each message sent, with its size and the number of receivers. It may
	// be nil.
	OnSent func(kind Kind, bytes, gateways int)
	// Log receives lines about datagrams that can't be sent or decoded.
	Log *log.Logger
}

// Heartbeater sends this gateway's heartbeats and receives those of others.
type Heartbeater struct {
	conn     net.PacketConn
	table    *Table
	handlers Handlers
	// trigger requests a heartbeat ahead of schedule.
	trigger chan struct{}
}

// NewHeartbeater returns a Heartbeater that uses conn and closes it at the end of Run.
func NewHeartbeater(conn net.PacketConn, table *Table, h Handlers) *Heartbeater {
	if h.OnSent == nil {
		h.OnSent = func(Kind, int, int) {}
	}
	if h.OnPoison == nil {
		h.OnPoison = func(_, _ []byte) {}
	}
	if h.OnAdvice == nil {
		h.OnAdvice = func([]Advice) {}
	}
	return &Heartbeater{conn: conn, table: table, handlers: h, trigger: make(chan struct{}, 1)}
}

// SendSoon requests a heartbeat ahead of the next tick, minHeartbeatInterval after Run takes the
// request.
func (b *Heartbeater) SendSoon() {
	select {
	case b.trigger <- struct{}{}:
	default: // one is already pending
	}
}

// Notify sends n to the gateways at addrs and returns the first error. A lost notice is
// compensated for by the endpoint's record in the store.
func Notify(conn net.PacketConn, addrs []string, n Notice) error {
	_, err := send(conn, addrs, message{Notice: &n})
	return err
}

// send sends m to all addrs. It returns the message size in bytes and the first error.
func send(conn net.PacketConn, addrs []string, m message) (int, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return 0, err
	}
	var firstErr error
	for _, peer := range addrs {
		if err := sendTo(conn, peer, data); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return len(data), firstErr
}

func sendTo(conn net.PacketConn, peer string, data []byte) error {
	addr, err := net.ResolveUDPAddr("udp4", peer)
	if err != nil {
		return err
	}
	_, err = conn.WriteTo(data, addr)
	return err
}

// Run sends and receives heartbeats until ctx ends.
func (b *Heartbeater) Run(ctx context.Context) {
	go b.receive(ctx)
	defer func() { _ = b.conn.Close() }() // makes receive return
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	var sequence uint64
	for {
		sequence++
		b.send(sequence)
		b.handlers.AfterRound(b.table.Expire(time.Now()))
		select {
		case <-ctx.Done():
			b.send(sequence + 1)
			return
		case <-ticker.C:
		case <-b.trigger:
			wait.For(ctx, minHeartbeatInterval)
		}
	}
}

func (b *Heartbeater) send(sequence uint64) {
	heartbeat := b.handlers.NextHeartbeat()
	heartbeat.Sequence = sequence
	for _, p := range b.table.plan(heartbeat, time.Now()) {
		n, err := send(b.conn, p.addrs, p.message)
		if err != nil {
			b.handlers.Log.Debug("heartbeat not sent to all receivers", "err", err)
		}
		b.handlers.OnSent(p.message.kind(), n, len(p.addrs))
	}
}

// receive handles datagrams until the connection is closed.
func (b *Heartbeater) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := b.conn.ReadFrom(buffer)
		if err != nil {
			return // Run closed the connection
		}
		var m message
		if err := json.Unmarshal(buffer[:n], &m); err != nil {
			b.handlers.Log.Debug("malformed datagram dropped", "err", err)
			continue
		}
		switch {
		case m.Heartbeat != nil:
			b.handleHeartbeat(ctx, &m)
		case m.Notice != nil:
			b.handlers.OnNotice(*m.Notice)
		}
	}
}

// handleHeartbeat records a heartbeat, and the digest if a relay sent one along.
func (b *Heartbeater) handleHeartbeat(ctx context.Context, m *message) {
	now := time.Now()
	if m.Digest == nil {
		if b.table.HandleHeartbeat(*m.Heartbeat, now) {
			b.dispatch(m.Heartbeat)
		}
		return
	}
	if !b.table.HandleRelayHeartbeat(*m.Heartbeat, *m.Digest, now) {
		return
	}
	b.dispatch(m.Heartbeat)
	for _, relay := range b.table.RelaysToSync(now) {
		go b.fetchRoll(ctx, relay)
	}
}

// dispatch calls the handlers for a new heartbeat.
func (b *Heartbeater) dispatch(heartbeat *Heartbeat) {
	if len(heartbeat.Poison) > 0 || len(heartbeat.PoisonParts) > 0 {
		b.handlers.OnPoison(heartbeat.Poison, heartbeat.PoisonParts)
	}
	if len(heartbeat.Advice) > 0 {
		b.handlers.OnAdvice(heartbeat.Advice)
	}
	b.handlers.OnHeartbeat()
}

// fetchRoll replaces a relay's membership list by its full list. After a failure it is
// requested again when a later digest arrives.
func (b *Heartbeater) fetchRoll(ctx context.Context, relay Entry) {
	ctx, cancel := context.WithTimeout(ctx, rollRequestTimeout)
	defer cancel()
	members, err := b.handlers.FetchRoll(ctx, relay.Peer)
	if err != nil {
		b.handlers.Log.Debug("request for a relay's membership list failed", "peer", relay.Peer, "err", err)
		return
	}
	b.table.SetRoll(relay, members)
}
