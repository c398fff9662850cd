package member_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/roster"
)

// fleet is a set of gateways on virtual time. They communicate over an in-memory network that
// delays datagrams by a few milliseconds and loses some.
type fleet struct {
	*WithT
	ctx context.Context

	mu sync.Mutex
	// links has the draws for the datagrams from one gateway to another, so that the fate of a
	// datagram does not depend on the order in which goroutines run.
	links    map[[2]string]*rand.Rand
	loss     float64
	gateways map[string]*node
	// blocked returns whether datagrams from one gateway to another, by name, are dropped.
	blocked func(from, to string) bool
	// sent counts datagrams and bytes by the sender's name.
	sent map[string]traffic
}

// zones is the number of availability zones of a fleet.
const zones = 5

type traffic struct {
	datagrams, bytes int
}

// node is one incarnation of a gateway.
type node struct {
	fleet  *fleet
	entry  member.Entry
	table  *member.Table
	beater *member.Heartbeater
	cancel context.CancelFunc
	conn   *conn

	mu       sync.Mutex
	inFlight map[roster.Incarnation]int
	suspects []roster.Incarnation
	demand   []member.Demand
	// accounts and dueAt are what the gateway tells of service s, whose room is short if accounts is
	// not nil: rates of client accounts, and when a caller should return.
	accounts []member.AccountRate
	dueAt    time.Time
	weight   int
	copies   int64
	// poison records the requests during which endpoints terminated.
	poison *poison.Table
	// balancer tracks the endpoint under test.
	balancer *balance.Balancer
	// countedBytes is the sum of the bytes reported to OnSent.
	countedBytes int
	// lost lists the gateways that were considered dead, in order.
	lost []string
}

// conn is a gateway's socket.
type conn struct {
	net.PacketConn
	node  *node
	addr  string
	queue chan []byte
	once  sync.Once
	done  chan struct{}
}

func (c *conn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case data := <-c.queue:
		return copy(p, data), nil, nil
	case <-c.done:
		return 0, nil, net.ErrClosed
	}
}

func (c *conn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.node.fleet.deliver(c.node.entry.Name, to.String(), p)
	return len(p), nil
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.done) })
	return nil
}

func peerAddr(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

// gatewayName returns the name of gateway i. The zone of the gateway follows from i.
func gatewayName(i int) string { return fmt.Sprintf("g%03d", i) }

func newEntry(i int, life uint64) member.Entry {
	zone := string(rune('a' + i%zones))
	return member.Entry{Name: gatewayName(i), Life: life, Peer: peerAddr(i), Callers: peerAddr(i), Zone: zone, Region: zone, Relays: true}
}

// deliver transmits a datagram.
func (f *fleet) deliver(from, to string, p []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sent[from]
	f.sent[from] = traffic{datagrams: s.datagrams + 1, bytes: s.bytes + len(p)}
	n := f.gateways[to]
	link := f.link(from, to)
	lost, delay := link.Float64() < f.loss, time.Millisecond+time.Duration(link.IntN(2000))*time.Microsecond
	if n == nil || lost || (f.blocked != nil && f.blocked(from, n.entry.Name)) {
		return
	}
	data := append([]byte{}, p...)
	time.AfterFunc(delay, func() {
		select {
		case n.conn.queue <- data:
		default: // the socket buffer is full
		}
	})
}

// link returns the draws for a link. The caller holds f.mu.
func (f *fleet) link(from, to string) *rand.Rand {
	key := [2]string{from, to}
	if f.links[key] == nil {
		f.links[key] = newRandom(from + " " + to)
	}
	return f.links[key]
}

// newRandom returns draws that depend on name alone.
func newRandom(name string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return rand.New(rand.NewPCG(1, h.Sum64()))
}

// start starts gateway i with the first listed gateways in its list from the store.
func (f *fleet) start(i int, life uint64, listed int, change func(*member.Entry)) *node {
	entry := newEntry(i, life)
	if change != nil {
		change(&entry)
	}
	n := &node{fleet: f, entry: entry, table: member.NewTable(entry)}
	n.poison = poison.NewTable(func(c poison.Change) {
		if c.Cause != poison.CauseGossip {
			n.beater.SendSoon()
		}
	})
	n.balancer = balance.New(balance.Config{OtherLoad: n.table.InFlight, Random: newRandom(entry.Name).Float64, OnAdvisory: func() { n.beater.SendSoon() }})
	n.balancer.Update(advisingEndpoint)
	n.conn = &conn{node: n, addr: peerAddr(i), queue: make(chan []byte, 1<<12), done: make(chan struct{})}
	var known []member.Entry
	for j := range listed {
		known = append(known, newEntry(j, 1))
	}
	if listed > 0 {
		n.table.SetListed(known)
	}
	ctx, end := context.WithCancel(f.ctx)
	n.cancel = end
	n.beater = member.NewHeartbeater(n.conn, n.table, member.Handlers{
		NextHeartbeat: n.describe,
		AfterRound: func(dead []string) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.lost = append(n.lost, dead...)
		},
		OnHeartbeat: func() {},
		OnPoison:    n.handlePoison,
		OnAdvice:    n.handleAdvice,
		OnSent:      n.countSent,
		OnNotice:    func(member.Notice) {},
		FetchRoll:   n.fetchRoll,
		Log:         log.New(io.Discard),
	})
	f.mu.Lock()
	f.gateways[peerAddr(i)] = n
	f.mu.Unlock()
	go func() {
		time.Sleep(time.Duration(i*37%200) * time.Millisecond) // staggers the gateways' heartbeats
		n.beater.Run(ctx)
	}()
	return n
}

// countSent adds up the traffic that the Heartbeater reports.
func (n *node) countSent(_ member.Kind, bytes, gateways int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.countedBytes += bytes * gateways
}

func (n *node) describe() member.Heartbeat {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := member.Heartbeat{Entry: n.entry, Ready: true, Copies: map[string]mirror.Version{"config": {Revision: n.copies, Digest: uint64(n.copies)}}}
	b.SetEndpoints(n.inFlight, n.suspects)
	b.Demand, b.Weight = n.demand, n.weight
	now := time.Now()
	b.Shortages = n.shortages(now)
	records := n.poison.Gossip(n.table.IsRelay(), now)
	b.Poison, b.PoisonParts = poison.Pack(records), poison.PackParts(records)
	b.Advice = advisory.Encode(n.balancer.Advisories(n.table.IsRelay(), now), now)
	return b
}

// handleAdvice records advice from another gateway; a relay forwards it.
func (n *node) handleAdvice(told []member.Advice) {
	now := time.Now()
	if len(n.balancer.MergeAdvisories(advisory.Decode(told, now), now)) > 0 && n.table.IsRelay() {
		n.beater.SendSoon()
	}
}

// handlePoison records reports from another gateway; a relay forwards them.
func (n *node) handlePoison(requests, parts []byte) {
	records := append(poison.Unpack(requests), poison.UnpackParts(parts)...)
	if n.poison.Merge(records, time.Now()) && n.table.IsRelay() {
		n.beater.SendSoon()
	}
}

func (n *node) setLoad(inFlight map[roster.Incarnation]int, suspects ...roster.Incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inFlight, n.suspects = inFlight, suspects
}

// fetchRoll calls the service as the RPC does, over a network that may be partitioned.
func (n *node) fetchRoll(ctx context.Context, addr string) ([]member.Member, error) {
	n.fleet.mu.Lock()
	peer := n.fleet.gateways[addr]
	cut := peer == nil || (n.fleet.blocked != nil && (n.fleet.blocked(n.entry.Name, peer.entry.Name) || n.fleet.blocked(peer.entry.Name, n.entry.Name)))
	n.fleet.mu.Unlock()
	time.Sleep(4 * time.Millisecond)
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var reply member.RollReply
	err := member.NewRollService(peer.table).Roll(member.RollRequest{Gateway: n.entry.Name}, &reply)
	return reply.Members, err
}

// kill ends gateway i abruptly.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	n := f.gateways[peerAddr(i)]
	delete(f.gateways, peerAddr(i))
	f.mu.Unlock()
	f.isolate(n)
	n.cancel()
}

// isolate drops what n still sends.
func (f *fleet) isolate(n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, name := f.blocked, n.entry.Name
	dead := n
	f.blocked = func(from, to string) bool {
		gone := from == name && f.gateways[dead.entry.Peer] == nil
		return gone || (before != nil && before(from, to))
	}
}

// runFleet runs f with n gateways that started simultaneously and have exchanged heartbeats for
// three seconds.
func runFleet(t *testing.T, n int, f func(f *fleet, nodes []*node)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &fleet{WithT: NewWithT(t), ctx: ctx, links: map[[2]string]*rand.Rand{},
			gateways: map[string]*node{}, sent: map[string]traffic{}}
		defer func() {
			cancel()
			synctest.Wait()
			time.Sleep(time.Minute)
		}()
		var nodes []*node
		for i := range n {
			nodes = append(nodes, w.start(i, 1, n, nil))
		}
		time.Sleep(3 * time.Second)
		f(w, nodes)
	})
}

// sizeRange returns the smallest and the largest membership size that any of nodes sees.
func sizeRange(nodes []*node) (least, most int) {
	least = 1 << 20
	for _, n := range nodes {
		s := n.table.Size()
		least, most = min(least, s), max(most, s)
	}
	return least, most
}

// believedDead returns how often any of nodes considered a gateway dead, by name, and resets
// the record.
func believedDead(nodes []*node) map[string]int {
	out := map[string]int{}
	for _, n := range nodes {
		n.mu.Lock()
		for _, name := range n.lost {
			out[name]++
		}
		n.lost = nil
		n.mu.Unlock()
	}
	return out
}

var e1 = roster.Incarnation{ID: "e1", Born: 5}

func TestAllOfAFleetKnowEachOtherSoonAfterAStartOfAll(t *testing.T) {
	for _, size := range []int{6, 12, 13, 40, 60} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, func(f *fleet, nodes []*node) {
				least, most := sizeRange(nodes)
				f.Expect(least).To(Equal(size))
				f.Expect(most).To(Equal(size))
			})
		})
	}
}

// At a datagram loss of 5% no gateway was considered dead in a full mesh, with five heartbeats
// per second and a tolerance of four consecutive losses. Relays must not do worse.
func TestNobodyIsBelievedDeadForLostDatagrams(t *testing.T) {
	runFleet(t, 40, func(f *fleet, nodes []*node) {
		believedDead(nodes)
		f.mu.Lock()
		f.loss = 0.05
		f.mu.Unlock()
		time.Sleep(30 * time.Second)
		f.Expect(believedDead(nodes)).To(BeEmpty())
	})
}

func TestADeadGatewayIsKnownByAllWithinABoundedTime(t *testing.T) {
	for _, c := range []struct {
		name string
		dead []int
		// within is AliveTime, one heartbeat interval for the gateway that heard it last, and
		// one more for each hop through relays.
		within time.Duration
	}{
		{"a non-relay", []int{33}, 1500 * time.Millisecond},
		{"a relay", []int{0}, 1500 * time.Millisecond},
		{"both relays of a zone", []int{0, 5}, 2700 * time.Millisecond},
		{"a whole zone", []int{0, 5, 10, 15, 20, 25, 30, 35}, 2700 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, 40, func(f *fleet, nodes []*node) {
				var left []*node
				dead := map[string]bool{}
				for _, i := range c.dead {
					f.kill(i)
					dead[gatewayName(i)] = true
				}
				for _, n := range nodes {
					if !dead[n.entry.Name] {
						left = append(left, n)
					}
				}
				time.Sleep(c.within)
				least, most := sizeRange(left)
				f.Expect(most).To(Equal(len(left)))
				f.Expect(least).To(Equal(len(left)), "live gateways are not considered dead")
				time.Sleep(3 * time.Second)
				for name := range believedDead(left) {
					f.Expect(dead).To(HaveKey(name))
				}
			})
		})
	}
}

// Each gateway's in-flight requests at an endpoint reach all others and are counted once,
// whether they arrive directly, through one relay or through two.
func TestLoadsAreKnownByAllOnce(t *testing.T) {
	for _, size := range []int{6, 40} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, func(f *fleet, nodes []*node) {
				for i, n := range nodes {
					n.setLoad(map[roster.Incarnation]int{e1: i%5 + 1, {ID: n.entry.Name}: 7})
				}
				all := 0
				for i := range size {
					all += i%5 + 1
				}
				time.Sleep(1500 * time.Millisecond)
				for i, n := range nodes {
					f.Expect(n.table.InFlight(e1)).To(Equal(all-i%5-1), n.entry.Name)
					f.Expect(n.table.InFlight(roster.Incarnation{ID: n.entry.Name})).To(BeZero(), "own requests are excluded")
					f.Expect(n.table.InFlight(roster.Incarnation{ID: nodes[(i+1)%size].entry.Name})).To(Equal(7))
					f.Expect(n.table.InFlight(roster.Incarnation{ID: "e1", Born: 6})).To(BeZero(), "another incarnation")
				}
				for _, n := range nodes {
					n.setLoad(nil)
				}
				nodes[size-1].setLoad(nil, e1)
				time.Sleep(1500 * time.Millisecond)
				for i, n := range nodes {
					f.Expect(n.table.InFlight(e1)).To(BeZero())
					f.Expect(n.table.Suspected(e1)).To(Equal(i != size-1), n.entry.Name)
				}
			})
		})
	}
}

// A relay with a one-way link receives nothing but keeps sending digests, which are empty. If
// these were used, all other gateways of its zone would appear dead and all endpoints idle.
func TestARelayThatHearsNobodyMisleadsNobody(t *testing.T) {
	runFleet(t, 40, func(f *fleet, nodes []*node) {
		for _, n := range nodes {
			n.setLoad(map[roster.Incarnation]int{e1: 1})
		}
		time.Sleep(1500 * time.Millisecond)
		believedDead(nodes)
		f.mu.Lock()
		f.blocked = func(_, to string) bool { return to == gatewayName(0) }
		f.mu.Unlock()
		time.Sleep(4 * time.Second)
		for _, n := range nodes[1:] {
			f.Expect(n.table.Size()).To(Equal(40), n.entry.Name)
			f.Expect(n.table.InFlight(e1)).To(Equal(39), n.entry.Name)
		}
		f.Expect(believedDead(nodes[1:])).To(BeEmpty())
	})
}

// A partitioned zone keeps its own membership and is visible to all gateways again soon after
// the partition ends.
func TestAZoneThatIsCutOffComesBack(t *testing.T) {
	zoneOf := func(name string) byte { return (name[3] - '0') % zones }
	runFleet(t, 40, func(f *fleet, nodes []*node) {
		f.mu.Lock()
		f.blocked = func(from, to string) bool { return (zoneOf(from) == 0) != (zoneOf(to) == 0) }
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		f.Expect(nodes[0].table.Size()).To(Equal(8))
		f.Expect(nodes[1].table.Size()).To(Equal(32))
		f.mu.Lock()
		f.blocked = nil
		f.mu.Unlock()
		time.Sleep(2500 * time.Millisecond)
		least, _ := sizeRange(nodes)
		f.Expect(least).To(Equal(40))
	})
}

// Gateways that were killed together restart while the store is unavailable, so they have no
// list of gateways. The live gateways' probes must reach them.
func TestWhoStartsWithoutTheStoreIsFound(t *testing.T) {
	runFleet(t, 40, func(f *fleet, nodes []*node) {
		var all []*node
		for i, n := range nodes {
			if i%5 != 0 && i%3 != 0 {
				all = append(all, n)
				continue
			}
			f.kill(i)
		}
		time.Sleep(4 * time.Second)
		f.mu.Lock()
		f.blocked = nil
		f.mu.Unlock()
		for i := range nodes {
			if i%5 == 0 || i%3 == 0 {
				all = append(all, f.start(i, 2, 0, nil))
			}
		}
		time.Sleep(4 * time.Second)
		least, most := sizeRange(all)
		f.Expect(least).To(Equal(40))
		f.Expect(most).To(Equal(40))
	})
}

// During an upgrade a gateway of the previous release sends to all others and hears only those
// that send to it directly.
func TestAnOlderProgramIsHeardAndHearsAll(t *testing.T) {
	runFleet(t, 20, func(f *fleet, nodes []*node) {
		f.kill(7)
		f.mu.Lock()
		f.blocked = nil
		f.mu.Unlock()
		older := f.start(7, 2, 20, func(e *member.Entry) { e.Relays = false })
		nodes[7] = older
		for _, n := range nodes {
			n.setLoad(map[roster.Incarnation]int{e1: 1})
		}
		time.Sleep(3 * time.Second)
		for _, n := range nodes {
			f.Expect(n.table.Size()).To(Equal(20), n.entry.Name)
			f.Expect(n.table.InFlight(e1)).To(Equal(19), n.entry.Name)
		}
	})
}

// A change of a relay's copy is announced to its zone and to the relays of other zones;
// gateways that are not relays take copies from the relays of their zone.
func TestRelaysTellOfTheirCopies(t *testing.T) {
	runFleet(t, 40, func(f *fleet, nodes []*node) {
		for i := range 5 {
			nodes[i].mu.Lock()
			nodes[i].copies = 9
			nodes[i].mu.Unlock()
		}
		time.Sleep(500 * time.Millisecond)
		for i, n := range nodes[5:] {
			f.Expect(n.table.PeersWithNewer("config", newerThan(mirror.Version{Revision: 5, Digest: 5}))).To(ContainElement(peerAddr((i+5)%5)), n.entry.Name)
		}
	})
}

// In a full mesh with five heartbeats per second each of 149 gateways sent 444 KB/s. The
// traffic of a non-relay must not grow with the fleet.
func TestWhatAGatewaySendsDoesNotGrowWithTheFleet(t *testing.T) {
	perSecond := map[int]traffic{}
	busiest := map[int]int{}
	for _, size := range []int{20, 60} {
		runFleet(t, size, func(f *fleet, nodes []*node) {
			for _, n := range nodes {
				n.setLoad(map[roster.Incarnation]int{e1: 1, {ID: n.entry.Name}: 2})
			}
			time.Sleep(3 * time.Second)
			f.mu.Lock()
			f.sent = map[string]traffic{}
			f.mu.Unlock()
			time.Sleep(10 * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			last := f.sent[gatewayName(size-1)]
			nodes[size-1].mu.Lock()
			f.Expect(nodes[size-1].countedBytes).To(BeNumerically(">", last.bytes), "all sent bytes are counted")
			nodes[size-1].mu.Unlock()
			perSecond[size] = traffic{datagrams: last.datagrams / 10, bytes: last.bytes / 10}
			for _, s := range f.sent {
				busiest[size] = max(busiest[size], s.bytes/10)
			}
		})
	}
	g := NewWithT(t)
	t.Log("non-relay, per second:", perSecond, "busiest gateway, bytes per second:", busiest)
	g.Expect(perSecond[60].datagrams).To(BeNumerically("~", perSecond[20].datagrams, 2))
	g.Expect(perSecond[60].bytes).To(BeNumerically("<", perSecond[20].bytes*11/10))
	g.Expect(perSecond[60].bytes).To(BeNumerically("<", 4000))
}
