package replica_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/replica"
)

const ms = time.Millisecond

var (
	watching  = replica.Status{Watching: true}
	cutOff    = replica.Status{Watching: true, StoreLost: true}
	following replica.Status
)

func TestPatienceGrowsWithThoseThatWatch(t *testing.T) {
	for name, c := range map[string]struct {
		status   replica.Status
		watchers int
		want     time.Duration
	}{
		"a few":                      {watching, 2, 250 * ms},
		"the least ends here":        {watching, 9, 270 * ms},
		"many":                       {watching, 20, 600 * ms},
		"very many":                  {watching, 50, time.Second},
		"not watching":               {following, 20, 0},
		"watching, but not answered": {cutOff, 20, 0},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(replica.Patience(c.status, c.watchers)).To(Equal(c.want))
		})
	}
}

func TestWhoIsAskedForANewerCopy(t *testing.T) {
	g := NewWithT(t)
	g.Expect(replica.AsksPeer(250*ms, time.Hour, 250*ms)).To(BeTrue())
	g.Expect(replica.AsksPeer(250*ms-1, time.Hour, 250*ms)).To(BeFalse(), "patience is not over")
	g.Expect(replica.AsksPeer(time.Second, 300*ms, 0)).To(BeTrue())
	g.Expect(replica.AsksPeer(time.Second, 300*ms-1, 0)).To(BeFalse(), "another may still answer")
	g.Expect(replica.AsksStore(1500 * ms)).To(BeFalse())
	g.Expect(replica.AsksStore(1500*ms + 1)).To(BeTrue())
}

func TestWhoseCopiesTheStoreKeeps(t *testing.T) {
	g := NewWithT(t)
	g.Expect(replica.KeptByStore(true, true, 0)).To(BeTrue())
	g.Expect(replica.KeptByStore(false, true, time.Hour)).To(BeFalse())
	g.Expect(replica.KeptByStore(false, false, 1200*ms)).To(BeFalse())
	g.Expect(replica.KeptByStore(false, false, 1200*ms+1)).To(BeTrue())
}

func TestWatchesAreHeldShorterTheFewerWatch(t *testing.T) {
	for watchers, want := range map[int]time.Duration{0: 2500 * ms, 2: 2500 * ms, 3: 3 * time.Second, 10: 10 * time.Second, 40: 10 * time.Second} {
		NewWithT(t).Expect(replica.PollTimeout(watchers)).To(Equal(want))
	}
}

func TestAWatchOfTheConfigurationEndsWithinTheContactTime(t *testing.T) {
	g := NewWithT(t)
	g.Expect(replica.ConfigPollTimeout(2, 3*time.Second)).To(Equal(1800 * ms))
	g.Expect(replica.ConfigPollTimeout(40, 4*time.Second)).To(Equal(2400 * ms))
	g.Expect(replica.ConfigPollTimeout(2, 20*time.Second)).To(Equal(2500*ms), "never longer than others")
	g.Expect(replica.ConfigPollTimeout(6, 0)).To(Equal(6*time.Second), "the platform tells none")
}

func TestWhenTheStoreCountsAsLost(t *testing.T) {
	for name, c := range map[string]struct {
		status     replica.Status
		others     int
		othersLost bool
		want       bool
	}{
		"it answers this gateway":            {watching, 1, true, false},
		"it answers neither this nor others": {cutOff, 1, true, true},
		"it answers another":                 {cutOff, 1, false, false},
		"nobody else watches":                {cutOff, 0, false, true},
		"nobody watches at all":              {following, 0, false, false},
		"others watch and are answered":      {following, 2, false, false},
		"others watch and none is answered":  {following, 2, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(replica.StoreLost(c.status, c.others, c.othersLost)).To(Equal(c.want))
		})
	}
}
