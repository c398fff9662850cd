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
	// Describe returns the next heartbeat, without its number.
	Describe func() Heartbeat
	// After is called after each round, with the names of gateways that are no longer
	// alive.
	After func(dead []string)
	// Heard is called after each new heartbeat of another gateway.
	Heard func()
	// Poison is called with what a new heartbeat tells of requests under which endpoints
	// ended; nil means that nobody wants it.
	Poison func([]byte)
	// Advice is called with what a new heartbeat tells of endpoints' answers; nil means that
	// nobody wants it.
	Advice func([]Advice)
	// Notice is called with each notice.
	Notice func(Notice)
	// AskRoll asks the relay at addr for its whole roll; see RollService.
	AskRoll func(ctx context.Context, addr string) ([]Member, error)
	// Sent hears of each message that was sent, of how many bytes and to how many gateways;
	// nil means that nobody does.
	Sent func(kind Kind, bytes, gateways int)
	// Log takes lines about datagrams that can't be sent or read.
	Log *log.Logger
}

// Beater sends this gateway's heartbeats and takes those of others.
type Beater struct {
	conn     net.PacketConn
	table    *Table
	handlers Handlers
	// trigger asks for a heartbeat ahead of time.
	trigger chan struct{}
}

// NewBeater returns a Beater on conn.
func NewBeater(conn net.PacketConn, table *Table, h Handlers) *Beater {
	if h.Sent == nil {
		h.Sent = func(Kind, int, int) {}
	}
	if h.Poison == nil {
		h.Poison = func([]byte) {}
	}
	if h.Advice == nil {
		h.Advice = func([]Advice) {}
	}
	return &Beater{conn: conn, table: table, handlers: h, trigger: make(chan struct{}, 1)}
}

// SendSoon makes the next heartbeat come at once.
func (b *Beater) SendSoon() {
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
func (b *Beater) Run(ctx context.Context) {
	go b.receive(ctx)
	defer func() { _ = b.conn.Close() }() // ends receive
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	var sequence uint64
	for {
		sequence++
		b.send(sequence)
		b.handlers.After(b.table.Expire(time.Now()))
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

func (b *Beater) send(sequence uint64) {
	beat := b.handlers.Describe()
	beat.Sequence = sequence
	for _, p := range b.table.plan(beat, time.Now()) {
		n, err := send(b.conn, p.addrs, p.message)
		if err != nil {
			b.handlers.Log.Debug("heartbeat not sent to all", "err", err)
		}
		b.handlers.Sent(p.message.kind(), n, len(p.addrs))
	}
}

// receive takes datagrams until the connection is closed.
func (b *Beater) receive(ctx context.Context) {
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
			b.handlers.Notice(*m.Notice)
		}
	}
}

// handleHeartbeat takes in a heartbeat, and what a relay sends with it.
func (b *Beater) handleHeartbeat(ctx context.Context, m *message) {
	now := time.Now()
	if m.Digest == nil {
		if b.table.Hear(*m.Heartbeat, now) {
			b.dispatch(m.Heartbeat)
		}
		return
	}
	if !b.table.HearRelay(*m.Heartbeat, *m.Digest, now) {
		return
	}
	b.dispatch(m.Heartbeat)
	for _, relay := range b.table.Behind(now) {
		go b.fetchRoll(ctx, relay)
	}
}

// dispatch hands a new heartbeat on.
func (b *Beater) dispatch(beat *Heartbeat) {
	if len(beat.Poison) > 0 {
		b.handlers.Poison(beat.Poison)
	}
	if len(beat.Advice) > 0 {
		b.handlers.Advice(beat.Advice)
	}
	b.handlers.Heard()
}

// fetchRoll takes the whole roll of a relay. Where that fails, it is asked for again with a
// later digest.
func (b *Beater) fetchRoll(ctx context.Context, relay Entry) {
	ctx, cancel := context.WithTimeout(ctx, rollRequestTimeout)
	defer cancel()
	members, err := b.handlers.AskRoll(ctx, relay.Peer)
	if err != nil {
		b.handlers.Log.Debug("no roll from a relay", "peer", relay.Peer, "err", err)
		return
	}
	b.table.TakeRoll(relay, members)
}
