package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/wait"
)

// Sharing what is known of requests under which endpoints ended.
const (
	// trialLimit bounds the question for a lease on a request: some ways there and back
	// between regions. Who does not answer in that time keeps no lease.
	trialLimit = 150 * time.Millisecond
	// quarantinePause is the time between two tries to write to the store or to read it.
	quarantinePause = time.Second
	// quarantineLimit is how long a gateway that starts waits until it knows which requests
	// are quarantined, before it puts a configuration in force: then it has heard of them
	// from others, who tell all once a second.
	quarantineLimit = 1300 * time.Millisecond
	// quarantineTries is how often a change is tried to be written. Heartbeats tell it in any
	// case; the store keeps it only for a start of all gateways at once.
	quarantineTries = 30
)

// notePoison takes in that what is known of a request changed. It is called under the table's
// lock.
func (g *Gateway) notePoison(c poison.Change) {
	state := c.Record.State()
	if c.Cause != poison.CauseGossip && g.beater != nil {
		g.beater.SendSoon()
	}
	if state == c.Before {
		return
	}
	key := c.Record.Key.String()
	switch {
	case state == poison.Quarantined:
		g.log.Warn("request quarantined", "key", key, "cause", string(c.Cause), "ends", len(c.Record.Crashes),
			"relapses", c.Record.Relapses, "forMs", poison.QuarantineTime(c.Record.Relapses).Milliseconds())
	case c.Before != poison.Clear:
		g.log.Info("request cleared", "key", key, "cause", string(c.Cause), "quarantined", c.Before == poison.Quarantined)
	}
	if g.storesChange(&c) {
		go g.storeQuarantine(c.Record.Key)
	}
}

// storesChange returns whether this gateway writes a change to the store: all come to know of
// it at about the same moment, and the owner of the request's key writes it.
func (g *Gateway) storesChange(c *poison.Change) bool {
	quarantine := c.Before == poison.Quarantined || c.Record.State() == poison.Quarantined
	return quarantine && g.ownerOf(c.Record.Key).Name == g.self.Name
}

// ownerOf returns the gateway that keeps the leases on a request.
func (g *Gateway) ownerOf(k poison.Key) member.Entry {
	gateways := g.gateways()
	names := make([]string, 0, len(gateways))
	for _, e := range gateways {
		names = append(names, e.Name)
	}
	return gateways[slices.Index(names, poison.Owner(k, names))]
}

// beginTrial implements proxy.Config.AcquireTrial: it asks the owner of the request's key for the
// lease. Where that can't be reached, as one that has just died, or knows no leases, as an
// older program, this gateway keeps the lease for its own copies.
func (g *Gateway) beginTrial(ctx context.Context, k poison.Key, d time.Duration) (func(), bool) {
	holder := fmt.Sprintf("%s/%d/%d", g.self.Name, g.self.Life, g.holders.Add(1))
	owner := g.ownerOf(k)
	if owner.Name != g.self.Name {
		reply, err := g.askTrial(ctx, owner, poison.BeginRequest{Key: k, Holder: holder, For: d, Records: g.packed(k)})
		if err == nil {
			return func() { go g.endTrial(owner, k, holder) }, reply.Given
		}
		g.log.Debug("no lease from the owner of a request", "peer", owner.Peer, "err", err)
	}
	return func() { g.trials.End(k, holder) }, g.trials.Begin(k, holder, d, time.Now())
}

func (g *Gateway) askTrial(ctx context.Context, owner member.Entry, q poison.BeginRequest) (*poison.BeginReply, error) {
	ctx, cancel := context.WithTimeout(ctx, trialLimit)
	defer cancel()
	reply, err := poison.CallBegin(ctx, g.peers, owner.Peer, q)
	if err != nil {
		return nil, err
	}
	g.poison.Merge(poison.Unpack(reply.Records), time.Now())
	return reply, nil
}

// endTrial gives a lease back. Where that fails it runs out.
func (g *Gateway) endTrial(owner member.Entry, k poison.Key, holder string) {
	ctx, cancel := context.WithTimeout(context.Background(), trialLimit)
	defer cancel()
	if err := poison.CallEnd(ctx, g.peers, owner.Peer, poison.EndRequest{Key: k, Holder: holder, Records: g.packed(k)}); err != nil {
		g.log.Debug("lease not given back", "peer", owner.Peer, "err", err)
	}
}

// packed returns what is known of a request as it is sent.
func (g *Gateway) packed(k poison.Key) []byte {
	return poison.Pack([]poison.Record{g.poison.Record(k)})
}

// usePoison takes in what another gateway tells. A relay tells it on at once.
func (g *Gateway) usePoison(data []byte) {
	if g.poison.Merge(poison.Unpack(data), time.Now()) && g.table.IsRelay() {
		g.beater.SendSoon()
	}
}

// storeQuarantine makes the store hold what is known of a request: its quarantine, or nothing.
func (g *Gateway) storeQuarantine(k poison.Key) {
	ctx := context.Background()
	for range quarantineTries {
		err := g.storeRecord(ctx, g.poison.Record(k)) // as it is by now
		if err == nil || platform.IsNotFound(err) {
			return
		}
		g.log.Debug("quarantine not stored", "key", k.String(), "err", err)
		wait.For(ctx, quarantinePause)
	}
}

func (g *Gateway) storeRecord(ctx context.Context, r poison.Record) error {
	if r.State() != poison.Quarantined {
		return g.store.Delete(ctx, platform.KindQuarantine, r.Key.String())
	}
	until := time.Now().Add(poison.QuarantineTime(r.Relapses))
	return g.store.Put(ctx, platform.KindQuarantine, r.Key.String(), platform.NewQuarantine(r, until))
}

// awaitQuarantine waits until this gateway knows which requests are quarantined, or has waited
// for long enough.
func (g *Gateway) awaitQuarantine() {
	<-g.quarantineKnown.Done()
}

// takeQuarantine takes in the store's quarantined requests, and removes those of which the time
// has run out.
func (g *Gateway) takeQuarantine(objects []mirror.Object) {
	now := time.Now()
	for _, o := range objects {
		r, until, err := platform.DecodeQuarantine(o.Data)
		switch {
		case err != nil:
			g.badQuarantines.Report(o.Name, err)
		case !now.Before(until):
			go g.storeQuarantine(r.Key)
		default:
			began := until.Add(-poison.QuarantineTime(r.Relapses))
			g.poison.Merge([]poison.Record{r}, now.Add(min(began.Sub(now), 0)))
		}
	}
}

// readQuarantine takes in, once, what gateways have quarantined before: all of them may have
// ended at once.
func (g *Gateway) readQuarantine(ctx context.Context) {
	defer time.AfterFunc(quarantineLimit, g.knowQuarantine).Stop()
	defer g.knowQuarantine()
	source := g.store.Source(platform.KindQuarantine)
	for ctx.Err() == nil {
		objects, _, err := source.List(ctx)
		if err == nil {
			g.takeQuarantine(objects)
			return
		}
		g.log.Debug("quarantine not read", "err", err)
		wait.For(ctx, quarantinePause)
	}
}
