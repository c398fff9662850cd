package replica_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/replica"
)

const ms = time.Millisecond

var (
	watching    = replica.Status{Watching: true}
	storeLost   = replica.Status{Watching: true, StoreLost: true}
	notWatching replica.Status
)

func TestPeerFetchDelayGrowsWithTheWatchers(t *testing.T) {
	for name, c := range map[string]struct {
		status   replica.Status
		watchers int
		want     time.Duration
	}{
		"few watchers, lower bound":      {watching, 2, 250 * ms},
		"just above the lower bound":     {watching, 9, 270 * ms},
		"proportional to the watchers":   {watching, 20, 600 * ms},
		"many watchers, upper bound":     {watching, 50, time.Second},
		"not watching":                   {notWatching, 20, 0},
		"watching, store not responding": {storeLost, 20, 0},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(replica.PeerFetchDelay(c.status, c.watchers)).To(Equal(c.want))
		})
	}
}

func TestWhereANewerCopyIsFetchedFrom(t *testing.T) {
	g := NewWithT(t)
	g.Expect(replica.ShouldFetchFromPeer(250*ms, time.Hour, 250*ms)).To(BeTrue())
	g.Expect(replica.ShouldFetchFromPeer(250*ms-1, time.Hour, 250*ms)).To(BeFalse(), "delay not over")
	g.Expect(replica.ShouldFetchFromPeer(time.Second, 300*ms, 0)).To(BeTrue())
	g.Expect(replica.ShouldFetchFromPeer(time.Second, 300*ms-1, 0)).To(BeFalse(), "previous fetch may still succeed")
	g.Expect(replica.ShouldFetchFromStore(1500 * ms)).To(BeFalse())
	g.Expect(replica.ShouldFetchFromStore(1500*ms + 1)).To(BeTrue())
}

func TestWhichCopiesAreSyncedFromTheStore(t *testing.T) {
	g := NewWithT(t)
	g.Expect(replica.SyncsFromStore(true, true, 0)).To(BeTrue())
	g.Expect(replica.SyncsFromStore(false, true, time.Hour)).To(BeFalse())
	g.Expect(replica.SyncsFromStore(false, false, 1200*ms)).To(BeFalse())
	g.Expect(replica.SyncsFromStore(false, false, 1200*ms+1)).To(BeTrue())
}

func TestWhoReadsTheListOfGatewaysAtAStart(t *testing.T) {
	g := NewWithT(t)
	g.Expect(replica.ShouldListGateways(0, 0, false)).To(BeTrue(), "at once, except at the first start of all")
	g.Expect(replica.ShouldListGateways(0, 0, true)).To(BeTrue())
	g.Expect(replica.ShouldListGateways(400*ms, 399*ms, false)).To(BeFalse())
	g.Expect(replica.ShouldListGateways(400*ms, 400*ms, false)).To(BeTrue())
	g.Expect(replica.ShouldListGateways(400*ms, time.Hour, true)).To(BeFalse(), "others are known")
	g.Expect(replica.FirstListDelay(0)).To(BeZero())
	g.Expect(replica.FirstListDelay(0.999)).To(BeNumerically("<", time.Second))
}

// listCalls returns how many of n gateways read the list of gateways at the first start of all, in
// the mean, if the first one that does contacts the others within contact.
func listCalls(n int, contact time.Duration) float64 {
	const runs = 200
	r := rand.New(rand.NewPCG(1, 2))
	calls := 0
	for range runs {
		delays := make([]time.Duration, n)
		for i := range delays {
			delays[i] = replica.FirstListDelay(r.Float64())
		}
		first := slices.Min(delays)
		for _, d := range delays {
			if d < first+contact {
				calls++
			}
		}
	}
	return float64(calls) / runs
}

// Guards against calls of the store that grow faster than the fleet. Each gateway used to read the
// list of gateways, which has a page for each 500 of them, when the whole system was started.
func TestFewGatewaysReadTheListAtTheFirstStart(t *testing.T) {
	g := NewWithT(t)
	contact := 250 * ms // a heartbeat, and the way
	few, many := listCalls(140, contact), listCalls(560, contact)
	g.Expect(many).To(BeNumerically("<", 560/10))
	g.Expect(many).To(BeNumerically("<", 3*few), "four times the gateways")
}

func TestPollTimeoutGrowsWithTheWatchers(t *testing.T) {
	for watchers, want := range map[int]time.Duration{0: 2500 * ms, 2: 2500 * ms, 3: 3 * time.Second, 10: 10 * time.Second, 40: 10 * time.Second} {
		NewWithT(t).Expect(replica.PollTimeout(watchers)).To(Equal(want))
	}
}

func TestAWatchOfTheConfigurationEndsWithinTheContactTime(t *testing.T) {
	g := NewWithT(t)
	g.Expect(replica.ConfigPollTimeout(2, 3*time.Second)).To(Equal(1800 * ms))
	g.Expect(replica.ConfigPollTimeout(40, 4*time.Second)).To(Equal(2400 * ms))
	g.Expect(replica.ConfigPollTimeout(2, 20*time.Second)).To(Equal(2500*ms), "never longer than for other kinds")
	g.Expect(replica.ConfigPollTimeout(6, 0)).To(Equal(6*time.Second), "contact time unknown")
}

func TestWhenTheStoreCountsAsLost(t *testing.T) {
	for name, c := range map[string]struct {
		status     replica.Status
		others     int
		othersLost bool
		want       bool
	}{
		"it answers this gateway":                    {watching, 1, true, false},
		"it answers neither this gateway nor others": {storeLost, 1, true, true},
		"it answers another gateway":                 {storeLost, 1, false, false},
		"no other gateway watches":                   {storeLost, 0, false, true},
		"no gateway watches":                         {notWatching, 0, false, false},
		"others watch and are answered":              {notWatching, 2, false, false},
		"others watch and none is answered":          {notWatching, 2, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(replica.StoreLost(c.status, c.others, c.othersLost)).To(Equal(c.want))
		})
	}
}
