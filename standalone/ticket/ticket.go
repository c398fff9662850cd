// Package ticket lets a request that must not be repeated run at most once.
//
// A ticket names the life of the one entry that minted it. Only that entry, in
// that life, may run the request, and it remembers which tickets it has used.
// Every other entry passes the request on to it; when that life is over,
// nobody runs the request and the caller is told that it may have run. That
// needs no lease, no clock and no store, and holds while the platform is down.
package ticket

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"

	"github.com/silverdeck/silverdeck/verdict"
)

// Header carries a ticket from and to callers.
const Header = "Silverdeck-Ticket"

// Ticket is one permission to run one request.
type Ticket struct {
	// Addr is the peer address of the entry that minted it.
	Addr string `json:"a"`
	// Life is the life of that entry.
	Life string `json:"l"`
	// Seq numbers the tickets of that life from 0.
	Seq uint64 `json:"s"`
	// Account is the client account that it was minted for.
	Account string `json:"c"`
	// MAC proves that the entry minted it.
	MAC []byte `json:"m"`
}

// macSize is how many bytes of a MAC are kept: 128 bits can't be guessed.
const macSize = 16

// String returns the ticket as callers hold it.
func (t Ticket) String() string {
	b, _ := json.Marshal(t)
	return base64.RawURLEncoding.EncodeToString(b)
}

// maxText bounds the text of a ticket, in bytes.
const maxText = 1024

// Parse returns the ticket written in s. Whether it is genuine only the entry
// that minted it can tell.
func Parse(s string) (Ticket, error) {
	var t Ticket
	if len(s) > maxText {
		return t, badTicket(nil)
	}
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return t, badTicket(err)
	}
	if err := json.Unmarshal(b, &t); err != nil {
		return t, badTicket(err)
	}
	if t.Addr == "" || t.Life == "" || len(t.MAC) != macSize {
		return t, badTicket(nil)
	}
	return t, nil
}

func badTicket(err error) error {
	return verdict.NewError(verdict.Unsent{}, verdict.CodeBadRequest, "this is no ticket").WithCause(err)
}

// mint signs tickets of one life.
type mint struct {
	addr, life string
	key        []byte
}

func newMint(addr string) *mint {
	return &mint{addr: addr, life: rand.Text(), key: []byte(rand.Text())}
}

func (m *mint) ticket(seq uint64, account string) Ticket {
	t := Ticket{Addr: m.addr, Life: m.life, Seq: seq, Account: account}
	t.MAC = m.sum(t)
	return t
}

func (m *mint) sum(t Ticket) []byte {
	t.MAC = nil
	b, _ := json.Marshal(t)
	h := hmac.New(sha256.New, m.key)
	_, _ = h.Write(b)
	return h.Sum(nil)[:macSize]
}

func (m *mint) genuine(t Ticket) bool {
	return hmac.Equal(t.MAC, m.sum(t))
}
