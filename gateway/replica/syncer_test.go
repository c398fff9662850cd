package replica_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/replica"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/peerconn"
)

const (
	endpoints = "endpoints"
	config    = "config"
	members   = "members"
)

// gateway is the part of a gateway that keeps copies.
type gateway struct {
	*replica.Syncer
	table   *member.Table
	mirrors map[string]*mirror.Mirror
}

func newGateway(name string) *gateway {
	quiet := log.New(io.Discard)
	g := &gateway{table: member.NewTable(member.Entry{Name: name, Zone: "a", Peer: name + ":1"}), mirrors: map[string]*mirror.Mirror{}}
	for _, kind := range []string{endpoints, config, members} {
		g.mirrors[kind] = mirror.New(mirror.Config{Kind: kind, Log: quiet}, func(*mirror.State) {})
	}
	g.Syncer = replica.New(g.table, quiet)
	g.Use(g.mirrors, members)
	return g
}

// give puts objects into g's copy of kind at revision.
func (g *gateway) give(kind string, revision int64, objects ...mirror.Object) {
	names := []string{}
	for _, o := range objects {
		names = append(names, o.Name)
	}
	d := &mirror.Delta{Version: mirror.Version{Revision: revision}, Names: names, Objects: objects}
	s, _ := (&mirror.State{}).Apply(d)
	g.mirrors[kind].ReplaceIfNewer(s)
}

// hear makes g hear a heartbeat.
func (g *gateway) hear(name string, sequence uint64, set func(*member.Heartbeat)) {
	b := member.Heartbeat{Entry: member.Entry{Name: name, Zone: "a", Peer: name + ":1"}, Sequence: sequence, Ready: true}
	set(&b)
	g.table.HandleHeartbeat(b, time.Now())
}

// serving returns the address of a server for g's copies.
func (g *gateway) serving(t *testing.T) string {
	return serve(t, replica.NewService(g.mirrors))
}

// serve returns the address of a server for service.
func serve(t *testing.T, service any) string {
	mux, err := peerconn.NewMux(map[string]any{replica.ServiceName: service})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// object is an object as the store sends it.
func object(name string, revision int64, spec string) mirror.Object {
	data := fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d},"spec":%s}`, name, revision, spec)
	return mirror.Object{Name: name, Revision: revision, Data: []byte(data)}
}

func TestAnEntryCopiesFromAnotherWhatItLacks(t *testing.T) {
	g := NewWithT(t)
	one, other := newGateway("one"), newGateway("other")
	one.give(endpoints, 5, object("e1", 4, "{}"), object("e2", 5, "{}"))
	other.give(endpoints, 9, object("e2", 5, "{}"), object("e3", 9, "{}"))
	one.Fetch(context.Background(), endpoints, other.serving(t))
	got := one.mirrors[endpoints].State()
	g.Expect(got).To(Equal(other.mirrors[endpoints].State()))
	g.Expect(got.Objects).To(HaveKey("e3"))
	g.Expect(got.Objects).NotTo(HaveKey("e1"))
}

func TestLargeObjectsTravelCompressedAndArriveAsTheyWere(t *testing.T) {
	g := NewWithT(t)
	one, other := newGateway("one"), newGateway("other")
	large := object("main", 4, `{"version":3,"tenants":[`+strings.Repeat(`{"name":"x","api_keys":[]},`, 2000)+`{"name":"y"}]}`)
	other.give(config, 4, large)
	var reply replica.StateReply
	g.Expect(replica.NewService(other.mirrors).State(replica.StateRequest{Kind: config}, &reply)).To(Succeed())
	g.Expect(len(reply.Delta.Objects[0].Data)).To(BeNumerically("<", len(large.Data)/10))
	one.Fetch(context.Background(), config, other.serving(t))
	got := one.mirrors[config].State().Objects["main"]
	g.Expect(bytes.Equal(got.Data, large.Data)).To(BeTrue())
}

func TestAnEntryWithoutACopyGivesNone(t *testing.T) {
	g := NewWithT(t)
	var reply replica.StateReply
	s := replica.NewService(newGateway("one").mirrors)
	g.Expect(s.State(replica.StateRequest{Kind: config}, &reply)).To(MatchError(replica.ErrNoCopy))
	g.Expect(s.State(replica.StateRequest{Kind: "other"}, &reply)).To(MatchError(replica.ErrUnknownKind))
}

func TestOneThatWatchesWaitsForItsOwnAnswerAndOthersDoNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newGateway("m")
		s.Elect(time.Now())
		g.Expect(s.Due("k", true, time.Now())).To(BeTrue(), "it has not settled, so it does not watch")
		g.Expect(s.Due("k", true, time.Now())).To(BeFalse(), "one was asked just now")
		time.Sleep(300 * time.Millisecond)
		g.Expect(s.Due("k", true, time.Now())).To(BeTrue())
		g.Expect(s.Due("k", false, time.Now())).To(BeFalse())
		time.Sleep(500 * time.Millisecond)
		s.Elect(time.Now())
		g.Expect(s.Due("k", true, time.Now())).To(BeFalse())
		time.Sleep(250 * time.Millisecond)
		g.Expect(s.Due("k", true, time.Now())).To(BeTrue())
		s.Due("k", false, time.Now())
		s.NoteStore("k", true)
		g.Expect(s.Due("k", true, time.Now())).To(BeTrue(), "the store does not answer")
	})
}

func TestAnEntryThatGetsNoFirstCopyAsksTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newGateway("m")
		e.hear("a", 1, func(*member.Heartbeat) {})
		e.hear("b", 1, func(*member.Heartbeat) {})
		time.Sleep(500 * time.Millisecond)
		e.Elect(time.Now())
		g.Expect(e.KeptByStore(members)).To(BeTrue(), "the list of entries is always read")
		g.Expect(e.KeptByStore(config)).To(BeFalse())
		time.Sleep(1200 * time.Millisecond)
		g.Expect(e.KeptByStore(config)).To(BeTrue())
		e.give(config, 4, object("main", 4, "{}"))
		g.Expect(e.KeptByStore(config)).To(BeFalse())
	})
}

func TestTheStoreIsLostOnceItAnswersNoneThatWatches(t *testing.T) {
	g := NewWithT(t)
	e := newGateway("m")
	watch := func(away bool) func(*member.Heartbeat) {
		return func(b *member.Heartbeat) { b.Watching, b.Away = true, away }
	}
	e.hear("a", 1, watch(true))
	e.hear("b", 1, watch(false))
	g.Expect(e.StoreLost()).To(BeFalse())
	e.hear("b", 2, watch(true))
	g.Expect(e.StoreLost()).To(BeTrue())
	e.hear("a", 2, watch(false))
	g.Expect(e.StoreLost()).To(BeFalse())
}

// All gateways lost power and started again together. None had heard another yet, so none
// read the store: for half a second nobody knew a configuration, while all callers were back.
func TestTheFirstThatTheStoreListsReadsItAtOnceAfterAStart(t *testing.T) {
	listed := func(names ...string) []member.Entry {
		var out []member.Entry
		for _, n := range names {
			out = append(out, member.Entry{Name: n, Zone: "a", Peer: n + ":1"})
		}
		return append(out, member.Entry{Name: "0", Zone: "elsewhere", Peer: "0:1"})
	}
	for _, c := range []struct {
		name   string
		listed []member.Entry
		// atOnce and later tell whether it reads the store by itself.
		atOnce, later bool
	}{
		{"the first", listed("m", "n", "o"), true, true},
		{"the second", listed("a", "m", "o"), true, true},
		{"the third", listed("a", "b", "m"), false, false},
		{"on the first start of all its own record is not there yet", listed("n", "o"), false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				e := newGateway("m")
				e.table.SetListed(c.listed)
				e.Elect(time.Now())
				g.Expect(e.KeptByStore(config)).To(Equal(c.atOnce))
				for _, l := range c.listed {
					if l.Name < "m" && l.Zone == "a" {
						e.hear(l.Name, 1, func(*member.Heartbeat) {})
					}
				}
				time.Sleep(500 * time.Millisecond)
				e.Elect(time.Now())
				g.Expect(e.KeptByStore(config)).To(Equal(c.later))
			})
		})
	}
}
