package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["leaving"] = playLeaving }

const (
	// crashes is how often one runner is asked to leave and crashes crashAfter later, and roundPause the
	// time until the next one is. A runner that does not crash drains for drainTime, in which all its
	// streams end. Its entry goes entryTime after its end, after three heartbeats without a write.
	crashes    = 12
	crashAfter = time.Second
	drainTime  = 4500 * time.Millisecond
	entryTime  = 3600 * time.Millisecond
	roundPause = 2500 * time.Millisecond
)

// playLeaving plays streams that may be resumed, while runners that leave crash.
func playLeaving(p *platform, r *record) error {
	var runners []*runnerProcess
	for i := range streamRunners {
		unframed := 0
		if i < unframedRunners {
			unframed = unframedEvery
		}
		n, err := startRunner(p, r, fmt.Sprintf("i-%d", i), 100+i, unframed)
		if err != nil {
			return err
		}
		runners = append(runners, n)
	}
	p.store.Put("config", "main", streamConfiguration())
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
	for i := range streamClients {
		group.Go(func() { askForStreams(ctx, r, fmt.Sprintf("c%d", i), fronts) })
	}
	time.Sleep(roundPause)
	for i := range crashes {
		at := i % unframedRunners
		next, err := startRunner(p, r, fmt.Sprintf("i-%d-%d", at, i+1), 110+i, unframedEvery)
		if err != nil {
			cancel()
			return err
		}
		retire(p, r, runners[at])
		runners[at] = next
		time.Sleep(roundPause)
	}
	cancel()
	group.Wait()
	return nil
}

// retire makes a runner state that it is draining. It crashes while it ends its streams or, without the
// disruption, ends after them.
func retire(p *platform, r *record, n *runnerProcess) {
	switch os.Getenv("TROUBLE") {
	case "0":
		r.note("%s states draining", n.id)
		n.write(p, "draining")
		time.Sleep(drainTime)
		r.note("%s ends", n.id)
	case "crash":
		r.note("%s crashes without draining", n.id)
	default:
		r.note("%s states draining", n.id)
		n.write(p, "draining")
		time.Sleep(crashAfter)
		r.note("%s crashes", n.id)
	}
	_ = n.command.Process.Kill()
	time.AfterFunc(entryTime, func() { p.store.Delete("servers", n.id) })
}
