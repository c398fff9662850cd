package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

func init() { cases["late"] = playLate }

// The service of case late.
const (
	lateRunners  = 20
	lateSlots    = 6
	lateWork     = 100 * time.Millisecond
	lateClients  = 60
	heartbeat    = 1200 * time.Millisecond
	drainLimit   = 2 * time.Second
	drainLinger  = 500 * time.Millisecond
	contactTime  = 3 * time.Second
	drainMachine = 100
)

// The disruption: for lostTime, lostShare per cent of the store's writes get no answer and are done
// between minLate and maxLate later. Runners are asked to leave once the store has been without it for
// contactTime: leaving of them, scaleIns times at once, and others two at a time, each replaceGap.
const (
	lostTime   = 1500 * time.Millisecond
	lostShare  = 35
	minLate    = time.Second
	maxLate    = 6 * time.Second
	leaving    = 3
	scaleIns   = 2
	replaced   = 4
	replaceGap = time.Second
	lastPause  = 2600 * time.Millisecond
	rounds     = 10
)

// fleet is the runners of case late.
type fleet struct {
	platform *platform
	record   *record
	started  int

	mu sync.Mutex
	// lost is set while writes are lost.
	lost    bool
	runners []*lateRunner
}

// lateRunner is a runner that writes its entry with each heartbeat.
type lateRunner struct {
	runner
	addr, zone string
	listener   net.Listener
	fleet      *fleet

	mu       sync.Mutex
	state    string
	sequence int
	// stored is the state in the store, or empty if there is no entry. drainingAt is when the store
	// took that the runner is draining.
	stored     string
	drainingAt time.Time
	ended      bool
	conns      []net.Conn
}

// add starts a runner.
func (f *fleet) add() error {
	f.started++
	machine := drainMachine + f.started
	n := &lateRunner{addr: f.platform.addr(machine, portApp), zone: zones[machine%len(zones)], fleet: f, state: "ready",
		runner: runner{id: fmt.Sprintf("i-%d", f.started), record: f.record, work: lateWork, slots: make(chan struct{}, lateSlots), limit: 2 * lateSlots}}
	l, err := net.Listen("tcp4", n.addr)
	if err != nil {
		return err
	}
	n.listener = l
	n.arrived = n.noteArrival
	go n.accept()
	n.apply(n.state, 1)
	go n.beat()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners = append(f.runners, n)
	return nil
}

func (n *lateRunner) accept() {
	for {
		c, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns = append(n.conns, c)
		n.mu.Unlock()
		go n.serveConn(c)
	}
}

// beat writes the entry with each heartbeat until the runner has ended.
func (n *lateRunner) beat() {
	time.Sleep(time.Duration(rand.Float64() * float64(heartbeat)))
	for n.write() {
		time.Sleep(heartbeat)
	}
}

// write writes the entry and reports whether the runner still runs. While the store loses writes, this
// one may be done later.
func (n *lateRunner) write() bool {
	n.mu.Lock()
	n.sequence++
	state, sequence, ended := n.state, n.sequence, n.ended
	n.mu.Unlock()
	if ended {
		return false
	}
	n.fleet.mu.Lock()
	lost := n.fleet.lost && rand.IntN(100) < lostShare
	n.fleet.mu.Unlock()
	if !lost {
		n.apply(state, sequence)
		return true
	}
	late := minLate + time.Duration(rand.Float64()*float64(maxLate-minLate))
	n.record.note("the store does not answer write %d of %s (%s), and does it %d ms later", sequence, n.id, state, late.Milliseconds())
	time.AfterFunc(late, func() { n.apply(state, sequence) })
	return true
}

// apply does a write at the store. The entry changes if something besides its sequence does.
func (n *lateRunner) apply(state string, sequence int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended || n.stored == state {
		return
	}
	n.fleet.platform.store.Put("servers", n.id, map[string]any{"service": service, "address": n.addr, "zone": n.zone, "version": "1",
		"slots": lateSlots, "state": state, "cold_remaining_ms": 0, "sequence": sequence})
	n.stored = state
	if state == "draining" && n.drainingAt.IsZero() {
		n.drainingAt = time.Now()
	}
	n.record.note("the store took write %d of %s: %s", sequence, n.id, state)
}

// noteArrival notes a request that reaches the runner.
func (n *lateRunner) noteArrival(id string) {
	n.mu.Lock()
	draining := n.drainingAt
	n.mu.Unlock()
	if since := time.Since(draining); !draining.IsZero() && since > drainLimit {
		n.record.overdue(id, n.id, since)
	}
}

// leave makes the runner state that it is draining, and end drainLimit and a little after the store
// has taken that.
func (n *lateRunner) leave() {
	n.mu.Lock()
	n.state = "draining"
	n.mu.Unlock()
	n.write()
	time.AfterFunc(drainLimit+drainLinger, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.ended = true
		n.fleet.platform.store.Delete("servers", n.id)
		_ = n.listener.Close()
		for _, c := range n.conns {
			_ = c.Close()
		}
		n.record.lost(n.id, int(n.places.Load()))
	})
}

// take takes runners out of the fleet at random, and starts as many others.
func (f *fleet) take(count int) error {
	for range count {
		f.mu.Lock()
		i := rand.IntN(len(f.runners))
		n := f.runners[i]
		f.runners = append(f.runners[:i], f.runners[i+1:]...)
		f.mu.Unlock()
		if err := f.add(); err != nil {
			return err
		}
		n.leave()
	}
	return nil
}

// playLate plays requests while runners leave shortly after the store lost answers.
func playLate(p *platform, r *record) error {
	f := &fleet{platform: p, record: r}
	for range lateRunners {
		if err := f.add(); err != nil {
			return err
		}
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
	defer cancel()
	var group sync.WaitGroup
	for i := range lateClients {
		c := &client{name: fmt.Sprintf("c%d", i), gateways: fronts, deadline: 1500 * time.Millisecond, pause: clientPause, record: r}
		group.Go(func() { c.run(ctx) })
	}
	for range rounds {
		f.setLost(os.Getenv("TROUBLE") != "0")
		time.Sleep(lostTime)
		f.setLost(false)
		time.Sleep(contactTime + 50*time.Millisecond)
		if err := f.take(leaving * scaleIns); err != nil {
			return err
		}
		for range replaced / 2 {
			if err := f.take(2); err != nil {
				return err
			}
			time.Sleep(replaceGap)
		}
		time.Sleep(lastPause)
	}
	cancel()
	group.Wait()
	return nil
}

// setLost makes the store lose answers, or ends that.
func (f *fleet) setLost(lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = lost
	f.record.note("the store loses answers: %t", lost)
}

// overdue notes a request that reached a runner later than drainLimit after the store took that it is
// draining.
func (r *record) overdue(id, runner string, since time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drain = append(r.drain, fmt.Sprintf("request %s reached %s %d ms after the store took that it is draining", id, runner, since.Milliseconds()))
	r.add("%s", r.drain[len(r.drain)-1])
}

// lost notes the end of a runner and how many requests ran or waited there.
func (r *record) lost(runner string, requests int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut += requests
	r.add("%s has ended with %d requests; %d were lost so far", runner, requests, r.cut)
}
