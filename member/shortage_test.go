package member_test

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/member"
)

// shortages returns what the gateway tells. The caller must hold n.mu.
func (n *node) shortages(now time.Time) []member.Shortage {
	if n.accounts == nil {
		return nil
	}
	x := member.Shortage{Service: "s", Accounts: member.PackAccounts(n.accounts)}
	step := func(at time.Time) int64 { return at.UnixNano() / int64(member.ToldStep) }
	if i := step(n.dueAt) - step(now) + member.ToldPast; i >= 0 && i < member.ToldSteps {
		x.Told = append(make([]int, i), 1)
	}
	return []member.Shortage{x}
}

// setShortage makes a gateway tell of service s.
func (n *node) setShortage(accounts []member.AccountRate, dueAt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.accounts, n.dueAt = accounts, dueAt
}

func TestShortagesAreKnownByAllOnce(t *testing.T) {
	for _, size := range []int{6, 40} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, func(f *fleet, nodes []*node) {
				dueAt := time.Now().Add(2 * time.Second)
				for i, n := range nodes {
					accounts := []member.AccountRate{{Account: 7, Recent: 2.5, Usual: 0.25, Gateways: 1}}
					if i == 0 {
						accounts = append(accounts, member.AccountRate{Account: 8, Recent: 1, Gateways: 1})
					}
					n.setShortage(accounts, dueAt)
				}
				time.Sleep(1500 * time.Millisecond)
				for i, n := range nodes {
					x := n.table.Shortage("s", time.Now())
					others := float64(size - 1)
					f.Expect(x.Accounts[7].Recent).To(BeNumerically("~", 2.5*others, 1e-6), "its own is excluded")
					f.Expect(x.Accounts[7].Usual).To(BeNumerically("~", 0.25*others, 1e-6))
					f.Expect(x.Accounts[7].Gateways).To(Equal(size - 1))
					if i > 0 {
						f.Expect(x.Accounts[8]).To(Equal(member.AccountRate{Account: 8, Recent: 1, Gateways: 1}))
					}
					told := 0
					for _, n := range x.Told {
						told += n
					}
					f.Expect(told).To(Equal(size - 1))
					due := member.ToldPast + int(time.Until(dueAt)/member.ToldStep)
					f.Expect(x.Told[due-1]+x.Told[due]+x.Told[min(due+1, len(x.Told)-1)]).To(BeNumerically(">=", size-1), "within a step")
					f.Expect(n.table.Shortage("other", time.Now()).Accounts).To(BeEmpty())
				}
			})
		})
	}
}

func TestShortagesOfWhoIsLostAreForgotten(t *testing.T) {
	runFleet(t, 40, func(f *fleet, nodes []*node) {
		for _, n := range nodes {
			n.setShortage([]member.AccountRate{{Account: 7, Recent: 1, Gateways: 1}}, time.Time{})
		}
		time.Sleep(1500 * time.Millisecond)
		for i := range 10 {
			f.kill(i)
		}
		time.Sleep(4 * time.Second)
		for _, n := range nodes[10:] {
			f.Expect(n.table.Shortage("s", time.Now()).Accounts[7].Gateways).To(Equal(29), n.entry.Name)
		}
	})
}

func TestAShortageTakesFewBytes(t *testing.T) {
	g := NewWithT(t)
	x := member.Shortage{Service: "service-name"}
	var rates []member.AccountRate
	for i := range member.MaxAccounts {
		rates = append(rates, member.AccountRate{Account: math.MaxUint32 - uint32(i), Recent: 25, Usual: 2.5, Gateways: 1})
	}
	x.Accounts = member.PackAccounts(rates)
	for range member.ToldSteps {
		x.Told = append(x.Told, 10)
	}
	data, err := json.Marshal(x)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<=", 300), string(data))
	g.Expect(x.Accounts.Unpack()).To(Equal(rates))
}

func FuzzAccounts(f *testing.F) {
	f.Add([]byte(member.PackAccounts([]member.AccountRate{{Account: 7, Recent: 2, Usual: 0.5, Gateways: 3}})))
	f.Add([]byte("\x00\x00\x00\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"))
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		rates := member.PackedAccounts(data).Unpack()
		g.Expect(len(rates)).To(BeNumerically("<=", 2*member.MaxAccounts))
		g.Expect(member.PackAccounts(rates).Unpack()).To(Equal(rates))
	})
}

// Guards against heartbeats of other versions or with invalid values.
func TestInvalidShortagesAreBounded(t *testing.T) {
	g := NewWithT(t)
	table := member.NewTable(member.Entry{Name: "self"})
	told := make([]int, 100)
	for i := range told {
		told[i] = -5
	}
	told[4] = math.MaxInt
	b := newHeartbeat("x", 1, 1, nil)
	for range 100 {
		b.Shortages = append(b.Shortages, member.Shortage{Service: "s", Accounts: []byte{1, 2, 3}, Told: told})
	}
	now := time.Unix(1_000_000, 0)
	table.HandleHeartbeat(b, now)
	x := table.Shortage("s", now)
	g.Expect(x.Accounts).To(BeEmpty())
	g.Expect(x.Told).To(HaveLen(5))
	g.Expect(x.Told[4]).To(BeNumerically(">", 0))
	g.Expect(x.Told[:4]).To(HaveEach(0))
}
