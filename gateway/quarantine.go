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

// Timing of trial leases and of the stored quarantine.
const (
	// trialTimeout bounds a lease request, which allows for several round trips between
	// regions. If the owner does not answer in that time, this gateway grants the lease itself.
	trialTimeout = 150 * time.Millisecond
	// quarantineRetryInterval is the time between attempts to read or write the store.
	quarantineRetryInterval = time.Second
	// quarantineLoadTimeout is how long a starting gateway waits for the list of quarantined
	// requests before it puts a configuration into force. By then other gateways have sent
	// it: they send all records once a second.
	quarantineLoadTimeout = 1300 * time.Millisecond
	// maxQuarantineAttempts bounds the attempts to write a change to the store. Heartbeats
	// propagate the change in any case; the stored copy is only needed when all gateways
	// start at the same time.
	maxQuarantineAttempts = 30
)

// onPoisonChange handles a change of a suspect's record. It is called with the table's lock
// held.
func (g *Gateway) onPoisonChange(c poison.Change) {
	state := c.Record.State()
	if c.Cause != poison.CauseGossip && g.heartbeater != nil {
		g.heartbeater.SendSoon()
	}
	if state == c.Before {
		return
	}
	g.logPoisonChange(&c)
	if g.storesChange(&c) {
		go g.storeQuarantine(c.Record.Key)
	}
}

// logPoisonChange logs that a suspect was quarantined or cleared.
func (g *Gateway) logPoisonChange(c *poison.Change) {
	key, ends, forMS := c.Record.Key.String(), len(c.Record.Crashes), poison.QuarantineTime(c.Record.Relapses).Milliseconds()
	quarantined, isPart := c.Record.State() == poison.Quarantined, c.Record.Key.Kind == poison.KindPart
	switch {
	case quarantined && isPart:
		g.log.Warn("prompt part quarantined", "key", key, "service", g.serviceOf(c.Record.Key), "cause", string(c.Cause), "ends", ends,
			"relapses", c.Record.Relapses, "forMs", forMS)
	case quarantined:
		g.log.Warn("request quarantined", "key", key, "cause", string(c.Cause), "ends", ends, "relapses", c.Record.Relapses, "forMs", forMS)
	case c.Before == poison.Clear:
	case isPart:
		g.log.Info("prompt part cleared", "key", key, "service", g.serviceOf(c.Record.Key), "cause", string(c.Cause), "quarantined", c.Before == poison.Quarantined)
	default:
		g.log.Info("request cleared", "key", key, "cause", string(c.Cause), "quarantined", c.Before == poison.Quarantined)
	}
}

// serviceOf returns the name of the service of a part, or an empty string for a request or if the
// configuration in force has no such service.
func (g *Gateway) serviceOf(k poison.Key) string {
	if k.Kind != poison.KindPart || g.proxy == nil || g.proxy.Routes() == nil {
		return ""
	}
	for name := range g.proxy.Routes().Services {
		if poison.ServiceHash(name) == k.Shape {
			return name
		}
	}
	return ""
}

// storesChange reports whether this gateway writes a change to the store. All gateways learn
// of it at about the same time; only the owner of the suspect's key writes it.
func (g *Gateway) storesChange(c *poison.Change) bool {
	quarantine := c.Before == poison.Quarantined || c.Record.State() == poison.Quarantined
	return quarantine && g.ownerOf(c.Record.Key).Name == g.self.Name
}

// ownerOf returns the gateway that grants the trial lease with a key.
func (g *Gateway) ownerOf(k poison.Key) member.Entry {
	gateways := g.gateways()
	names := make([]string, 0, len(gateways))
	for _, e := range gateways {
		names = append(names, e.Name)
	}
	return gateways[slices.Index(names, poison.Owner(k, names))]
}

// acquireTrial implements proxy.Config.AcquireTrial: it requests the lease from the owner of
// its key. If the owner can't be reached, for example because it has just crashed,
// or is an older version without leases, this gateway grants the lease itself, which covers
// only its own copies of the request.
func (g *Gateway) acquireTrial(ctx context.Context, k poison.Key, parts []poison.Key, d time.Duration) (func(), bool) {
	holder := fmt.Sprintf("%s/%d/%d", g.self.Name, g.self.Life, g.lastTrialID.Add(1))
	owner := g.ownerOf(k)
	if owner.Name != g.self.Name {
		q := poison.BeginRequest{Key: k, Holder: holder, For: d}
		q.Records, q.Parts = g.packRecords(k, parts)
		reply, err := g.requestTrial(ctx, owner, q)
		if err == nil {
			return func() { go g.releaseTrial(owner, k, parts, holder) }, reply.Given
		}
		g.log.Debug("trial lease request failed; granting it locally", "peer", owner.Peer, "err", err)
	}
	return func() { g.trials.End(k, holder) }, g.trials.Begin(k, holder, d, time.Now())
}

func (g *Gateway) requestTrial(ctx context.Context, owner member.Entry, q poison.BeginRequest) (*poison.BeginReply, error) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	reply, err := poison.CallBegin(ctx, g.peers, owner.Peer, q)
	if err != nil {
		return nil, err
	}
	g.poison.Merge(append(poison.Unpack(reply.Records), poison.UnpackParts(reply.Parts)...), time.Now())
	return reply, nil
}

// releaseTrial releases a lease. If that fails, the lease expires.
func (g *Gateway) releaseTrial(owner member.Entry, k poison.Key, parts []poison.Key, holder string) {
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	q := poison.EndRequest{Key: k, Holder: holder}
	q.Records, q.Parts = g.packRecords(k, parts)
	if err := poison.CallEnd(ctx, g.peers, owner.Peer, q); err != nil {
		g.log.Debug("trial lease not released; it will expire", "peer", owner.Peer, "err", err)
	}
}

// packRecords returns the encoded record of the request with key k, if it is one, and those of parts.
func (g *Gateway) packRecords(k poison.Key, parts []poison.Key) (request, encodedParts []byte) {
	return poison.Pack([]poison.Record{g.poison.Record(k)}), poison.PackParts(g.poison.Records(parts))
}

// mergePoison merges records from another gateway. A relay forwards new ones immediately.
func (g *Gateway) mergePoison(requests, parts []byte) {
	records := append(poison.Unpack(requests), poison.UnpackParts(parts)...)
	if g.poison.Merge(records, time.Now()) && g.table.IsRelay() {
		g.heartbeater.SendSoon()
	}
}

// storeQuarantine writes the suspect's quarantine to the store, or deletes it there if the
// suspect is not quarantined.
func (g *Gateway) storeQuarantine(k poison.Key) {
	ctx := context.Background()
	for range maxQuarantineAttempts {
		err := g.storeRecord(ctx, g.poison.Record(k)) // read again: it may have changed
		if err == nil || platform.IsNotFound(err) {
			return
		}
		g.log.Debug("storing quarantine failed", "key", k.String(), "err", err)
		wait.For(ctx, quarantineRetryInterval)
	}
}

func (g *Gateway) storeRecord(ctx context.Context, r poison.Record) error {
	if r.State() != poison.Quarantined {
		return g.store.Delete(ctx, platform.KindQuarantine, r.Key.String())
	}
	until := time.Now().Add(poison.QuarantineTime(r.Relapses))
	return g.store.Put(ctx, platform.KindQuarantine, r.Key.String(), platform.NewQuarantine(r, until))
}

// awaitQuarantine blocks until the quarantined requests and parts are loaded or quarantineLoadTimeout
// has passed.
func (g *Gateway) awaitQuarantine() {
	<-g.quarantineLoaded.Done()
}

// applyQuarantine merges the quarantined requests and parts from the store and deletes expired ones.
func (g *Gateway) applyQuarantine(objects []mirror.Object) {
	now := time.Now()
	for _, o := range objects {
		r, until, err := platform.DecodeQuarantine(o.Data)
		switch {
		case err != nil:
			g.unreadableQuarantines.Report(o.Name, err)
		case !now.Before(until):
			go g.storeQuarantine(r.Key)
		default:
			began := until.Add(-poison.QuarantineTime(r.Relapses))
			g.poison.Merge([]poison.Record{r}, now.Add(min(began.Sub(now), 0)))
		}
	}
}

// loadQuarantine reads the stored quarantine once at startup, since all gateways may have
// been restarted at the same time. The list may be stale: a request that was quarantined in the
// last seconds before that is quarantined again after a few crashes.
func (g *Gateway) loadQuarantine(ctx context.Context) {
	defer time.AfterFunc(quarantineLoadTimeout, g.markQuarantineLoaded).Stop()
	defer g.markQuarantineLoaded()
	if g.cfg.FirstStart {
		return
	}
	for ctx.Err() == nil {
		objects, err := g.store.ListStale(ctx, platform.KindQuarantine)
		if err == nil {
			g.applyQuarantine(objects)
			return
		}
		g.log.Debug("reading quarantine failed", "err", err)
		wait.For(ctx, quarantineRetryInterval)
	}
}
