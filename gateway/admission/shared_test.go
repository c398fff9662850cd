package admission_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/admission"
	"github.com/silverdeck/silverdeck/member"
)

func keyOf(account string) uint32 { return uint32(xxhash.Sum64String(account)) }

func TestAnAccountsShareFollowsFromWhatAllGatewaysReceive(t *testing.T) {
	for name, c := range map[string]struct {
		own, others member.AccountRate
		covers      int
		want        float64
	}{
		"as usual":                             {rate(1, 1, 1), rate(69, 69, 69), 69, 1},
		"up to twice as many":                  {rate(2, 1, 1), rate(139, 69, 69), 69, 1},
		"tenfold":                              {rate(10, 1, 1), rate(690, 69, 69), 69, 281.0 / 1400},
		"a few more of a small account":        {rate(1.5, 0, 1), rate(0, 0, 69), 69, 1},
		"here alone, where it always is":       {rate(50, 50, 1), rate(0, 0, 69), 69, 1},
		"only who has many tells, as usual":    {rate(0, 1, 1), rate(4, 1, 1), 69, 1},
		"only who has many tells, and it's so": {rate(100, 1, 1), rate(400, 1, 1), 69, 281.0 / 1000},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(admission.FleetAccountShare(c.own, c.others, c.covers)).To(BeNumerically("~", c.want, 1e-6))
		})
	}
}

func rate(recent, usual float64, gateways int) member.AccountRate {
	return member.AccountRate{Recent: recent, Usual: usual, Gateways: gateways}
}

// gateInShortage returns a gate of one of 69 gateways with room for some 4 requests each, a minute after
// a shortage has begun.
func gateInShortage(t *testing.T, news *admission.News, onDecision func(admission.Decision)) *admission.Gate {
	t.Helper()
	news.Gateways, news.Known, news.Covers = 68, 68, 68
	news.Demand = admission.Demand{Recent: admission.Slots{360}, Mean: 360}
	gate := admission.New(admission.Config{
		Supply: func(string, time.Time) admission.Supply { return admission.Supply{Room: 345, Running: 331, Own: 5} },
		News:   func(string, time.Time) admission.News { return *news },
		Random: func() float64 { return 0 }, OnDecision: onDecision,
	})
	for i := range 300 { // 15 accounts with a request every 3 s each
		send(gate, fmt.Sprint(i%15))
		time.Sleep(200 * time.Millisecond)
	}
	return gate
}

// shortRequest returns a request that does not wait.
func shortRequest(account string) *admission.Request {
	return &admission.Request{Service: "s", Account: account, SlotTime: time.Second, Target: 400 * time.Millisecond, Left: 10 * time.Second}
}

// send sends a request that ends at once and returns the cause of its refusal.
func send(gate *admission.Gate, account string) admission.Cause {
	grant, err := gate.TryAcquire(shortRequest(account), time.Now())
	if err != nil {
		return admission.AsRefused(err).Cause
	}
	grant.Release("", time.Now())
	return ""
}

// Guards against a burst of an account that no gateway sees since each gets few of its requests.
func TestABurstThatOthersTellOfIsHeldBackHere(t *testing.T) {
	for name, c := range map[string]struct {
		age    time.Duration
		burst  float64
		refuse bool
	}{
		"tenfold":          {0, 10, true},
		"usual":            {0, 1, false},
		"tenfold long ago": {3 * time.Second, 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var news admission.News
				gate := gateInShortage(t, &news, nil)
				for range 3 { // all places but one are taken
					_, err := gate.TryAcquire(shortRequest("0"), time.Now())
					g.Expect(err).NotTo(HaveOccurred())
				}
				news.Age = c.age
				news.Accounts = map[uint32]member.AccountRate{keyOf("1"): rate(68*c.burst/3, 68.0/3, 68), keyOf("2"): rate(68.0/3, 68.0/3, 68)}
				time.Sleep(100 * time.Millisecond)
				refused := 0
				for range 3 {
					if send(gate, "1") == admission.CauseAccount {
						refused++
					}
					g.Expect(send(gate, "2")).To(BeEmpty())
				}
				g.Expect(refused >= 2).To(Equal(c.refuse), "%d refused", refused)
			})
		})
	}
}

func TestAGatewayTellsOfTheBusiestAccountsDuringAShortage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		news := admission.News{Accounts: map[uint32]member.AccountRate{}}
		for i := range 10 { // the busiest of the others, of which this gateway knows only the second
			news.Accounts[keyOf(fmt.Sprint("far", i))] = rate(float64(100-i), 5, 68)
		}
		gate := gateInShortage(t, &news, nil)
		for i := range 20 {
			for range 1 + i {
				send(gate, fmt.Sprint("near", i))
			}
		}
		send(gate, "far1")
		told := gate.Shortages(time.Now())
		g.Expect(told).To(HaveLen(1))
		g.Expect(told[0].Service).To(Equal("s"))
		var want []uint32
		for i := range 8 {
			want = append(want, keyOf(fmt.Sprint("far", i)))
		}
		for i := range 8 {
			want = append(want, keyOf(fmt.Sprint("near", 19-i)))
		}
		var accounts []uint32
		for _, r := range told[0].Accounts.Unpack() {
			accounts = append(accounts, r.Account)
			g.Expect(r.Gateways).To(Equal(1))
			g.Expect(r.Recent > 0).To(Equal(r.Account != keyOf("far0") && !isFar(r.Account, 2, 8)), "rate")
		}
		g.Expect(accounts).To(ConsistOf(want))
		news = admission.News{}
		time.Sleep(10 * time.Second)
		gate.Refresh(time.Now())
		g.Expect(gate.Shortages(time.Now())).To(BeEmpty(), "the shortage is over")
	})
}

func isFar(account uint32, from, to int) bool {
	for i := from; i < to; i++ {
		if account == keyOf(fmt.Sprint("far", i)) {
			return true
		}
	}
	return false
}
