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
	retention = 2200 * time.Millisecond
	recordTTL = 3600 * time.Millisecond
)

// store is a fake of the local copy of the endpoint records.
type store struct {
	state *mirror.State
	// unreadable holds the name of a record for each time that it was reported as unreadable.
	unreadable []string
	// created is the revision at which the record of e1 was created, for histories.
	created int64
}

// put replaces all records by one record of e1, at revision.
func (s *store) put(revision int64, spec string) {
	d := &mirror.Delta{Version: mirror.Version{Revision: revision}, Names: []string{"e1"}}
	data := fmt.Sprintf(`{"metadata":{"name":"e1","revision":%d},"spec":%s}`, revision, spec)
	d.Objects = []mirror.Object{{Name: "e1", Revision: revision, Data: []byte(data)}}
	s.state, _ = (&mirror.State{}).Apply(d)
}

// born returns the spec of an incarnation that started at ms.
func born(ms int64, state string) string {
	return fmt.Sprintf(`{"service":"llm","address":"10.0.0.1:80","zone":"a","slots":4,"state":%q,"born":%d}`, state, ms)
}

// list replaces all records by those of the numbered endpoints (1 for e1), at revision.
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
		Records:      func() *mirror.State { return s.state },
		Retention:    roster.NewRetention(retention, retention),
		OnChange:     func(*roster.List) {},
		OnUnreadable: func(name string, _ error) { s.unreadable = append(s.unreadable, name) },
		RecordTTL:    recordTTL,
		Log:          log.New(io.Discard),
	})
}

// Guards against requests for endpoints that lost power with their VM and run under other IDs since:
// each of them was refused by the endpoint that has the address now.
func TestAnEndpointAtWhoseAddressAnotherStartedIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	s := &store{}
	l := newList(s)
	put := func(revision int64, records map[string]int64) {
		d := &mirror.Delta{Version: mirror.Version{Revision: revision}}
		for name, written := range records {
			data := fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d},"spec":%s}`, name, written, born(0, "ready"))
			d.Names = append(d.Names, name)
			d.Objects = append(d.Objects, mirror.Object{Name: name, Revision: written, Data: []byte(data)})
		}
		s.state, _ = (&mirror.State{}).Apply(d)
		l.Update()
	}
	put(9, map[string]int64{"before": 5, "after": 8})
	g.Expect(l.Current().Endpoints).To(And(HaveLen(1), HaveKey("after")))
	put(11, map[string]int64{"before": 11, "after": 8})
	g.Expect(l.Current().Endpoints).To(And(HaveLen(1), HaveKey("after")), "a write of the earlier one that is late changes nothing")
	put(12, map[string]int64{"before": 11})
	g.Expect(l.Current().Endpoints).To(HaveKey("before"))
}

func TestLapsedEndpointsAreKeptAfterTheStoreWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &store{}
		l := newList(s)
		s.list(3, 1, 2, 3, 4)
		l.Update()
		l.SetStoreLost(true, time.Now())
		l.SetStoreLost(false, time.Now())
		s.list(9, 2, 3, 4)
		l.Update()
		g.Expect(l.Current().Endpoints).To(HaveKey("e1"))
		time.Sleep(retention)
		synctest.Wait()
		g.Expect(l.Current().Endpoints).NotTo(HaveKey("e1"))
	})
}

func TestAnUnlistedEndpointIsRemovedAtOnceWhileTheStoreResponds(t *testing.T) {
	g := NewWithT(t)
	s := &store{}
	l := newList(s)
	s.list(3, 1, 2, 3, 4)
	l.Update()
	s.list(9, 2, 3, 4)
	l.Update()
	g.Expect(l.Current().Endpoints).NotTo(HaveKey("e1"))
}

// An endpoint crashed and restarted under the same ID. A write of its first incarnation, which
// had not been acknowledged, was applied after the record of the second one, so the gateway
// treated the endpoint as draining and holding its former weights.
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
		time.Sleep(recordTTL / 2)
		s.put(4, born(7, "draining"))
		l.Update()
		g.Expect(l.Current().Endpoints["e1"].Leaving).To(BeTrue(), "the next heartbeat is from the later incarnation")
	})
}

// The clock of an endpoint's VM was set back before the endpoint restarted, so all its records
// have an earlier start time. They must be used after recordTTL; otherwise a draining endpoint
// would receive requests forever.
func TestAPersistentRecordIsUsedDespiteAnEarlierStartTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &store{}
		l := newList(s)
		s.put(1, born(7, "ready"))
		l.Update()
		s.put(2, born(5, "draining"))
		l.Update()
		time.Sleep(recordTTL - time.Millisecond)
		synctest.Wait()
		g.Expect(l.Current().Endpoints["e1"].Leaving).To(BeFalse())
		time.Sleep(time.Millisecond)
		synctest.Wait()
		g.Expect(l.Current().Endpoints["e1"].Leaving).To(BeTrue())
	})
}

// Older versions of the program write records without a start time.
func TestARecordWithoutAStartTimeIsUsed(t *testing.T) {
	g := NewWithT(t)
	s := &store{}
	l := newList(s)
	s.put(1, born(7, "ready"))
	l.Update()
	s.put(2, `{"service":"llm","address":"10.0.0.1:80","zone":"a","slots":4,"state":"draining"}`)
	l.Update()
	g.Expect(l.Current().Endpoints["e1"].Leaving).To(BeTrue())
}

// Another program left records in the store. They were logged again whenever any endpoint
// changed, and one of them was used although its slots were -8.
func TestUnreadableRecordsAreOmittedAndReportedOnce(t *testing.T) {
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
