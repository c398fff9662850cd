package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["killed"] = playKilled }

// The gateways of case killed, as many as the small site has. gatewayKills is how often one of them is
// killed, and killPause the time between two of them.
const (
	killedGateways = 7
	gatewayKills   = 24
	killPause      = 3 * time.Second
)

// playKilled plays streams that may be resumed, while gateways are killed and start again.
func playKilled(p *platform, r *record) error {
	for i := range streamRunners {
		unframed := 0
		if i < unframedRunners {
			unframed = unframedEvery
		}
		if _, err := startRunner(p, r, fmt.Sprintf("i-%d", i), 100+i, unframed); err != nil {
			return err
		}
	}
	p.store.Put("config", "main", streamConfiguration())
	var fronts []string
	for machine := 1; machine <= killedGateways; machine++ {
		if err := p.startGateway(machine); err != nil {
			return err
		}
		fronts = append(fronts, p.addr(machine, portFront))
	}
	if err := p.awaitReady(killedGateways); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	for i := range streamClients {
		group.Go(func() { askForStreams(ctx, r, fmt.Sprintf("c%d", i), fronts) })
	}
	for i := range gatewayKills {
		time.Sleep(killPause)
		if os.Getenv("TROUBLE") == "0" {
			continue
		}
		machine := 1 + i%killedGateways
		r.note("gateway %d is killed", machine)
		if err := p.restartGateway(machine); err != nil {
			return err
		}
	}
	cancel()
	group.Wait()
	return nil
}
