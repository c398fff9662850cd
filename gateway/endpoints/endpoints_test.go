package endpoints_test

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/endpoints"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/roster"
)

const (
	retain = 2200 * time.Millisecond
	lapse  = 3600 * time.Millisecond
)

// store is a copy of the endpoints' records.
type store struct {
	state *mirror.State
	// unreadable are the records that were not used, as often as that was told.
	unreadable []string
}

// put makes the record of e1 alone the copy at revision.
func (s *store) put(revision int64, spec string) {
	d := &mirror.Delta{Version: mirror.Version{Revision: revision}, Names: []string{"e1"}}
	data := fmt.Sprintf(`{"metadata":{"name":"e1","revision":%d},"spec":%s}`, revision, spec)
	d.Objects = []mirror.Object{{Name: "e1", Revision: revision, Data: []byte(data)}}
	s.state, _ = (&mirror.State{}).Apply(d)
}

// born returns a record of a life that began at ms.
func born(ms int64, state string) string {
	return fmt.Sprintf(`{"service":"llm","address":"10.0.0.1:80","zone":"a","slots":4,"state":%q,"born":%d}`, state, ms)
}

// list makes the records of endpoints e1, e2 and so on the copy at revision.
func (s *store) list(revision int64, endpoints ...int) {
	d := &mirror.Delta{Version: mirror.Version{Revision: revision}}
	for _, i := range endpoints {
		name := fmt.Sprintf("e%d", i)
		data := fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d},"spec":{"service":"llm","address":"10.0.0.%d:80","zone":"a","slots":4,"state":"ready"}}`, name, i, i)
		d.Names = append(d.Names, name)
		d.Objects = append(d.Objects, mirror.Object{Name: name, Revision: int64(i), Data: []byte(data)})
	}
	s.state, _ = (&mirror.State{}).Apply(d)
}

func newList(s *store) *endpoints.List {
	return endpoints.New(endpoints.Config{
		Records:    func() *mirror.State { return s.state },
		Retention:  roster.NewRetention(retain, retain),
		Changed:    func(*roster.List) {},
		Unreadable: func(name string, _ error) { s.unreadable = append(s.unreadable, name) },
		Lapse:      lapse,
		Log:        log.New(io.Discard),
	})
}

func TestEndpointsAreKeptWhenNoneThatWatchesReachesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &store{}
		l := newList(s)
		s.list(3, 1, 2, 3, 4)
		l.Update()
		l.NoteStore(true, time.Now())
		l.NoteStore(false, time.Now())
		s.list(9, 2, 3, 4)
		l.Update()
		g.Expect(l.Current().Endpoints).To(HaveKey("e1"))
		time.Sleep(retain)
		synctest.Wait()
		g.Expect(l.Current().Endpoints).NotTo(HaveKey("e1"))
	})
}

func TestAnEndpointThatLeavesTheListWhileTheStoreAnswersIsGoneAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := &store{}
	l := newList(s)
	s.list(3, 1, 2, 3, 4)
	l.Update()
	s.list(9, 2, 3, 4)
	l.Update()
	g.Expect(l.Current().Endpoints).NotTo(HaveKey("e1"))
}

// An endpoint crashed and started again under its ID. A write of its first life, which had
// got no answer, was done after the record of the next one: the gateway believed that the
// endpoint drained, with what it had held before.
func TestALateRecordOfAnEarlierLifeIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &store{}
		l := newList(s)
		s.put(1, born(5, "ready"))
		l.Update()
		s.put(2, born(7, "ready"))
		l.Update()
		g.Expect(l.Current().Endpoints["e1"].Born).To(Equal(int64(7)))
		s.put(3, born(5, "draining"))
		l.Update()
		g.Expect(l.Current().Endpoints["e1"].Born).To(Equal(int64(7)))
		g.Expect(l.Current().Endpoints["e1"].Leaving).To(BeFalse())
		time.Sleep(lapse / 2)
		s.put(4, born(7, "draining"))
		l.Update()
		g.Expect(l.Current().Endpoints["e1"].Leaving).To(BeTrue(), "the next heartbeat is the later life's")
	})
}

// The clock of an endpoint's VM was set back before it started again: its records tell of
// an earlier time for good. One that drains must not get requests for ever.
func TestARecordThatStandsIsUsedWhateverItsClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &store{}
		l := newList(s)
		s.put(1, born(7, "ready"))
		l.Update()
		s.put(2, born(5, "draining"))
		l.Update()
		time.Sleep(lapse - time.Millisecond)
		synctest.Wait()
		g.Expect(l.Current().Endpoints["e1"].Leaving).To(BeFalse())
		time.Sleep(time.Millisecond)
		synctest.Wait()
		g.Expect(l.Current().Endpoints["e1"].Leaving).To(BeTrue())
	})
}

// An older program beside this one writes records without the time of the start.
func TestARecordWithoutTheTimeOfItsStartIsUsed(t *testing.T) {
	g := NewWithT(t)
	s := &store{}
	l := newList(s)
	s.put(1, born(7, "ready"))
	l.Update()
	s.put(2, `{"service":"llm","address":"10.0.0.1:80","zone":"a","slots":4,"state":"draining"}`)
	l.Update()
	g.Expect(l.Current().Endpoints["e1"].Leaving).To(BeTrue())
}

// Another writer left records in the store. They were logged at each change of any
// endpoint, and one of them was used with slots of -8.
func TestRecordsOfOtherWritersAreLeftOutAndToldOnce(t *testing.T) {
	g := NewWithT(t)
	s := &store{}
	l := newList(s)
	for revision := int64(1); revision <= 5; revision++ {
		s.list(revision, 1, 2)
		s.state.Objects["x"] = mirror.Object{Name: "x", Revision: 1, Data: []byte(`{"metadata":{"name":"x"},"spec":{"service":"llm","address":"10.0.0.9:80","zone":"a","slots":-8,"state":"ready"}}`)}
		s.state.Objects["y"] = mirror.Object{Name: "y", Revision: 1, Data: []byte(`{"metadata":{"name":"y"},"spec":null}`)}
		l.Update()
		g.Expect(l.Current().Endpoints).To(HaveLen(2))
	}
	g.Expect(s.unreadable).To(ConsistOf("x", "y"))
}
