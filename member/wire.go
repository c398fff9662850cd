package member

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/wait"
)

// maxDatagram bounds a heartbeat, in bytes: the largest datagram of UDP.
const maxDatagram = 64 << 10

// rollRequestTimeout bounds a question for a whole roll, some tens of kilobytes: a link between
// regions may be full.
const rollRequestTimeout = time.Second

// message is one datagram: a heartbeat, with a relay's also its digest, or a notice.
type message struct {
	Heartbeat *Heartbeat `json:"beat,omitempty"`
	Notice    *Notice    `json:"notice,omitempty"`
	Digest    *Digest    `json:"digest,omitempty"`
}

// Kind is what a datagram between gateways carries, for those who count.
type Kind string

// The kinds of datagrams.
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

// Handlers are what a Beater calls, each from a goroutine of the Beater's.
type Handlers struct {
	// NextHeartbeat returns the next heartbeat, without its number.
	NextHeartbeat func() Heartbeat
	// AfterRound is called after each round, with the names of gateways that are no longer
	// alive.
	AfterRound func(dead []string)
	// OnHeartbeat is called after each new heartbeat of another gateway.
	OnHeartbeat func()
	// OnPoison is called with what a new heartbeat tells of requests under which endpoints
	// ended; nil means that nobody wants it.
	OnPoison func([]byte)
	// OnAdvice is called with what a new heartbeat tells of endpoints' answers; nil means that
	// nobody wants it.
	OnAdvice func([]Advice)
	// OnNotice is called with each notice.
	OnNotice func(Notice)
	// FetchRoll asks the relay at addr for its whole roll; see RollService.
	FetchRoll func(ctx context.Context, addr string) ([]Member, error)
	// OnSent hears of each message that was sent, of how many bytes and to how many gateways;
	// nil means that nobody does.
	OnSent func(kind Kind, bytes, gateways int)
	// Log takes lines about datagrams that can't be sent or read.
	Log *log.Logger
}

// Heartbeater sends this gateway's heartbeats and takes those of others.
type Heartbeater struct {
	conn     net.PacketConn
	table    *Table
	handlers Handlers
	// trigger asks for a heartbeat ahead of time.
	trigger chan struct{}
}

// NewHeartbeater returns a Beater on conn.
func NewHeartbeater(conn net.PacketConn, table *Table, h Handlers) *Heartbeater {
	if h.OnSent == nil {
		h.OnSent = func(Kind, int, int) {}
	}
	if h.OnPoison == nil {
		h.OnPoison = func([]byte) {}
	}
	if h.OnAdvice == nil {
		h.OnAdvice = func([]Advice) {}
	}
	return &Heartbeater{conn: conn, table: table, handlers: h, trigger: make(chan struct{}, 1)}
}

// SendSoon makes the next heartbeat come at once.
func (b *Heartbeater) SendSoon() {
	select {
	case b.trigger <- struct{}{}:
	default: // one is asked for already
	}
}

// Notify sends n to the gateways at addrs. It returns the first error; a notice
// that is lost is made up for by the endpoint's record in the store.
func Notify(conn net.PacketConn, addrs []string, n Notice) error {
	_, err := send(conn, addrs, message{Notice: &n})
	return err
}

// send sends m to all addrs. It returns its size in bytes and the first error.
func send(conn net.PacketConn, addrs []string, m message) (int, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return 0, err
	}
	var first error
	for _, peer := range addrs {
		if err := sendTo(conn, peer, data); err != nil && first == nil {
			first = err
		}
	}
	return len(data), first
}

func sendTo(conn net.PacketConn, peer string, data []byte) error {
	addr, err := net.ResolveUDPAddr("udp4", peer)
	if err != nil {
		return err
	}
	_, err = conn.WriteTo(data, addr)
	return err
}

// Run sends and takes heartbeats until ctx ends.
func (b *Heartbeater) Run(ctx context.Context) {
	go b.receive(ctx)
	defer func() { _ = b.conn.Close() }() // ends receive
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
	beat := b.handlers.NextHeartbeat()
	beat.Sequence = sequence
	for _, p := range b.table.plan(beat, time.Now()) {
		n, err := send(b.conn, p.addrs, p.message)
		if err != nil {
			b.handlers.Log.Debug("heartbeat not sent to all", "err", err)
		}
		b.handlers.OnSent(p.message.kind(), n, len(p.addrs))
	}
}

// receive takes datagrams until the connection is closed.
func (b *Heartbeater) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := b.conn.ReadFrom(buffer)
		if err != nil {
			return // the connection was closed by Run
		}
		var m message
		if err := json.Unmarshal(buffer[:n], &m); err != nil {
			b.handlers.Log.Debug("bad datagram", "err", err)
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

// handleHeartbeat takes in a heartbeat, and what a relay sends with it.
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

// dispatch hands a new heartbeat on.
func (b *Heartbeater) dispatch(beat *Heartbeat) {
	if len(beat.Poison) > 0 {
		b.handlers.OnPoison(beat.Poison)
	}
	if len(beat.Advice) > 0 {
		b.handlers.OnAdvice(beat.Advice)
	}
	b.handlers.OnHeartbeat()
}

// fetchRoll takes the whole roll of a relay. Where that fails, it is asked for again with a
// later digest.
func (b *Heartbeater) fetchRoll(ctx context.Context, relay Entry) {
	ctx, cancel := context.WithTimeout(ctx, rollRequestTimeout)
	defer cancel()
	members, err := b.handlers.FetchRoll(ctx, relay.Peer)
	if err != nil {
		b.handlers.Log.Debug("no roll from a relay", "peer", relay.Peer, "err", err)
		return
	}
	b.table.SetRoll(relay, members)
}
