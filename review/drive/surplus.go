package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

func init() { cases["surplus"] = playSurplus }

// The service of case surplus: the slots are those of the small site.
const (
	plainRunners = 7
	plainSlots   = 6
	plainQueue   = 6
	plainWork    = 30 * time.Millisecond
	gateways     = 3
	clients      = 40
	clientPause  = 60 * time.Millisecond
)

// The disruption, in each of some windows: a runner refuses shedShare thousandths of its requests, and it
// and others, repeating in all, send repeatShare thousandths of their answers a second time.
const (
	repeating   = 4
	repeatShare = 30
	shedShare   = 450
	windowTime  = 5 * time.Second
	windows     = 10
)

// playSurplus plays requests that may run at most once while runners send a second answer now and then.
func playSurplus(p *platform, r *record) error {
	var runners []*runner
	for i := range plainRunners {
		n := &runner{id: fmt.Sprintf("i-%d%d", os.Getpid(), i), record: r, work: plainWork,
			slots: make(chan struct{}, plainSlots), limit: plainSlots + plainQueue}
		l, err := net.Listen("tcp4", p.addr(100+i, portApp))
		if err != nil {
			return err
		}
		go n.serve(l)
		runners = append(runners, n)
		p.store.Put("servers", n.id, map[string]any{"service": service, "address": p.addr(100+i, portApp), "zone": zones[i%len(zones)],
			"version": "1", "slots": plainSlots, "state": "ready", "cold_remaining_ms": 0, "sequence": 1})
	}
	p.store.Put("config", "main", configuration())
	var fronts []string
	for machine := 1; machine <= gateways; machine++ {
		if err := p.startGateway(machine); err != nil {
			return err
		}
		fronts = append(fronts, p.addr(machine, portFront))
	}
	if err := p.awaitReady(gateways); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range clients {
		c := &client{name: fmt.Sprintf("c%d", i), gateways: fronts, deadline: 1500 * time.Millisecond, pause: clientPause, record: r}
		group.Go(func() { c.run(ctx) })
	}
	time.Sleep(5 * time.Second)
	for range windows {
		if os.Getenv("TROUBLE") != "0" {
			disturb(runners, repeatShare, shedShare)
			r.note("%d of %d runners send %d in 1000 answers a second time, %s refuses %d in 1000 requests", repeating, plainRunners, repeatShare, runners[0].id, shedShare)
		}
		time.Sleep(windowTime)
		disturb(runners, 0, 0)
		r.note("the window ends")
		time.Sleep(time.Second)
	}
	for _, n := range runners {
		r.note("%s sent %d second answers, %d of them refusals", n.id, n.owed.Load(), n.refusals.Load())
	}
	cancel()
	group.Wait()
	return nil
}

// disturb sets the shares of answers sent a second time and of requests refused, in thousandths.
func disturb(runners []*runner, repeat, shed int64) {
	runners[0].shed.Store(shed)
	for _, n := range runners[:repeating] {
		n.surplus.Store(repeat)
	}
}

// configuration is the operator's, with one route whose requests may run at most once.
func configuration() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{"name": "quote-lookup", "hostname": host, "path_prefix": prefix, "kind": "unsafe", "service": service,
			"timeout_ms": 1500, "target_latency_ms": 150, "max_attempts": 2, "priority": 2}},
		"services": []any{map[string]any{"name": service, "max_connections": 96, "health_check": "/health"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}}},
	}
}
