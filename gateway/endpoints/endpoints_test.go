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

const retain = 2200 * time.Millisecond

// store is a copy of the endpoints' records.
type store struct {
	state *mirror.State
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
		Records:   func() *mirror.State { return s.state },
		Retention: roster.NewRetention(retain, retain),
		Changed:   func(*roster.List) {},
		Log:       log.New(io.Discard),
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
