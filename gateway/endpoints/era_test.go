package endpoints_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/mirror"
)

// listStates replaces all records by those of the given endpoints with their states, in an era. Record i has revision i.
func (s *store) listStates(era int64, states map[int]string) {
	d := &mirror.Delta{Version: mirror.Version{Era: era, Revision: 9}}
	for i, state := range states {
		name := fmt.Sprintf("e%d", i)
		data := fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d},"spec":{"service":"llm","address":"10.0.0.%d:80","zone":"a","slots":4,"state":%q}}`, name, i, i, state)
		d.Names = append(d.Names, name)
		d.Objects = append(d.Objects, mirror.Object{Name: name, Revision: int64(i), Data: []byte(data)})
	}
	s.state, _ = (&mirror.State{}).Apply(d)
}

// TestAnEndpointThatLeavesIsNotReadyAgainByAnOlderRecord guards against requests to it after the store returned from a copy.
func TestAnEndpointThatLeavesIsNotReadyAgainByAnOlderRecord(t *testing.T) {
	g := NewWithT(t)
	s := &store{}
	l := newList(s)
	s.listStates(1, map[int]string{1: "draining", 2: "ready"})
	l.Update()
	s.listStates(2, map[int]string{1: "ready", 2: "ready"})
	l.Update()
	g.Expect(l.Current().Endpoints["e1"].Leaving).To(BeTrue())
	g.Expect(l.Current().Endpoints["e2"].Leaving).To(BeFalse())
	s.listStates(2, map[int]string{2: "ready"})
	l.Update()
	s.listStates(3, map[int]string{1: "ready", 2: "ready"})
	l.Update()
	g.Expect(l.Current().Endpoints).NotTo(HaveKey("e1"), "it had left")
}

// TestAnEndpointThatWasGoneIsNotUsedForAnOldRecord guards against requests to it, or to what has its address now.
func TestAnEndpointThatWasGoneIsNotUsedForAnOldRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &store{}
		l := newList(s)
		s.listStates(1, map[int]string{1: "ready", 2: "ready"})
		l.Update()
		s.listStates(1, map[int]string{2: "ready"})
		l.Update()
		s.listStates(2, map[int]string{1: "ready", 2: "ready"})
		l.Update()
		g.Expect(l.Current().Endpoints).NotTo(HaveKey("e1"))
		time.Sleep(recordTTL - time.Millisecond)
		synctest.Wait()
		g.Expect(l.Current().Endpoints).NotTo(HaveKey("e1"))
		time.Sleep(time.Millisecond)
		synctest.Wait()
		g.Expect(l.Current().Endpoints).To(HaveKey("e1"), "its record did not lapse, so that somebody writes it")
	})
}

// TestAnEndpointThatTheCopyLacksIsKeptUntilItWritesAgain guards against refusals while the store lacks the latest endpoints.
func TestAnEndpointThatTheCopyLacksIsKeptUntilItWritesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &store{}
		l := newList(s)
		s.listStates(1, map[int]string{1: "ready", 2: "ready", 3: "ready"})
		l.Update()
		s.listStates(2, map[int]string{1: "ready"})
		l.Update()
		g.Expect(l.Current().Endpoints).To(HaveLen(3))
		s.listStates(2, map[int]string{1: "ready", 3: "ready"})
		l.Update()
		time.Sleep(retention)
		synctest.Wait()
		g.Expect(l.Current().Endpoints).To(And(HaveLen(2), HaveKey("e1"), HaveKey("e3")))
	})
}

// TestAnEndpointThatWasGoneIsUsedAtOnceInTheSameEra guards against a loss of endpoints whose records lapsed.
func TestAnEndpointThatWasGoneIsUsedAtOnceInTheSameEra(t *testing.T) {
	g := NewWithT(t)
	s := &store{}
	l := newList(s)
	s.listStates(1, map[int]string{1: "ready", 2: "ready"})
	l.Update()
	s.listStates(1, map[int]string{2: "ready"})
	l.Update()
	s.listStates(1, map[int]string{1: "ready", 2: "ready"})
	l.Update()
	g.Expect(l.Current().Endpoints).To(HaveKey("e1"))
}

// TestAnEndpointThatIsReadyAgainByALaterRecordIsUsed guards against an endpoint that leaves for good after it started again under its ID.
func TestAnEndpointThatIsReadyAgainByALaterRecordIsUsed(t *testing.T) {
	g := NewWithT(t)
	s := &store{}
	l := newList(s)
	leaving := func(era, revision int64, state string) bool {
		s.put(revision, born(0, state))
		s.state.Era = era
		l.Update()
		return l.Current().Endpoints["e1"].Leaving
	}
	g.Expect(leaving(1, 3, "draining")).To(BeTrue())
	g.Expect(leaving(1, 5, "ready")).To(BeFalse())
	g.Expect(leaving(1, 7, "draining")).To(BeTrue())
	g.Expect(leaving(2, 5, "ready")).To(BeTrue(), "an older record")
	g.Expect(leaving(2, 5, "ready")).To(BeTrue(), "and still")
	g.Expect(leaving(2, 6, "ready")).To(BeFalse(), "written since")
}
