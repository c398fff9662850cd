package gateway

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
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/telemetry"
)

// newGateway returns an entry that is not started.
func newGateway(name string) *Gateway {
	cfg := &platform.Settings{
		Identity: telemetry.Identity{VM: name, Zone: "a"}, Regions: map[string]string{"a": "east"},
		Peer: name + ":1", PeerPort: 1, Store: "127.0.0.1:9", DrainLimit: 2 * time.Second,
	}
	return New(cfg, log.New(io.Discard), metrics.NewRegistry())
}

// object is an object as the store sends it.
func object(name string, revision int64, spec string) mirror.Object {
	data := fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d},"spec":%s}`, name, revision, spec)
	return mirror.Object{Name: name, Revision: revision, Data: []byte(data)}
}

// give puts objects into e's copy of kind at revision.
func give(g *Gateway, kind string, revision int64, objects ...mirror.Object) {
	names := []string{}
	for _, o := range objects {
		names = append(names, o.Name)
	}
	d := &mirror.Delta{Version: mirror.Version{Revision: revision}, Names: names, Objects: objects}
	s, _ := (&mirror.State{}).Apply(d)
	g.mirrors[kind].Take(s)
}

const (
	configSpec   = `{"version":3,"services":[{"name":"llm","engine":{"models":[{"name":"m"}]}},{"name":"o","origin":"10.9.0.1:80","link_mbps":15}]}`
	endpointSpec = `{"service":"llm","address":"10.0.0.%d:80","zone":"a","slots":4,"state":"ready"}`
)

func endpoint(i int, revision int64) mirror.Object {
	return object(fmt.Sprintf("e%d", i), revision, fmt.Sprintf(endpointSpec, i))
}

// serving returns the address of a server for e's copies.
func serving(t *testing.T, g *Gateway) string {
	handler, err := peerconn.NewRPCHandler(map[string]any{syncService: newSync(g.mirrors)})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestAnEntryCopiesFromAnotherWhatItLacks(t *testing.T) {
	g := NewWithT(t)
	one, other := newGateway("one"), newGateway("other")
	give(one, platform.KindEndpoints, 5, endpoint(1, 4), endpoint(2, 5))
	give(other, platform.KindEndpoints, 9, endpoint(2, 5), endpoint(3, 9))
	m := one.mirrors[platform.KindEndpoints]
	one.replicas.take(context.Background(), platform.KindEndpoints, m, serving(t, other))
	g.Expect(m.State()).To(Equal(other.mirrors[platform.KindEndpoints].State()))
	g.Expect(one.roster.Load().Endpoints).To(HaveKey("e3"))
	g.Expect(one.roster.Load().Endpoints).NotTo(HaveKey("e1"))
}

func TestLargeObjectsTravelCompressedAndArriveAsTheyWere(t *testing.T) {
	g := NewWithT(t)
	one, other := newGateway("one"), newGateway("other")
	large := object(platform.ConfigName, 4, `{"version":3,"tenants":[`+strings.Repeat(`{"name":"x","api_keys":[]},`, 2000)+`{"name":"y"}]}`)
	give(other, platform.KindConfig, 4, large)
	var reply StateReply
	g.Expect(newSync(other.mirrors).State(StateRequest{Kind: platform.KindConfig}, &reply)).To(Succeed())
	g.Expect(len(reply.Delta.Objects[0].Data)).To(BeNumerically("<", len(large.Data)/10))
	one.replicas.take(context.Background(), platform.KindConfig, one.mirrors[platform.KindConfig], serving(t, other))
	got := one.mirrors[platform.KindConfig].State().Objects[platform.ConfigName]
	g.Expect(bytes.Equal(got.Data, large.Data)).To(BeTrue())
	g.Expect(one.proxy.Routes().Version).To(Equal(int64(3)))
}

func TestAnEntryWithoutACopyGivesNone(t *testing.T) {
	g := NewWithT(t)
	var reply StateReply
	s := newSync(newGateway("one").mirrors)
	g.Expect(s.State(StateRequest{Kind: platform.KindConfig}, &reply)).To(MatchError(errNoCopy))
	g.Expect(s.State(StateRequest{Kind: "other"}, &reply)).To(MatchError(errUnknownKind))
}

// hear makes e hear a heartbeat.
func hear(g *Gateway, name string, sequence uint64, set func(*member.Heartbeat)) {
	b := member.Heartbeat{Entry: member.Entry{Name: name, Zone: "a", Peer: name + ":1"}, Sequence: sequence, Ready: true}
	set(&b)
	g.table.Hear(b, time.Now())
}

func TestOneThatWatchesWaitsForItsOwnAnswerAndOthersDoNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newGateway("m")
		r := e.replicas
		r.elect(time.Now())
		g.Expect(r.due("k", true, time.Now())).To(BeTrue(), "it has not settled, so it does not watch")
		g.Expect(r.due("k", true, time.Now())).To(BeFalse(), "one was asked just now")
		time.Sleep(hedgeAfter)
		g.Expect(r.due("k", true, time.Now())).To(BeTrue())
		g.Expect(r.due("k", false, time.Now())).To(BeFalse())
		time.Sleep(settleTime)
		r.elect(time.Now())
		g.Expect(r.due("k", true, time.Now())).To(BeFalse())
		time.Sleep(shortestBehind)
		g.Expect(r.due("k", true, time.Now())).To(BeTrue())
		r.due("k", false, time.Now())
		r.reach("k", true)
		g.Expect(r.due("k", true, time.Now())).To(BeTrue(), "the store does not answer")
	})
}

func TestAnEntryThatGetsNoFirstCopyAsksTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newGateway("m")
		hear(e, "a", 1, func(*member.Heartbeat) {})
		hear(e, "b", 1, func(*member.Heartbeat) {})
		time.Sleep(settleTime)
		e.replicas.elect(time.Now())
		g.Expect(e.active(platform.KindMembers)).To(BeTrue(), "the list of entries is always read")
		g.Expect(e.active(platform.KindConfig)).To(BeFalse())
		time.Sleep(lonelyTime)
		g.Expect(e.active(platform.KindConfig)).To(BeTrue())
		give(e, platform.KindConfig, 4, object(platform.ConfigName, 4, configSpec))
		g.Expect(e.active(platform.KindConfig)).To(BeFalse())
	})
}

func TestEndpointsAreKeptWhenNoneThatWatchesReachesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newGateway("m")
		watch := func(away bool) func(*member.Heartbeat) {
			return func(b *member.Heartbeat) { b.Watching, b.Away = true, away }
		}
		give(e, platform.KindEndpoints, 3, endpoint(1, 1), endpoint(2, 2), endpoint(3, 3), endpoint(4, 3))
		hear(e, "a", 1, watch(true))
		hear(e, "b", 1, watch(false))
		e.noteOutage()
		g.Expect(e.outage.Load()).To(BeFalse())
		hear(e, "b", 2, watch(true))
		e.noteOutage()
		g.Expect(e.outage.Load()).To(BeTrue())
		hear(e, "a", 2, watch(false))
		e.noteOutage()
		give(e, platform.KindEndpoints, 9, endpoint(2, 2), endpoint(3, 3), endpoint(4, 3))
		g.Expect(e.roster.Load().Endpoints).To(HaveKey("e1"))
		time.Sleep(retainLapsed)
		synctest.Wait()
		g.Expect(e.roster.Load().Endpoints).NotTo(HaveKey("e1"))
	})
}

func TestAnInventoryIsToldOnceThereIsNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newGateway("m")
		q := inventory.Query{Service: "llm", Wait: time.Second}
		var inv inventory.Inventory
		began := time.Now()
		g.Expect(e.inventory.Get(q, &inv)).To(MatchError(errNotKnown))
		g.Expect(time.Since(began)).To(Equal(time.Second))
		give(e, platform.KindConfig, 4, object(platform.ConfigName, 4, configSpec))
		give(e, platform.KindEndpoints, 5, endpoint(1, 5))
		give(e, platform.KindVersions, 6, object("m", 6, `{"model":"m","version":2}`))
		g.Expect(e.inventory.Get(q, &inv)).To(Succeed())
		g.Expect(inv.Versions).To(Equal([]inventory.Version{{Model: "m", Version: 2}}))
		g.Expect(inv.Models).To(Equal([]string{"m"}))
		g.Expect(inv.Origin).To(Equal("10.9.0.1:80"))
		g.Expect(inv.Members[0].Addr).To(Equal("10.0.0.1:1"))
		g.Expect(inv.Entries).To(Equal([]inventory.Place{{Addr: "m:1", Zone: "a"}}))
		go func() {
			time.Sleep(300 * time.Millisecond)
			give(e, platform.KindVersions, 7, object("m", 7, `{"model":"m","version":3}`))
		}()
		q.Known = inv.Digest
		began = time.Now()
		g.Expect(e.inventory.Get(q, &inv)).To(Succeed())
		g.Expect(inv.Versions[0].Version).To(Equal(int64(3)))
		g.Expect(time.Since(began)).To(Equal(300 * time.Millisecond))
	})
}
