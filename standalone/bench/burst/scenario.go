package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/silverdeck/silverdeck/standalone/standin"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// scenario is one measurement.
type scenario struct {
	args
	plan string
	n    int

	manifest *weights.Manifest
	origin   *standin.Origin
	url      string

	mu    sync.Mutex
	nodes []*node
	mixed int
	wg    sync.WaitGroup
}

// Faults of the plan "faults".
const (
	// killedShare is the part of the VMs that are killed and replaced.
	killedShare = 0.1
	// stalledShare is the part of the links that stall for a while.
	stalledShare = 0.05
	// corruptPercent is how many of a hundred chunks are corrupt.
	corruptPercent = 1
	// replaceLag is how long the platform's list lags behind.
	replaceLag = time.Second
)

// run measures the scenario.
func (s *scenario) run() (*result, error) {
	stop, err := s.startOrigin()
	if err != nil {
		return nil, err
	}
	defer stop()
	for i := range s.n {
		n, err := newNode(nodeName(i), s.manifest, s.LinkMiB*mib)
		if err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	defer func() {
		for _, n := range s.nodes {
			n.kill()
		}
	}()
	runtime.GC()
	before, cpu := time.Now(), cpuSeconds()
	s.runSwarm()
	return s.measure(before, cpu), nil
}

func (s *scenario) startOrigin() (func(), error) {
	s.origin = standin.NewOrigin(2 * s.LinkMiB * mib)
	var err error
	if s.manifest, err = s.origin.Put(path, standin.Weights(path, s.SizeMiB*mib), s.ChunkKiB<<10); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s.origin}
	go func() { _ = server.Serve(l) }()
	s.url = "http://" + l.Addr().String()
	return func() { _ = server.Close() }, nil
}

func (s *scenario) measure(before time.Time, cpu float64) *result {
	var last time.Time
	var control int64
	live := 0
	for _, n := range s.nodes {
		n.mu.Lock()
		if n.done.After(last) {
			last = n.done
		}
		if !n.done.IsZero() {
			live++
		}
		n.mu.Unlock()
		control += n.link.control.Load()
	}
	took := last.Sub(before).Seconds()
	cpuUsed := cpuSeconds() - cpu
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	size := float64(s.manifest.Size)
	held := size * float64(live+1)
	count := float64(len(s.nodes))
	return &result{
		plan: s.plan, n: s.n, seconds: took, bound: size / (s.LinkMiB * mib),
		copies:     float64(s.origin.BytesRead()) / size,
		controlBps: 2 * float64(control) / count / took,
		cpuPercent: 100 * cpuUsed / count / took,
		memMiB:     max(float64(m.HeapAlloc+m.StackInuse)-held, 0) / count / mib,
		notes:      fmt.Sprintf("live %d, mixed %d%s", live, s.mixed, s.stats()),
	}
}

// stats sums up what the downloads met.
func (s *scenario) stats() string {
	var t swarm.Stats
	for _, n := range s.nodes {
		if n.download == nil {
			continue
		}
		x := n.download.Stats()
		t.Takeovers += x.Takeovers
		t.CorruptOrigin += x.CorruptOrigin
		t.CorruptPeer += x.CorruptPeer
		t.Stalled += x.Stalled
	}
	return fmt.Sprintf(", takeovers %d, corrupt %d+%d, stalled %d", t.Takeovers, t.CorruptOrigin, t.CorruptPeer, t.Stalled)
}

func (s *scenario) members() []swarm.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []swarm.Member
	for _, n := range s.nodes {
		if n.ctx.Err() == nil {
			out = append(out, n.member)
		}
	}
	return out
}

func (s *scenario) runSwarm() {
	faulty := s.plan == planFaults
	corrupt := 0.0
	if faulty {
		corrupt = corruptPercent
		s.origin.SetFaults(standin.OriginFaults{CorruptPercent: corrupt})
	}
	members := s.members()
	for _, n := range s.nodes {
		n.begin(members, s.url, corrupt, s.options()...)
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	if faulty {
		s.injectFaults(corrupt)
	}
	s.wg.Wait()
}

func (s *scenario) options() []swarm.Option {
	return []swarm.Option{
		swarm.WithOriginBudget(2*s.LinkMiB*mib, s.Copies),
		swarm.WithDegree(s.Degree),
		swarm.WithParallel(s.Parallel, s.PerPeer),
	}
}

func (s *scenario) start(n *node) {
	s.wg.Go(func() {
		err := n.run()
		if err != nil && !errors.Is(err, context.Canceled) {
			s.mu.Lock()
			s.mixed++
			s.mu.Unlock()
		}
	})
}

// injectFaults kills and replaces VMs and stalls links while weights travel.
func (s *scenario) injectFaults(corrupt float64) {
	half := time.Duration(float64(s.manifest.Size) / (s.LinkMiB * mib) * float64(time.Second))
	order := rand.Perm(s.n)
	killed := int(killedShare * float64(s.n))
	stalled := max(int(stalledShare*float64(s.n)), 1)
	for i, at := range order[:killed+stalled] {
		n := s.nodes[at]
		when := time.Duration(rand.Float64() * float64(half) / 2)
		if i < killed {
			s.wg.Go(func() {
				time.Sleep(when)
				n.kill()
				time.Sleep(replaceLag)
				s.replace(corrupt)
			})
			continue
		}
		s.wg.Go(func() {
			time.Sleep(when)
			resume := n.link.stall()
			time.Sleep(half / 2)
			resume()
		})
	}
}

// replace adds a new VM for one that was killed and tells everybody.
func (s *scenario) replace(corrupt float64) {
	s.mu.Lock()
	name := nodeName(len(s.nodes))
	n, err := newNode(name, s.manifest, s.LinkMiB*mib)
	if err != nil {
		s.mixed++
		s.mu.Unlock()
		return
	}
	s.nodes = append(s.nodes, n)
	all := append([]*node(nil), s.nodes...)
	s.mu.Unlock()
	members := s.members()
	n.begin(members, s.url, corrupt, s.options()...)
	for _, other := range all {
		if other != n && other.ctx.Err() == nil {
			other.download.SetMembers(members)
		}
	}
	s.start(n)
}

// cpuSeconds is the processor time that this process has used.
func cpuSeconds() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}
