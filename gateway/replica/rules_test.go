package replica_test

import (
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
