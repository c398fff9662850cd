package admission_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/admission"
)

// supply is the room of a test, which a test may change.
type supply struct {
	room, running float64
	open          int
}

// gateAlone returns the gate of a gateway that is alone and has the given room.
func gateAlone(s *supply) *admission.Gate {
	return admission.New(admission.Config{
		Supply: func(string, time.Time) admission.Supply {
			return admission.Supply{Room: s.room, Running: s.running, Own: s.running, Open: s.open}
		},
		News:   func(string, time.Time) admission.News { return admission.News{} },
		Random: func() float64 { return 0 },
	})
}

func request(account string, rank int) *admission.Request {
	return &admission.Request{Service: "s", Account: account, Rank: rank, SlotTime: 10 * time.Second, Target: 4 * time.Second, Left: 10 * time.Second}
}

// full returns a gate with a limit of 96 requests whose places are taken and come free ten times a
// second. It must be called in a bubble.
func full(t *testing.T, s *supply) (*admission.Gate, []*admission.Grant) {
	t.Helper()
	g := NewWithT(t)
	s.room, s.running = 100, 96
	gate := gateAlone(s)
	var grants []*admission.Grant
	for range 96 {
		grant, err := gate.TryAcquire(request("a", 0), time.Now())
		g.Expect(err).NotTo(HaveOccurred())
		grants = append(grants, grant)
	}
	for range 20 { // the rate at which places come free is known from experience
		time.Sleep(100 * time.Millisecond)
		grants[0].Release("", time.Now())
		grant, err := gate.TryAcquire(request("a", 0), time.Now())
		g.Expect(err).NotTo(HaveOccurred())
		grants = append(grants[1:], grant)
	}
	return gate, grants
}

// outcome is the result of Acquire and the time that it took.
type outcome struct {
	name  string
	grant *admission.Grant
	err   error
	took  time.Duration
}

// acquire calls Acquire in the background.
func acquire(ctx context.Context, gate *admission.Gate, name string, r *admission.Request, out chan<- outcome) {
	begun := time.Now()
	go func() {
		grant, err := gate.Acquire(ctx, r)
		out <- outcome{name, grant, err, time.Since(begun)}
	}()
	synctest.Wait()
}

func TestAWaitingRequestTakesTheNextPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate, grants := full(t, &supply{})
		out := make(chan outcome, 4)
		acquire(t.Context(), gate, "first", request("a", 1), out)
		acquire(t.Context(), gate, "second of the account", request("a", 1), out)
		acquire(t.Context(), gate, "other account", request("b", 1), out)
		acquire(t.Context(), gate, "urgent", request("a", 0), out)
		for i, want := range []string{"urgent", "first", "other account", "second of the account"} {
			time.Sleep(50 * time.Millisecond)
			grants[i].Release("e7", time.Now())
			x := <-out
			g.Expect(x.name).To(Equal(want))
			g.Expect(x.err).NotTo(HaveOccurred())
			g.Expect(x.grant.Vacated).To(Equal("e7"), "the slot that came free")
			grants[i].Release("e7", time.Now()) // has no effect
		}
	})
}

func TestAWaitEndsWhenItsReasonDoes(t *testing.T) {
	for name, end := range map[string]func(gate *admission.Gate, s *supply, cancel func()){
		"the caller leaves": func(_ *admission.Gate, _ *supply, cancel func()) { cancel() },
		"endpoints come": func(gate *admission.Gate, s *supply, _ func()) {
			s.room = 200
			gate.Refresh(time.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &supply{}
				gate, _ := full(t, s)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				out := make(chan outcome, 1)
				acquire(ctx, gate, "", request("a", 0), out)
				time.Sleep(100 * time.Millisecond)
				end(gate, s, cancel)
				x := <-out
				g.Expect(x.took).To(Equal(100 * time.Millisecond))
				g.Expect(x.err == nil).To(Equal(name == "endpoints come"))
				g.Expect(gate.Status()[0].Waiting).To(BeZero())
			})
		})
	}
}

func TestAWaitIsBoundedByTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate, _ := full(t, &supply{})
		out := make(chan outcome, 1)
		acquire(t.Context(), gate, "", request("a", 0), out)
		x := <-out
		g.Expect(admission.AsRefused(x.err).Cause).To(Equal(admission.CauseWaited))
		g.Expect(x.took).To(Equal(time.Second), "a quarter of the target")
	})
}

// Guards against waits that cost the caller its time for nothing.
func TestARequestThatWouldNotGetAPlaceInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate, _ := full(t, &supply{})
		r := request("a", 0)
		r.Target = 300 * time.Millisecond // places come free every 100 ms, and it may wait for 75 ms
		begun := time.Now()
		_, err := gate.Acquire(t.Context(), r)
		g.Expect(admission.AsRefused(err).Cause).To(Equal(admission.CauseShare))
		g.Expect(time.Since(begun)).To(BeZero())
	})
}

// A change of ranks takes effect with the next request and moves none that runs.
func TestRanksChangeWithTheNextRequest(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	gate := gateAlone(&supply{room: 100, running: 96})
	var grants []*admission.Grant
	for range 96 {
		grant, err := gate.TryAcquire(request("a", 3), now)
		g.Expect(err).NotTo(HaveOccurred())
		grants = append(grants, grant)
	}
	grants[0].Release("", now)
	_, err := gate.TryAcquire(request("a", 0), now)
	g.Expect(err).NotTo(HaveOccurred())
	for _, grant := range grants {
		grant.Release("", now)
	}
	g.Expect(gate.Status()[0].Admitted).To(Equal(1))
}

// Guards against refusals while endpoints that are cold, and so don't count in the room, would
// still accept requests.
func TestEndpointsOutsideTheRoomAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &supply{}
		gate, _ := full(t, s)
		s.open = 2
		time.Sleep(100 * time.Millisecond)
		r := request("a", 0)
		r.Target = 300 * time.Millisecond
		for range 2 {
			grant, err := gate.TryAcquire(r, time.Now())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(grant.Vacated).To(BeEmpty())
		}
		_, err := gate.TryAcquire(r, time.Now())
		g.Expect(admission.AsRefused(err).Cause).To(Equal(admission.CauseShare))
	})
}

func TestASlotThatCameFreeIsOfferedOnceDuringAShortage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &supply{}
		gate, grants := full(t, s)
		g.Expect(grants[5].TakeVacated(time.Now())).To(BeEmpty())
		grants[0].Release("e0", time.Now())
		grants[1].Release("e1", time.Now())
		g.Expect(grants[5].TakeVacated(time.Now())).To(Equal("e1"), "the last one")
		grant, err := gate.TryAcquire(request("a", 0), time.Now())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.Vacated).To(Equal("e0"))
		g.Expect(grants[5].TakeVacated(time.Now())).To(BeEmpty())
		grants[2].Release("e2", time.Now())
		s.running = 0
		time.Sleep(2 * time.Second)
		gate.Refresh(time.Now())
		g.Expect(gate.Status()[0].Shortage).To(BeFalse())
		grants[3].Release("e3", time.Now())
		g.Expect(grants[5].TakeVacated(time.Now())).To(BeEmpty())
		g.Expect((*admission.Grant)(nil).TakeVacated(time.Now())).To(BeEmpty())
	})
}

// A gateway that hears nobody any more in a shortage goes by what it knew: its own few requests say
// little of the fleet's, and between two of them it would take the shortage to be over.
func TestAGatewayThatHearsNobodyGoesByWhatItKnew(t *testing.T) {
	for _, x := range []struct {
		name string
		// demand is that of others while they are heard, running the number of their requests.
		demand, running float64
		short           bool
	}{
		{"in a shortage", 130, 86, true},
		{"on a calm day", 40, 30, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				supply := admission.Supply{Room: 100, Running: x.running + 10, Own: 10}
				news := admission.News{Demand: demandOf(x.demand), Covers: 9, Gateways: 9, Known: 9}
				gate := admission.New(admission.Config{
					Supply: func(string, time.Time) admission.Supply { return supply },
					News:   func(string, time.Time) admission.News { return news },
					Random: func() float64 { return 0 },
				})
				grant, err := gate.TryAcquire(request("a", 0), time.Now())
				g.Expect(err).NotTo(HaveOccurred())
				grant.Release("", time.Now())
				status := func() admission.Status {
					gate.Refresh(time.Now())
					return gate.Status()[0]
				}
				for range 2 {
					time.Sleep(200 * time.Millisecond)
					g.Expect(status().Shortage).To(Equal(x.short))
				}
				supply = admission.Supply{Room: 100, Running: 3, Own: 3}
				for covers := 4; covers >= 0; covers-- { // the others are lost one after the other
					news = admission.News{Known: 9, Covers: covers, Demand: demandOf(float64(covers))}
					gate.Refresh(time.Now())
					time.Sleep(40 * time.Millisecond)
				}
				for range 19 {
					time.Sleep(time.Second)
					now := status()
					g.Expect(now.Shortage).To(Equal(x.short))
					if x.short {
						g.Expect(now.Running).To(Equal(89.0))
					} else {
						g.Expect(now.Running).To(Equal(30.0), "its own, for each gateway")
					}
				}
				time.Sleep(1100 * time.Millisecond)
				g.Expect(status().Shortage).To(BeFalse())
			})
		})
	}
}
