package member

import (
	"context"
	"encoding/json"
	"net"
	"time"
)

// Interval is the time between two heartbeats.
const Interval = 200 * time.Millisecond

// maxDatagram bounds a heartbeat, in bytes.
const maxDatagram = 64 << 10

// Beater sends this entry's heartbeats and takes those of others.
type Beater struct {
	conn  net.PacketConn
	table *Table
	// describe fills what changes from one heartbeat to the next.
	describe func() Heartbeat
	// after is called after each round, with the names of entries fallen silent.
	after func(silent []string)
}

// NewBeater returns a Beater on conn.
func NewBeater(conn net.PacketConn, table *Table, describe func() Heartbeat, after func(silent []string)) *Beater {
	return &Beater{conn: conn, table: table, describe: describe, after: after}
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
		b.after(b.table.Expire(time.Now()))
		select {
		case <-ctx.Done():
			b.send(sequence + 1)
			return
		case <-ticker.C:
		}
	}
}

func (b *Beater) send(sequence uint64) {
	beat := b.describe()
	beat.Sequence = sequence
	data, err := json.Marshal(beat)
	if err != nil {
		return
	}
	for _, peer := range b.table.Others() {
		addr, err := net.ResolveUDPAddr("udp4", peer)
		if err != nil {
			continue
		}
		_, _ = b.conn.WriteTo(data, addr)
	}
}

func (b *Beater) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := b.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		var beat Heartbeat
		if json.Unmarshal(buffer[:n], &beat) == nil {
			b.table.Hear(beat, time.Now())
		}
	}
}
