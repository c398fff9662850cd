package stage_test

import (
	"context"
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

// Guards against a fleet that reads a complete version from the origin again after all processes have
// lost their memory, while most endpoints still waited for a lease to load it.
func TestACompleteVersionSurvivesALossOfAllProcesses(t *testing.T) {
	m := newFakeVM(1)
	runVirtual(t, func(b *testEnv) {
		ctx, kill := context.WithCancel(b.ctx)
		before := testEnv{WithT: b.WithT, ctx: ctx}
		s := before.start(stage.Config{Endpoint: m, Origin: m, Fleet: m, Peers: noPeers{}})
		s.SetTarget("m", 2, false)
		time.Sleep(limit * 35 / 100)
		kill()
		b.Expect(m.loadOrders()).To(BeEmpty(), "the endpoint still waits")
		read := m.snapshot().reads
		m.crash(9)

		s = b.start(stage.Config{Endpoint: m, Origin: m, Fleet: m, Peers: noPeers{}})
		s.SetTarget("m", 2, true)
		time.Sleep(600 * time.Millisecond)
		b.Expect(m.servingVersion()).To(Equal(int64(2)))
		b.Expect(m.snapshot().reads).To(Equal(read), "nothing is read from the origin again")
	})
}

// Guards against staging a version again at each step while the endpoint waits for a lease.
func TestAVersionIsStagedOnceWhileTheEndpointWaits(t *testing.T) {
	m := &countingVM{fakeVM: newFakeVM(1)}
	runVirtual(t, func(b *testEnv) {
		s := b.start(stage.Config{Endpoint: m, Origin: m, Fleet: m, Peers: noPeers{}})
		s.SetTarget("m", 2, false)
		time.Sleep(limit * 35 / 100)
		b.Expect(m.loadOrders()).To(BeEmpty(), "the endpoint still waits")
		b.Expect(m.placeCalls).To(Equal(chunks))
		b.Expect(m.placedCalls).To(BeNumerically("<=", 2*chunks), "read back once before and once after the download")
	})
}

// countingVM counts the calls to the endpoint's staging area.
type countingVM struct {
	*fakeVM
	placeCalls, placedCalls int
}

func (m *countingVM) Place(ctx context.Context, model string, i int, data []byte) error {
	m.set(func() { m.placeCalls++ })
	return m.fakeVM.Place(ctx, model, i, data)
}

func (m *countingVM) Placed(ctx context.Context, model string, i int) ([]byte, error) {
	m.set(func() { m.placedCalls++ })
	return m.fakeVM.Placed(ctx, model, i)
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
