package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/silverdeck/silverdeck/gateway/replica"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/platform"
)

// Timing of contacts.
const (
	// contactsTimeout bounds the read of the contacts at the start.
	contactsTimeout = 600 * time.Millisecond
	// contactsInterval is the shortest time between two writes of the contacts.
	contactsInterval = 5 * time.Second
)

// findContacts reads at the start which gateways to contact. If the store has no contacts, the fleet
// is small, and the list of all gateways is read at once.
func (g *Gateway) findContacts(ctx context.Context) {
	if g.cfg.FirstStart {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, contactsTimeout)
	defer cancel()
	c, err := g.store.Contacts(ctx)
	if err == nil && c == nil {
		g.syncer.StartList(0)
		return
	}
	if err != nil {
		g.log.Debug("contacts not read", "err", err)
	} else {
		g.contacts.Store(c)
		if !g.haveMembers() {
			g.table.SetListed(c.Gateways)
			g.heartbeater.SendSoon()
		}
	}
	g.syncer.StartList(replica.FirstListDelay(rand.Float64()))
}

// haveMembers reports whether this gateway has a copy of the list of gateways.
func (g *Gateway) haveMembers() bool {
	return g.mirrors[platform.KindMembers].State().Revision > 0
}

// updateContacts writes the contacts if they have changed and this gateway is the one that does so.
func (g *Gateway) updateContacts(now time.Time) {
	if now.Sub(g.contactsCheckedAt) < contactsInterval || g.Ready() != nil {
		return
	}
	g.contactsCheckedAt = now
	c, writes := g.table.Contacts()
	if !writes || !c.Replaces(g.contacts.Load()) {
		return
	}
	g.contacts.Store(&c)
	go g.writeContacts(&c)
}

func (g *Gateway) writeContacts(c *member.Contacts) {
	ctx, cancel := context.WithTimeout(context.Background(), contactsInterval)
	defer cancel()
	if err := g.store.PutContacts(ctx, c); err != nil {
		g.log.Debug("contacts not written", "err", err)
		g.contacts.CompareAndSwap(c, &member.Contacts{}) // written at the next check
	}
}
