package member

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/silverdeck/silverdeck/wait"
)

// Interval is the time between two heartbeats.
const Interval = 200 * time.Millisecond

// maxDatagram bounds a heartbeat, in bytes.
const maxDatagram = 64 << 10

// Notice tells entries that an endpoint is about to change its weights, or has.
type Notice struct {
	// Addr is the endpoint's address.
	Addr string `json:"addr"`
	// PauseMS is for how many milliseconds it should get no requests.
	PauseMS int64 `json:"pauseMs"`
	// Model and Version are weights that it runs now; empty if that is not told.
	Model   string `json:"model,omitempty"`
	Version int64  `json:"version,omitempty"`
}

// message is one datagram; one field is set.
type message struct {
	Heartbeat *Heartbeat `json:"beat,omitempty"`
	Notice    *Notice    `json:"notice,omitempty"`
}

// Handlers are what a Beater calls.
type Handlers struct {
	// Describe fills what changes from one heartbeat to the next.
	Describe func() Heartbeat
	// After is called after each round, with the names of entries fallen silent.
	After func(silent []string)
	// Heard is called after each new heartbeat of another entry.
	Heard func()
	// Notice is called with each notice.
	Notice func(Notice)
}

// Beater sends this entry's heartbeats and takes those of others.
type Beater struct {
	conn     net.PacketConn
	table    *Table
	handlers Handlers
	// news asks for a heartbeat ahead of time.
	news chan struct{}
}

// NewBeater returns a Beater on conn.
func NewBeater(conn net.PacketConn, table *Table, h Handlers) *Beater {
	return &Beater{conn: conn, table: table, handlers: h, news: make(chan struct{}, 1)}
}

// newsGap is the shortest time between two heartbeats.
const newsGap = 20 * time.Millisecond

// News makes the next heartbeat come at once.
func (b *Beater) News() {
	select {
	case b.news <- struct{}{}:
	default:
	}
}

// Notify sends n to the entries at addrs.
func Notify(conn net.PacketConn, addrs []string, n Notice) {
	send(conn, addrs, message{Notice: &n})
}

func send(conn net.PacketConn, addrs []string, m message) {
	data, err := json.Marshal(m)
	if err != nil {
		return
	}
	for _, peer := range addrs {
		addr, err := net.ResolveUDPAddr("udp4", peer)
		if err != nil {
			continue
		}
		_, _ = conn.WriteTo(data, addr)
	}
}

// Run sends and takes heartbeats until ctx ends.
func (b *Beater) Run(ctx context.Context) {
	go b.receive()
	defer func() { _ = b.conn.Close() }()
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
		case <-b.news:
			wait.For(ctx, newsGap)
		}
	}
}

func (b *Beater) send(sequence uint64) {
	beat := b.handlers.Describe()
	beat.Sequence = sequence
	send(b.conn, b.table.Others(), message{Heartbeat: &beat})
}

func (b *Beater) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := b.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		var m message
		if json.Unmarshal(buffer[:n], &m) != nil {
			continue
		}
		switch {
		case m.Heartbeat != nil:
			if b.table.Hear(*m.Heartbeat, time.Now()) {
				b.handlers.Heard()
			}
		case m.Notice != nil:
			b.handlers.Notice(*m.Notice)
		}
	}
}
