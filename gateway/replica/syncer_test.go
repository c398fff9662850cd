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
	g.SetMirrors(g.mirrors, members)
	return g
}

// setCopy replaces g's copy of kind by the given objects at revision.
func (g *gateway) setCopy(kind string, revision int64, objects ...mirror.Object) {
	g.setCopyInEra(0, kind, revision, objects...)
}

// setCopyInEra is like setCopy, for a store that has begun the given era.
func (g *gateway) setCopyInEra(era int64, kind string, revision int64, objects ...mirror.Object) {
	d := &mirror.Delta{Version: mirror.Version{Era: era, Revision: revision}, Objects: objects}
	for _, o := range objects {
		d.Names = append(d.Names, o.Name)
	}
	s, _ := (&mirror.State{}).Apply(d)
	g.mirrors[kind].ReplaceIfNewer(s)
}

// receiveHeartbeat delivers a heartbeat of the gateway named name to g.
func (g *gateway) receiveHeartbeat(name string, sequence uint64, set func(*member.Heartbeat)) {
	b := member.Heartbeat{Entry: member.Entry{Name: name, Zone: "a", Peer: name + ":1"}, Sequence: sequence, Ready: true}
	set(&b)
	g.table.HandleHeartbeat(b, time.Now())
}

// serve starts a server for g's copies and returns its address.
func (g *gateway) serve(t *testing.T) string {
	return serve(t, replica.NewService(g.mirrors))
}

// serve starts a server for an RPC service and returns its address.
func serve(t *testing.T, service any) string {
	mux, err := peerconn.NewMux(map[string]any{replica.ServiceName: service})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// object returns an object as the store sends it.
func object(name string, revision int64, spec string) mirror.Object {
	data := fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d},"spec":%s}`, name, revision, spec)
	return mirror.Object{Name: name, Revision: revision, Data: []byte(data)}
}

func TestAnEntryCopiesFromAnotherWhatItLacks(t *testing.T) {
	g := NewWithT(t)
	one, other := newGateway("one"), newGateway("other")
	one.setCopy(endpoints, 5, object("e1", 4, "{}"), object("e2", 5, "{}"))
	other.setCopy(endpoints, 9, object("e2", 5, "{}"), object("e3", 9, "{}"))
	one.Fetch(context.Background(), endpoints, other.serve(t))
	got := one.mirrors[endpoints].State()
	g.Expect(got).To(Equal(other.mirrors[endpoints].State()))
	g.Expect(got.Objects).To(HaveKey("e3"))
	g.Expect(got.Objects).NotTo(HaveKey("e1"))
}

func TestLargeObjectsTravelCompressedAndArriveAsTheyWere(t *testing.T) {
	g := NewWithT(t)
	one, other := newGateway("one"), newGateway("other")
	large := object("main", 4, `{"version":3,"tenants":[`+strings.Repeat(`{"name":"x","api_keys":[]},`, 2000)+`{"name":"y"}]}`)
	other.setCopy(config, 4, large)
	var reply replica.StateReply
	g.Expect(replica.NewService(other.mirrors).State(replica.StateRequest{Kind: config}, &reply)).To(Succeed())
	g.Expect(len(reply.Delta.Objects[0].Data)).To(BeNumerically("<", len(large.Data)/10))
	one.Fetch(context.Background(), config, other.serve(t))
	got := one.mirrors[config].State().Objects["main"]
	g.Expect(bytes.Equal(got.Data, large.Data)).To(BeTrue())
}

// TestACopyOfALaterEraReplacesAllObjects guards against objects and cached data of a former era that have the same names and revisions.
func TestACopyOfALaterEraReplacesAllObjects(t *testing.T) {
	g := NewWithT(t)
	one, other := newGateway("one"), newGateway("other")
	large := func(text string) mirror.Object { return object("main", 4, `"`+strings.Repeat(text, 2000)+`"`) }
	for era, text := range []string{1: "before", 2: "after"} {
		if text == "" {
			continue
		}
		other.setCopyInEra(int64(era), config, 4, large(text))
		one.Fetch(context.Background(), config, other.serve(t))
		g.Expect(string(one.mirrors[config].State().Objects["main"].Data)).To(ContainSubstring(text))
	}
	service := replica.NewService(other.mirrors)
	var before, after replica.StateReply
	g.Expect(service.State(replica.StateRequest{Kind: config}, &before)).To(Succeed())
	other.setCopyInEra(3, config, 4, large("later"))
	g.Expect(service.State(replica.StateRequest{Kind: config}, &after)).To(Succeed())
	g.Expect(after.Delta.Objects[0].Data).NotTo(Equal(before.Delta.Objects[0].Data))
}

func TestAGatewayWithoutACopyReturnsAnError(t *testing.T) {
	g := NewWithT(t)
	var reply replica.StateReply
	s := replica.NewService(newGateway("one").mirrors)
	g.Expect(s.State(replica.StateRequest{Kind: config}, &reply)).To(MatchError(replica.ErrNoCopy))
	g.Expect(s.State(replica.StateRequest{Kind: "other"}, &reply)).To(MatchError(replica.ErrUnknownKind))
}

func TestOnlyGatewaysThatWatchWaitForTheStoreFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newGateway("m")
		s.Elect(time.Now())
		g.Expect(s.StartFetch("k", true, time.Now())).To(BeTrue(), "not settled, so not watching")
		g.Expect(s.StartFetch("k", true, time.Now())).To(BeFalse(), "a fetch has just started")
		time.Sleep(300 * time.Millisecond)
		g.Expect(s.StartFetch("k", true, time.Now())).To(BeTrue())
		g.Expect(s.StartFetch("k", false, time.Now())).To(BeFalse())
		time.Sleep(500 * time.Millisecond)
		s.Elect(time.Now())
		g.Expect(s.StartFetch("k", true, time.Now())).To(BeFalse())
		time.Sleep(250 * time.Millisecond)
		g.Expect(s.StartFetch("k", true, time.Now())).To(BeTrue())
		s.StartFetch("k", false, time.Now())
		s.SetStoreLost("k", true)
		g.Expect(s.StartFetch("k", true, time.Now())).To(BeTrue(), "the store does not respond")
	})
}

func TestAGatewayWithoutAFirstCopyReadsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newGateway("m")
		e.receiveHeartbeat("a", 1, func(*member.Heartbeat) {})
		e.receiveHeartbeat("b", 1, func(*member.Heartbeat) {})
		time.Sleep(500 * time.Millisecond)
		e.Elect(time.Now())
		g.Expect(e.SyncsFromStore(members)).To(BeTrue(), "the list of gateways is always read from the store")
		g.Expect(e.SyncsFromStore(config)).To(BeFalse())
		time.Sleep(1200 * time.Millisecond)
		g.Expect(e.SyncsFromStore(config)).To(BeTrue())
		e.setCopy(config, 4, object("main", 4, "{}"))
		g.Expect(e.SyncsFromStore(config)).To(BeFalse())
	})
}

// At the first start of all, no gateway knows another, and each would read the store and watch it.
func TestAtTheFirstStartAGatewayWaitsToBeContacted(t *testing.T) {
	start := func(contacted bool, f func(g *WithT, e *gateway)) {
		synctest.Test(t, func(t *testing.T) {
			e := newGateway("m")
			e.HoldList()
			e.StartList(400 * time.Millisecond)
			if contacted {
				time.AfterFunc(300*time.Millisecond, func() {
					e.receiveHeartbeat("a", 1, func(*member.Heartbeat) {})
					e.receiveHeartbeat("b", 1, func(*member.Heartbeat) {})
				})
			}
			time.Sleep(time.Millisecond)
			f(NewWithT(t), e)
		})
	}
	step := func(e *gateway, d time.Duration) {
		time.Sleep(d)
		e.Elect(time.Now())
	}
	start(false, func(g *WithT, e *gateway) {
		step(e, 350*time.Millisecond)
		g.Expect(e.SyncsFromStore(members)).To(BeFalse())
		step(e, 300*time.Millisecond)
		g.Expect(e.SyncsFromStore(members)).To(BeTrue(), "not contacted")
		g.Expect(e.SyncsFromStore(config)).To(BeFalse(), "it knows no others yet")
		e.setCopy(members, 1, object("m", 1, "{}"))
		step(e, 0)
		step(e, 499*time.Millisecond)
		g.Expect(e.SyncsFromStore(config)).To(BeFalse())
		step(e, time.Millisecond)
		g.Expect(e.SyncsFromStore(config)).To(BeTrue(), "it is alone")
	})
	start(true, func(g *WithT, e *gateway) {
		step(e, 600*time.Millisecond)
		g.Expect(e.SyncsFromStore(members)).To(BeFalse(), "contacted")
		step(e, 3400*time.Millisecond)
		g.Expect(e.SyncsFromStore(config)).To(BeFalse(), "others read the store first")
		step(e, time.Second)
		g.Expect(e.SyncsFromStore(config)).To(BeTrue(), "still no copy from others")
		g.Expect(e.SyncsFromStore(members)).To(BeTrue())
	})
}

func TestTheStoreIsLostOnceItAnswersNoWatcher(t *testing.T) {
	g := NewWithT(t)
	e := newGateway("m")
	watch := func(away bool) func(*member.Heartbeat) {
		return func(b *member.Heartbeat) { b.Watching, b.Away = true, away }
	}
	e.receiveHeartbeat("a", 1, watch(true))
	e.receiveHeartbeat("b", 1, watch(false))
	g.Expect(e.StoreLost()).To(BeFalse())
	e.receiveHeartbeat("b", 2, watch(true))
	g.Expect(e.StoreLost()).To(BeTrue())
	e.receiveHeartbeat("a", 2, watch(false))
	g.Expect(e.StoreLost()).To(BeFalse())
}

// All gateways restarted together after a power loss. None had heard another yet, so none read
// the store: for half a second no gateway had a configuration, although all clients had
// reconnected.
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
		// immediately and settled state whether the gateway reads the store at its start and
		// after it has settled.
		immediately, settled bool
	}{
		{"first in the list", listed("m", "n", "o"), true, true},
		{"second in the list", listed("a", "m", "o"), true, true},
		{"third in the list", listed("a", "b", "m"), false, false},
		{"very first start, own record not in the list yet", listed("n", "o"), false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				e := newGateway("m")
				e.table.SetListed(c.listed)
				e.Elect(time.Now())
				g.Expect(e.SyncsFromStore(config)).To(Equal(c.immediately))
				for _, l := range c.listed {
					if l.Name < "m" && l.Zone == "a" {
						e.receiveHeartbeat(l.Name, 1, func(*member.Heartbeat) {})
					}
				}
				time.Sleep(500 * time.Millisecond)
				e.Elect(time.Now())
				g.Expect(e.SyncsFromStore(config)).To(Equal(c.settled))
			})
		})
	}
}
