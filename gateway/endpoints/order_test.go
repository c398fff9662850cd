package endpoints_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/endpoints"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/roster"
)

// written returns the spec of a record with a sequence, of an endpoint that holds a version of a model.
func written(sequence int, state string, version int) string {
	return fmt.Sprintf(`{"service":"llm","address":"10.0.0.1:80","zone":"a","slots":4,"state":%q,"sequence":%d,"models":[{"name":"m","version":%d}]}`, state, sequence, version)
}

// history plays records of e1 as the store takes them.
type history struct {
	g    *WithT
	s    *store
	l    *endpoints.List
	take func(spec string) *roster.Endpoint
}

// playHistory runs f on virtual time. take returns the endpoint after an update, or nil if it is not used; an empty spec
// stands for no record.
func playHistory(t *testing.T, f func(h *history)) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		l := newList(s)
		revision := int64(0)
		s.created = 1
		f(&history{g: NewWithT(t), s: s, l: l, take: func(spec string) *roster.Endpoint {
			synctest.Wait() // a scheduled update reads the records
			revision++
			era := int64(1)
			if s.state != nil {
				era = s.state.Era
			}
			s.put(revision, spec)
			if spec == "" {
				s.created = revision + 1
				s.state = &mirror.State{Revision: revision}
			} else {
				s.create()
			}
			s.state.Era = era
			l.Update()
			return l.Current().Endpoints["e1"]
		}})
	})
}

// create puts the revision at which the record of e1 was created into it.
func (s *store) create() {
	o := s.state.Objects["e1"]
	o.Data = []byte(strings.Replace(string(o.Data), `"name"`, fmt.Sprintf(`"made":%d,"name"`, s.created), 1))
	s.state.Objects["e1"] = o
}

// A write that the store applied late took back that an endpoint leaves, and requests sent there were lost as it ended.
func TestALateRecordDoesNotTakeBackThatAnEndpointLeaves(t *testing.T) {
	playHistory(t, func(h *history) {
		h.take(written(1, "ready", 1))
		h.g.Expect(h.take(written(9, "draining", 1)).Leaving).To(BeTrue())
		h.g.Expect(h.take(written(7, "ready", 1)).Leaving).To(BeTrue())
		time.Sleep(2 * recordTTL)
		h.g.Expect(h.take(written(8, "ready", 1)).Leaving).To(BeTrue(), "however long it stands there")
		h.g.Expect(h.take(written(10, "draining", 1)).Leaving).To(BeTrue())
		h.g.Expect(h.take("")).To(BeNil())
		h.g.Expect(h.take(written(8, "ready", 1))).To(BeNil(), "it has gone")
		time.Sleep(2 * recordTTL)
		h.g.Expect(h.take(written(7, "ready", 1))).To(BeNil())
		h.g.Expect(h.take(written(12, "ready", 1)).Leaving).To(BeFalse(), "its own later word")
	})
}

// A late write also took back the weights that an endpoint holds.
func TestALateRecordDoesNotReplaceALaterOne(t *testing.T) {
	playHistory(t, func(h *history) {
		h.take(written(1, "ready", 1))
		h.take(written(9, "ready", 2))
		h.g.Expect(h.take(written(8, "ready", 1)).Holds("m")).To(Equal(int64(2)))
		time.Sleep(recordTTL - time.Millisecond)
		h.g.Expect(h.take(written(8, "ready", 1)).Holds("m")).To(Equal(int64(2)))
		h.g.Expect(h.take(written(11, "ready", 3)).Holds("m")).To(Equal(int64(3)))
	})
}

// An endpoint that counts anew under its ID must not be shut out by the records of its earlier run.
func TestARecordThatIsRenewedIsUsedDespiteItsSequence(t *testing.T) {
	playHistory(t, func(h *history) {
		h.take(written(9, "ready", 2))
		h.g.Expect(h.take(written(1, "ready", 1)).Holds("m")).To(Equal(int64(2)))
		time.Sleep(recordTTL)
		synctest.Wait()
		h.g.Expect(h.take(written(1, "ready", 1)).Holds("m")).To(Equal(int64(1)))
	})
}

// Endpoints that go without stating that they leave were used again for a write that the store applied late.
func TestALateRecordDoesNotBringBackAnEndpointThatIsGone(t *testing.T) {
	playHistory(t, func(h *history) {
		h.take(written(1, "ready", 1))
		time.Sleep(time.Minute)
		h.take("")
		time.Sleep(6 * time.Second)
		h.g.Expect(h.take(written(48, "ready", 1))).To(BeNil(), "the store had not told of the writes since the first")
		time.Sleep(recordTTL)
		synctest.Wait()
		h.g.Expect(h.take(written(48, "ready", 1))).NotTo(BeNil(), "renewed, so that it is alive")
	})
}

// An endpoint whose record had lapsed must be used at once if no late write can be the reason.
func TestAnEndpointThatWasGoneForLongIsUsedAtOnce(t *testing.T) {
	playHistory(t, func(h *history) {
		h.take(written(1, "ready", 1))
		h.take("")
		time.Sleep(11 * time.Second)
		h.g.Expect(h.take(written(20, "ready", 1))).NotTo(BeNil())
	})
}

// The copy from which a store returns must not take back that an endpoint leaves, whatever is written there late.
func TestARecordOfTheCopyDoesNotTakeBackThatAnEndpointLeaves(t *testing.T) {
	playHistory(t, func(h *history) {
		h.take(written(1, "ready", 1))
		h.take(written(9, "draining", 1))
		h.s.state.Era = 2
		h.g.Expect(h.take(written(7, "ready", 1)).Leaving).To(BeTrue())
		h.g.Expect(h.take(written(8, "ready", 1)).Leaving).To(BeTrue(), "a write of before the return")
		h.g.Expect(h.take(written(10, "ready", 1)).Leaving).To(BeFalse())
	})
}

// A gateway that got the end of a record and the late write in one answer of the store did not see that it had gone.
func TestARecordThatWasGoneForAMomentIsNotUsed(t *testing.T) {
	playHistory(t, func(h *history) {
		h.take(written(1, "ready", 1))
		h.s.created = 2
		h.g.Expect(h.take(written(5, "ready", 1))).To(BeNil())
		time.Sleep(recordTTL)
		synctest.Wait()
		h.g.Expect(h.take(written(6, "ready", 2))).NotTo(BeNil(), "renewed")
	})
}

// Records that lapsed in an outage of the store and are back must not take their endpoints out of use.
func TestARecordThatLapsedInAnOutageIsUsedAtOnce(t *testing.T) {
	playHistory(t, func(h *history) {
		h.take(written(1, "ready", 1))
		h.l.SetStoreLost(true, time.Now())
		time.Sleep(5 * time.Second)
		h.l.SetStoreLost(false, time.Now())
		h.s.created = 2
		h.g.Expect(h.take(written(5, "ready", 1))).NotTo(BeNil())
	})
}

// Endpoints whose records lapsed together, and which were given up, must be used at once when they write again.
func TestEndpointsThatLapsedTogetherAreUsedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &store{}
		l := newList(s)
		list := func(revision int64, sequence int, endpoints ...int) {
			s.list(revision, endpoints...)
			for name, o := range s.state.Objects {
				o.Data = []byte(strings.Replace(string(o.Data), `"service"`, fmt.Sprintf(`"sequence":%d,"service"`, sequence), 1))
				s.state.Objects[name] = o
			}
			l.Update()
		}
		list(9, 1, 1, 2, 3, 4)
		list(10, 1, 4)
		time.Sleep(retention)
		synctest.Wait()
		g.Expect(l.Current().Endpoints).To(HaveLen(1))
		list(11, 8, 1, 2, 3, 4)
		g.Expect(l.Current().Endpoints).To(HaveLen(4))
	})
}
