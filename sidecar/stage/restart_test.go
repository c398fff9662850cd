package stage_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
)

// crash simulates a restart of the endpoint: nothing is loaded, the sequence number starts
// over, and staged chunks remain. startMillis is the reported start time, 0 for none.
func (m *fakeVM) crash(startMillis int64) {
	m.set(func() { m.runs, m.sequence, m.startMillis = 0, 0, startMillis })
}

// notifiedRestarts returns the start times of the restarts that gateways were notified of.
func (m *fakeVM) notifiedRestarts() []int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.restarts)
}

// Guards against waiting for a load that was lost in a restart. The endpoint crashed while
// loading and was back immediately under the same ID, but the sidecar waited three seconds
// for the load.
func TestAnEndpointThatStartsAgainDuringALoadLoadsAnewAtOnce(t *testing.T) {
	for name, startMillis := range map[string][2]int64{"start time reported": {7, 9}, "no start time reported": {0, 0}} {
		t.Run(name, func(t *testing.T) {
			m := newFakeVM(1)
			m.startMillis, m.loadTime = startMillis[0], 0
			runVirtual(t, func(b *testEnv) {
				s := b.start(stage.Config{Endpoint: m, Origin: m, Fleet: m, Peers: noPeers{}})
				s.SetTarget("m", 2, false)
				m.set(func() { m.ignoreLoads = true })
				for len(m.loadOrders()) == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				m.crash(startMillis[1])
				m.set(func() { m.ignoreLoads = false })
				time.Sleep(600 * time.Millisecond)
				b.Expect(m.loadOrders()).To(Equal([]int64{2, 2}))
				b.Expect(m.servingVersion()).To(Equal(int64(2)))
			})
		})
	}
}

// Guards against gateways learning late of a restart. A loaded endpoint crashed and was back
// under the same ID; gateways went by the record from before the restart and sent it requests
// for one to two seconds although nothing was loaded.
func TestGatewaysAreNotifiedOfRestart(t *testing.T) {
	m := newFakeVM(1)
	m.startMillis = 7
	runVirtual(t, func(b *testEnv) {
		s := b.start(stage.Config{Endpoint: m, Origin: m, Fleet: m, Peers: noPeers{}})
		s.SetTarget("m", 1, true)
		time.Sleep(10 * time.Second)
		b.Expect(m.notifiedRestarts()).To(BeEmpty())
		m.crash(9)
		time.Sleep(600 * time.Millisecond)
		b.Expect(m.notifiedRestarts()).To(Equal([]int64{9}))
		time.Sleep(600 * time.Millisecond)
		b.Expect(m.servingVersion()).To(Equal(int64(1)), "the staged chunks are loaded again")
	})
}

func TestReportRestarted(t *testing.T) {
	for _, c := range []struct {
		name        string
		before, now stage.Report
		want        bool
	}{
		{"no restart", stage.Report{StartMillis: 5, Sequence: 3}, stage.Report{StartMillis: 5, Sequence: 4}, false},
		{"restarted, same sequence number", stage.Report{StartMillis: 5, Sequence: 3}, stage.Report{StartMillis: 6, Sequence: 3}, true},
		{"no start time, sequence number unchanged", stage.Report{Sequence: 3}, stage.Report{Sequence: 3}, false},
		{"no start time, sequence number reset", stage.Report{Sequence: 3}, stage.Report{Sequence: 0}, true},
		{"start time reported for the first time", stage.Report{Sequence: 3}, stage.Report{StartMillis: 6, Sequence: 4}, false},
	} {
		NewWithT(t).Expect(c.now.Restarted(&c.before)).To(Equal(c.want), c.name)
	}
}

// Guards against loading weights that crash the endpoint again after each restart, several
// times a second if the endpoint starts quickly.
func TestWeightsThatEndTheEndpointAreLoadedLessAndLessOften(t *testing.T) {
	m := newFakeVM(1)
	m.loadTime, m.ignoreLoads = 0, true
	runVirtual(t, func(b *testEnv) {
		s := b.start(stage.Config{Endpoint: m, Origin: m, Fleet: m, Peers: noPeers{}})
		s.SetTarget("m", 2, false)
		end := time.Now().Add(time.Minute)
		for startMillis, ordered := int64(7), 0; time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if n := len(m.loadOrders()); n > ordered {
				ordered, startMillis = n, startMillis+1
				m.crash(startMillis)
			}
		}
		b.Expect(len(m.loadOrders())).To(BeNumerically("~", 8, 1), "three without delay, then after 1, 2, 4, 8, 16 and 32 s")

		m.set(func() { m.ignoreLoads = false })
		s.SetTarget("m", 3, false)
		time.Sleep(2 * time.Second)
		b.Expect(m.loadOrders()).To(ContainElement(int64(3)), "another version is loaded without delay")
	})
}
