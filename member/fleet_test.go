package member_test

import (
	"context"
	"fmt"
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

// fleet is gateways on virtual time, over a network in memory that delays datagrams by a
// few milliseconds and loses some.
type fleet struct {
	*WithT
	ctx context.Context

	mu       sync.Mutex
	random   *rand.Rand
	loss     float64
	gateways map[string]*node
	// cut are pairs of gateways, by name, where the first does not reach the second.
	cut func(from, to string) bool
	// sent counts datagrams and bytes by the sender's name.
	sent map[string]traffic
}

// zones is how many availability zones a fleet has.
const zones = 5

type traffic struct {
	datagrams, bytes int
}

// node is one life of a gateway.
type node struct {
	fleet  *fleet
	entry  member.Entry
	table  *member.Table
	beater *member.Beater
	end    context.CancelFunc
	conn   *conn

	mu       sync.Mutex
	inFlight map[roster.Life]int
	suspects []roster.Life
	copies   int64
	// poison is what it knows of requests under which endpoints ended.
	poison *poison.Table
	// balancer is what it knows of an endpoint.
	balancer *balance.Balancer
	// told is how many bytes it has sent by its own count.
	told int
	// lost are all that were believed dead, in order.
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

// peerOf returns the address of gateway i.
func peerOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

// nameOf returns the name of gateway i; its zone follows from i.
func nameOf(i int) string { return fmt.Sprintf("g%03d", i) }

func entryOf(i int, life uint64) member.Entry {
	zone := string(rune('a' + i%zones))
	return member.Entry{Name: nameOf(i), Life: life, Peer: peerOf(i), Callers: peerOf(i), Zone: zone, Region: zone, Relays: true}
}

// deliver carries a datagram.
func (f *fleet) deliver(from, to string, p []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sent[from]
	f.sent[from] = traffic{datagrams: s.datagrams + 1, bytes: s.bytes + len(p)}
	n := f.gateways[to]
	if n == nil || f.random.Float64() < f.loss || (f.cut != nil && f.cut(from, n.entry.Name)) {
		return
	}
	data := append([]byte{}, p...)
	delay := time.Millisecond + time.Duration(f.random.IntN(2000))*time.Microsecond
	time.AfterFunc(delay, func() {
		select {
		case n.conn.queue <- data:
		default: // the socket's buffer is full
		}
	})
}

// start starts gateway i, which knows the gateways that the store lists.
func (f *fleet) start(i int, life uint64, listed int, change func(*member.Entry)) *node {
	entry := entryOf(i, life)
	if change != nil {
		change(&entry)
	}
	n := &node{fleet: f, entry: entry, table: member.NewTable(entry)}
	n.poison = poison.NewTable(func(c poison.Change) {
		if c.Cause != poison.CauseTold {
			n.beater.SendSoon()
		}
	})
	n.balancer = balance.New(balance.Config{OtherLoad: n.table.InFlight, Random: rand.Float64, OnAdvisory: func() { n.beater.SendSoon() }})
	n.balancer.Update(advised)
	n.conn = &conn{node: n, addr: peerOf(i), queue: make(chan []byte, 1<<12), done: make(chan struct{})}
	var known []member.Entry
	for j := range listed {
		known = append(known, entryOf(j, 1))
	}
	if listed > 0 {
		n.table.Know(known)
	}
	ctx, end := context.WithCancel(f.ctx)
	n.end = end
	n.beater = member.NewBeater(n.conn, n.table, member.Handlers{
		Describe: n.describe,
		After: func(dead []string) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.lost = append(n.lost, dead...)
		},
		Heard:   func() {},
		Poison:  n.hearPoison,
		Advice:  n.hearAdvice,
		Sent:    n.counted,
		Notice:  func(member.Notice) {},
		AskRoll: n.askRoll,
		Log:     log.New(io.Discard),
	})
	f.mu.Lock()
	f.gateways[peerOf(i)] = n
	f.mu.Unlock()
	go func() {
		time.Sleep(time.Duration(i*37%200) * time.Millisecond) // they don't start in step
		n.beater.Run(ctx)
	}()
	return n
}

// counted notes what the gateway itself counts of what it sends.
func (n *node) counted(_ member.Kind, bytes, gateways int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.told += bytes * gateways
}

func (n *node) describe() member.Heartbeat {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := member.Heartbeat{Entry: n.entry, Ready: true, Copies: map[string]mirror.Version{"config": {Revision: n.copies, Digest: uint64(n.copies)}}}
	b.SetEndpoints(n.inFlight, n.suspects)
	now := time.Now()
	b.Poison = poison.Pack(n.poison.News(n.table.IsRelay(), now))
	b.Advice = advisory.Pack(n.balancer.Advisories(n.table.IsRelay(), now), now)
	return b
}

// hearAdvice takes in what another gateway tells of endpoints, and as a relay tells it on.
func (n *node) hearAdvice(told []member.Advice) {
	now := time.Now()
	if len(n.balancer.MergeAdvisories(advisory.Unpack(told, now), now)) > 0 && n.table.IsRelay() {
		n.beater.SendSoon()
	}
}

// hearPoison takes in what another gateway tells, and as a relay tells it on.
func (n *node) hearPoison(data []byte) {
	if n.poison.Take(poison.Unpack(data), time.Now()) && n.table.IsRelay() {
		n.beater.SendSoon()
	}
}

func (n *node) set(inFlight map[roster.Life]int, suspects ...roster.Life) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inFlight, n.suspects = inFlight, suspects
}

// askRoll asks as the service does, over a network that may be cut.
func (n *node) askRoll(ctx context.Context, addr string) ([]member.Member, error) {
	n.fleet.mu.Lock()
	peer := n.fleet.gateways[addr]
	cut := peer == nil || (n.fleet.cut != nil && (n.fleet.cut(n.entry.Name, peer.entry.Name) || n.fleet.cut(peer.entry.Name, n.entry.Name)))
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

// kill ends gateway i without a word.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	n := f.gateways[peerOf(i)]
	delete(f.gateways, peerOf(i))
	f.mu.Unlock()
	f.cutOff(n)
	n.end()
}

// cutOff drops what n still sends.
func (f *fleet) cutOff(n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, name := f.cut, n.entry.Name
	dead := n
	f.cut = func(from, to string) bool {
		gone := from == name && f.gateways[dead.entry.Peer] == nil
		return gone || (before != nil && before(from, to))
	}
}

// playFleet runs f with n gateways, which have all started at once and heard each other for
// three seconds.
func playFleet(t *testing.T, n int, f func(f *fleet, nodes []*node)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &fleet{WithT: NewWithT(t), ctx: ctx, random: rand.New(rand.NewPCG(1, 2)),
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

// sizes returns the least and the greatest number of gateways that any of nodes believes
// alive.
func sizes(nodes []*node) (least, most int) {
	least = 1 << 20
	for _, n := range nodes {
		s := n.table.Size()
		least, most = min(least, s), max(most, s)
	}
	return least, most
}

// believedDead returns how often any of nodes believed a gateway dead, and forgets it.
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

var e1 = roster.Life{ID: "e1", Born: 5}

func TestAllOfAFleetKnowEachOtherSoonAfterAStartOfAll(t *testing.T) {
	for _, size := range []int{6, 12, 13, 40, 60} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			playFleet(t, size, func(f *fleet, nodes []*node) {
				least, most := sizes(nodes)
				f.Expect(least).To(Equal(size))
				f.Expect(most).To(Equal(size))
			})
		})
	}
}

// Heartbeats from all to all lost one in twenty: with five a second and four that may be
// lost in a row nobody was believed dead. Relays must not be worse.
func TestNobodyIsBelievedDeadForLostDatagrams(t *testing.T) {
	playFleet(t, 40, func(f *fleet, nodes []*node) {
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
		// within is AliveTime, one heartbeat for who heard it last, and for each step by
		// relays one more.
		within time.Duration
	}{
		{"one that is no relay", []int{33}, 1500 * time.Millisecond},
		{"a relay", []int{0}, 1500 * time.Millisecond},
		{"both relays of a zone", []int{0, 5}, 2700 * time.Millisecond},
		{"a whole zone", []int{0, 5, 10, 15, 20, 25, 30, 35}, 2700 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			playFleet(t, 40, func(f *fleet, nodes []*node) {
				var left []*node
				dead := map[string]bool{}
				for _, i := range c.dead {
					f.kill(i)
					dead[nameOf(i)] = true
				}
				for _, n := range nodes {
					if !dead[n.entry.Name] {
						left = append(left, n)
					}
				}
				time.Sleep(c.within)
				least, most := sizes(left)
				f.Expect(most).To(Equal(len(left)))
				f.Expect(least).To(Equal(len(left)), "and no other")
				time.Sleep(3 * time.Second)
				for name := range believedDead(left) {
					f.Expect(dead).To(HaveKey(name))
				}
			})
		})
	}
}

// What gateways have in progress at an endpoint is known to all others, each counted once,
// whether it is told directly, by one relay or by two.
func TestLoadsAreKnownByAllOnce(t *testing.T) {
	for _, size := range []int{6, 40} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			playFleet(t, size, func(f *fleet, nodes []*node) {
				for i, n := range nodes {
					n.set(map[roster.Life]int{e1: i%5 + 1, {ID: n.entry.Name}: 7})
				}
				all := 0
				for i := range size {
					all += i%5 + 1
				}
				time.Sleep(1500 * time.Millisecond)
				for i, n := range nodes {
					f.Expect(n.table.InFlight(e1)).To(Equal(all-i%5-1), n.entry.Name)
					f.Expect(n.table.InFlight(roster.Life{ID: n.entry.Name})).To(BeZero(), "its own")
					f.Expect(n.table.InFlight(roster.Life{ID: nodes[(i+1)%size].entry.Name})).To(Equal(7))
					f.Expect(n.table.InFlight(roster.Life{ID: "e1", Born: 6})).To(BeZero(), "another life")
				}
				for _, n := range nodes {
					n.set(nil)
				}
				nodes[size-1].set(nil, e1)
				time.Sleep(1500 * time.Millisecond)
				for i, n := range nodes {
					f.Expect(n.table.InFlight(e1)).To(BeZero())
					f.Expect(n.table.Suspected(e1)).To(Equal(i != size-1), n.entry.Name)
				}
			})
		})
	}
}

// A relay whose link carries only what it sends hears nobody. It goes on sending digests,
// of nobody: by them all others of its zone would seem dead and all endpoints idle.
func TestARelayThatHearsNobodyMisleadsNobody(t *testing.T) {
	playFleet(t, 40, func(f *fleet, nodes []*node) {
		for _, n := range nodes {
			n.set(map[roster.Life]int{e1: 1})
		}
		time.Sleep(1500 * time.Millisecond)
		believedDead(nodes)
		f.mu.Lock()
		f.cut = func(_, to string) bool { return to == nameOf(0) }
		f.mu.Unlock()
		time.Sleep(4 * time.Second)
		for _, n := range nodes[1:] {
			f.Expect(n.table.Size()).To(Equal(40), n.entry.Name)
			f.Expect(n.table.InFlight(e1)).To(Equal(39), n.entry.Name)
		}
		f.Expect(believedDead(nodes[1:])).To(BeEmpty())
	})
}

// A zone that is cut off keeps what it knows of itself, and is known again to all soon
// after the cut.
func TestAZoneThatIsCutOffComesBack(t *testing.T) {
	zoneOf := func(name string) byte { return (name[3] - '0') % zones }
	playFleet(t, 40, func(f *fleet, nodes []*node) {
		f.mu.Lock()
		f.cut = func(from, to string) bool { return (zoneOf(from) == 0) != (zoneOf(to) == 0) }
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		f.Expect(nodes[0].table.Size()).To(Equal(8))
		f.Expect(nodes[1].table.Size()).To(Equal(32))
		f.mu.Lock()
		f.cut = nil
		f.mu.Unlock()
		time.Sleep(2500 * time.Millisecond)
		least, _ := sizes(nodes)
		f.Expect(least).To(Equal(40))
	})
}

// Gateways that are killed together start again, and the store that lists the others is
// away: they know nobody. Who lives tells them.
func TestWhoStartsWithoutTheStoreIsFound(t *testing.T) {
	playFleet(t, 40, func(f *fleet, nodes []*node) {
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
		f.cut = nil
		f.mu.Unlock()
		for i := range nodes {
			if i%5 == 0 || i%3 == 0 {
				all = append(all, f.start(i, 2, 0, nil))
			}
		}
		time.Sleep(4 * time.Second)
		least, most := sizes(all)
		f.Expect(least).To(Equal(40))
		f.Expect(most).To(Equal(40))
	})
}

// During an upgrade a gateway of the release before lives beside the others: it sends to
// all and hears only who sends to it.
func TestAnOlderProgramIsHeardAndHearsAll(t *testing.T) {
	playFleet(t, 20, func(f *fleet, nodes []*node) {
		f.kill(7)
		f.mu.Lock()
		f.cut = nil
		f.mu.Unlock()
		older := f.start(7, 2, 20, func(e *member.Entry) { e.Relays = false })
		nodes[7] = older
		for _, n := range nodes {
			n.set(map[roster.Life]int{e1: 1})
		}
		time.Sleep(3 * time.Second)
		for _, n := range nodes {
			f.Expect(n.table.Size()).To(Equal(20), n.entry.Name)
			f.Expect(n.table.InFlight(e1)).To(Equal(19), n.entry.Name)
		}
	})
}

// A change of a relay's copy is told to its zone and to the relays of the others; who is no
// relay takes copies from the relays of its zone.
func TestRelaysTellOfTheirCopies(t *testing.T) {
	playFleet(t, 40, func(f *fleet, nodes []*node) {
		for i := range 5 {
			nodes[i].mu.Lock()
			nodes[i].copies = 9
			nodes[i].mu.Unlock()
		}
		time.Sleep(500 * time.Millisecond)
		for i, n := range nodes[5:] {
			f.Expect(n.table.Newer("config", mirror.Version{Revision: 5, Digest: 5})).To(ContainElement(peerOf((i+5)%5)), n.entry.Name)
		}
	})
}

// Each gateway sent each other one five heartbeats a second: at 149 that was 444 KB a
// second of each. What a gateway sends that is no relay does not grow with the fleet.
func TestWhatAGatewaySendsDoesNotGrowWithTheFleet(t *testing.T) {
	perSecond := map[int]traffic{}
	busiest := map[int]int{}
	for _, size := range []int{20, 60} {
		playFleet(t, size, func(f *fleet, nodes []*node) {
			for _, n := range nodes {
				n.set(map[roster.Life]int{e1: 1, {ID: n.entry.Name}: 2})
			}
			time.Sleep(3 * time.Second)
			f.mu.Lock()
			f.sent = map[string]traffic{}
			f.mu.Unlock()
			time.Sleep(10 * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			last := f.sent[nameOf(size-1)]
			nodes[size-1].mu.Lock()
			f.Expect(nodes[size-1].told).To(BeNumerically(">", last.bytes), "all that was sent is counted")
			nodes[size-1].mu.Unlock()
			perSecond[size] = traffic{datagrams: last.datagrams / 10, bytes: last.bytes / 10}
			for _, s := range f.sent {
				busiest[size] = max(busiest[size], s.bytes/10)
			}
		})
	}
	g := NewWithT(t)
	t.Log("of one that is no relay:", perSecond, "bytes a second of the busiest:", busiest)
	g.Expect(perSecond[60].datagrams).To(BeNumerically("~", perSecond[20].datagrams, 2))
	g.Expect(perSecond[60].bytes).To(BeNumerically("<", perSecond[20].bytes*11/10))
	g.Expect(perSecond[60].bytes).To(BeNumerically("<", 4000))
}
