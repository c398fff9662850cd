package stage_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/leases"
	"github.com/silverdeck/silverdeck/sidecar/stage"
	"github.com/silverdeck/silverdeck/swarm"
)

// contactTime is how long after a start the platform enforces no limits.
const contactTime = 3 * time.Second

func TestFoundPeriod(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		found, completed int
		contact          time.Duration
		first, last, end int
	}{
		"found soon after the start":          {400, 500, contactTime, 700, 2400, 3000},
		"complete later":                      {400, 900, contactTime, 900, 2400, 3000},
		"found late":                          {2000, 2100, contactTime, 2300, 2900, 3500},
		"found after the contact time":        {9000, 9100, contactTime, 9300, 9900, 10500},
		"without a contact time, once found":  {400, 500, 0, 700, -200, 400},
		"complete after the end of the turns": {400, 5000, contactTime, 5000, 2400, 3000},
	} {
		p := stage.FoundPeriod(start, at(c.found), c.contact, at(c.completed))
		want := stage.ChangePeriod{First: at(c.first), Latest: at(c.last), Last: at(c.last), End: at(c.end)}
		NewWithT(t).Expect(p).To(Equal(want), name)
	}
}

// restartAll replaces the sidecars of a fleet, which find version 2 named and its chunks in place.
func (f *loadedFleet) restartAll(b *testEnv, contact time.Duration) {
	for _, e := range f.endpoints {
		e.set(func() {
			for i := range chunks {
				e.placed[i] = chunk(2, i)
			}
		})
		s := stage.New(stage.Config{
			Self: swarm.Member{VM: e.name, Addr: e.name, Zone: "a", Region: "east"}, Endpoint: e, Origin: e, Fleet: e,
			Peers: noPeers{}, VersionLimit: limit, ContactTime: contact, Log: log.New(io.Discard),
		})
		go s.Run(b.ctx)
		s.SetTarget("m", 2, true)
	}
}

// outage returns for how long all endpoints loaded weights at the same time, in loads of loadTime.
func (f *loadedFleet) outage(loadTime time.Duration) time.Duration {
	lastBegin, firstEnd := time.Time{}, time.Time{}
	for _, e := range f.endpoints {
		for _, o := range e.snapshot().orders {
			if end := o.at.Add(loadTime); firstEnd.IsZero() || end.Before(firstEnd) {
				firstEnd = end
			}
			if o.at.After(lastBegin) {
				lastBegin = o.at
			}
		}
	}
	return max(firstEnd.Sub(lastBegin), 0)
}

// Guards against endpoints that all load at the same moment after all processes were killed.
func TestEndpointsTakeTurnsAfterAStartOfAllProcesses(t *testing.T) {
	for _, size := range []int{6, fleetSize} {
		for _, load := range []float64{0.3, 0.8} {
			for _, loadTime := range []time.Duration{300 * time.Millisecond, time.Second} {
				for name, unanswered := range map[string]bool{"gateways answer": false, "no gateway answers": true} {
					t.Run(fmt.Sprintf("%d endpoints at %.1f, loads of %s, %s", size, load, loadTime, name), func(t *testing.T) {
						f := &loadedFleet{size: size, table: leases.NewTable(), scheduled: true}
						f.change(t, load, func(b *testEnv, f *loadedFleet, _ []*stage.Stager) {
							f.mu.Lock()
							f.unanswered = unanswered
							f.mu.Unlock()
							for _, e := range f.endpoints {
								e.set(func() { e.loadTime = loadTime })
							}
							began := time.Now()
							f.restartAll(b, contactTime)
							time.Sleep(2 * contactTime)
							f.expectAllRun(b, 2)
							f.mu.Lock()
							stats := f.changeStats
							f.mu.Unlock()
							t.Logf("%+v, last order after %s, outage of %s", stats, stats.last.Sub(began), f.outage(loadTime))
							b.Expect(stats.last.Sub(began)).To(BeNumerically("<=", contactTime), "no request may begin on the old weights any more")
							if !unanswered {
								b.Expect(f.outage(loadTime)).To(BeZero())
							}
						})
					})
				}
			}
		}
	}
}
