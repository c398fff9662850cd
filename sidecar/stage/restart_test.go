package stage_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
)

// crash makes the endpoint start again: it holds nothing and counts orders anew, and what
// was placed stays. It began at born, 0 if it does not tell.
func (m *machine) crash(born int64) {
	m.set(func() { m.runs, m.sequence, m.born = 0, 0, born })
}

// restarted returns the times of starts that gateways were told of.
func (m *machine) restarted() []int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.restarts)
}

// The endpoint crashed while it loaded and was back at once under its ID. The process
// beside it waited three seconds for a load that nobody had ordered any more.
func TestAnEndpointThatStartsAgainDuringALoadLoadsAnewAtOnce(t *testing.T) {
	for name, born := range map[string][2]int64{"tells when it began": {7, 9}, "does not tell": {0, 0}} {
		t.Run(name, func(t *testing.T) {
			m := newMachine(1)
			m.born, m.warm = born[0], 0
			bubble(t, func(b *stagers) {
				s := b.start(stage.Config{Endpoint: m, Origin: m, Fleet: m, Peers: alone{}})
				s.Want("m", 2, false)
				m.set(func() { m.forgets = true })
				for len(m.versions()) == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				m.crash(born[1])
				m.set(func() { m.forgets = false })
				time.Sleep(600 * time.Millisecond)
				b.Expect(m.versions()).To(Equal([]int64{2, 2}))
				b.Expect(m.begins()).To(Equal(int64(2)))
			})
		})
	}
}

// An endpoint that had loaded crashed and was back under its ID. Gateways knew it by the
// record of its first life, and sent requests for a second or two to what held nothing.
func TestGatewaysHearAtOnceOfAnEndpointThatStartedAgain(t *testing.T) {
	m := newMachine(1)
	m.born = 7
	bubble(t, func(b *stagers) {
		s := b.start(stage.Config{Endpoint: m, Origin: m, Fleet: m, Peers: alone{}})
		s.Want("m", 1, true)
		time.Sleep(10 * time.Second)
		b.Expect(m.restarted()).To(BeEmpty())
		m.crash(9)
		time.Sleep(600 * time.Millisecond)
		b.Expect(m.restarted()).To(Equal([]int64{9}))
		time.Sleep(600 * time.Millisecond)
		b.Expect(m.begins()).To(Equal(int64(1)), "what lies there is loaded again")
	})
}

func TestReportsTellOfAStart(t *testing.T) {
	for _, c := range []struct {
		name        string
		before, now stage.Report
		want        bool
	}{
		{"one life", stage.Report{Born: 5, Sequence: 3}, stage.Report{Born: 5, Sequence: 4}, false},
		{"started again, with as many orders", stage.Report{Born: 5, Sequence: 3}, stage.Report{Born: 6, Sequence: 3}, true},
		{"does not tell, goes on", stage.Report{Sequence: 3}, stage.Report{Sequence: 3}, false},
		{"does not tell, counts anew", stage.Report{Sequence: 3}, stage.Report{Sequence: 0}, true},
		{"tells for the first time", stage.Report{Sequence: 3}, stage.Report{Born: 6, Sequence: 4}, false},
	} {
		NewWithT(t).Expect(c.now.Restarted(&c.before)).To(Equal(c.want), c.name)
	}
}

// Weights that end the endpoint which loads them: it was ordered to load them again whenever
// it was back, several times a second where it starts quickly.
func TestWeightsThatEndTheEndpointAreLoadedLessAndLessOften(t *testing.T) {
	m := newMachine(1)
	m.warm, m.forgets = 0, true
	bubble(t, func(b *stagers) {
		s := b.start(stage.Config{Endpoint: m, Origin: m, Fleet: m, Peers: alone{}})
		s.Want("m", 2, false)
		end := time.Now().Add(time.Minute)
		for born, ordered := int64(7), 0; time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if n := len(m.versions()); n > ordered {
				ordered, born = n, born+1
				m.crash(born)
			}
		}
		b.Expect(len(m.versions())).To(BeNumerically("~", 8, 1), "three at once, then after 1, 2, 4, 8, 16 and 32 s")

		m.set(func() { m.forgets = false })
		s.Want("m", 3, false)
		time.Sleep(2 * time.Second)
		b.Expect(m.versions()).To(ContainElement(int64(3)), "another version is loaded at once")
	})
}
