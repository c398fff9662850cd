package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/admission"
)

func TestLevelsServeTheUrgentFirstAndNobodyNothing(t *testing.T) {
	for _, x := range []struct {
		name   string
		room   float64
		demand admission.Slots
		want   admission.Levels
	}{
		{"room for all", 30, admission.Slots{10, 10, 10}, admission.Levels{1, 1, 1, 1}},
		{"no demand", 0, admission.Slots{}, admission.Levels{1, 1, 1, 1}},
		{"the last rank gives way first", 25, admission.Slots{10, 10, 10}, admission.Levels{1, 1, 0.5, 1}},
		{"down to its least share", 20, admission.Slots{10, 10, 10}, admission.Levels{1, 2.0 / 3, 1.0 / 3, 1}},
		{"one rank", 5, admission.Slots{0, 10}, admission.Levels{1, 0.5, 1, 1}},
		{"the urgent alone exceed the room", 12, admission.Slots{24, 12}, admission.Levels{0.41667, 0.16667, 1, 1}},
		{"no room", 0, admission.Slots{10, 10}, admission.Levels{0, 0, 1, 1}},
	} {
		t.Run(x.name, func(t *testing.T) {
			g := NewWithT(t)
			got := admission.LevelsFor(x.room, x.demand)
			for r := range got {
				g.Expect(got[r]).To(BeNumerically("~", x.want[r], 1e-4), "rank %d", r)
			}
		})
	}
}

// demandOf returns a lasting demand of the most urgent rank.
func demandOf(slots float64) admission.Demand {
	return admission.Demand{Recent: admission.Slots{slots}, Mean: slots}
}

// conditions are those of 10 gateways with a room of 100.
func conditions(running, demand float64) admission.Conditions {
	return admission.Conditions{Room: 100, Running: running, Gateways: 10, Own: demandOf(demand / 10), Fleet: demandOf(demand)}
}

func TestAShortageBeginsAndEnds(t *testing.T) {
	for _, x := range []struct {
		name            string
		running, demand float64
		current         bool
		since           time.Duration
		want            bool
	}{
		{"calm", 60, 60, false, time.Hour, false},
		{"the estimate is too high", 81, 150, false, time.Hour, false},
		{"endpoints stand still", 110, 95, false, time.Hour, false},
		{"demand and running are high", 82, 96, false, time.Hour, true},
		{"it lasts a second", 10, 10, true, 900 * time.Millisecond, true},
		{"and ends then", 10, 10, true, time.Second, false},
		{"it goes on while the demand is about as large as the room", 68, 89, true, time.Minute, true},
		{"it ends when the demand does", 96, 88, true, time.Minute, false},
		{"or when there is room", 67, 150, true, time.Minute, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := conditions(x.running, x.demand)
			NewWithT(t).Expect(admission.InShortage(&c, x.current, x.since)).To(Equal(x.want))
		})
	}
	c := conditions(100, 200)
	c.Gateways = 101
	NewWithT(t).Expect(admission.InShortage(&c, false, time.Hour)).To(BeFalse(), "less than a place for each gateway")
}

func TestLimitsOfAllGatewaysAddUpToTheTarget(t *testing.T) {
	g := NewWithT(t)
	at := func(running float64) float64 {
		c := conditions(running, 150)
		return admission.Limit(&c)
	}
	g.Expect(at(96)).To(BeNumerically("~", 9.6, 1e-6), "a tenth of the target")
	g.Expect(at(90)).To(BeNumerically(">", 9.6), "more while places are free")
	g.Expect(at(110)).To(BeNumerically("<", 9.6), "less while others exceed their shares")
	g.Expect(at(1000)).To(BeNumerically("~", 4.8, 1e-6), "but not much less")
	c := conditions(96, 150)
	c.Own = demandOf(30)
	g.Expect(admission.Limit(&c)).To(BeNumerically("~", 19.2, 1e-6), "by the gateway's demand")
	c.Own = admission.Demand{}
	g.Expect(admission.Limit(&c)).To(BeNumerically("~", 9.6, 1e-6), "equal while its demand is unknown")
	c.Room = 0
	g.Expect(admission.Limit(&c)).To(Equal(1.0))
}

func TestWhoFits(t *testing.T) {
	for _, x := range []struct {
		name string
		s    admission.Standing
		want bool
	}{
		{"a place is free", admission.Standing{Limit: 7, Running: 6, Level: 1}, true},
		{"none is free", admission.Standing{Limit: 7, Running: 7, Level: 1}, false},
		{"a short rank below its part", admission.Standing{Limit: 7, Running: 6, Level: 0.5, RunningOfRank: 1, PartOfRank: 2}, true},
		{"a short rank above it leaves a place", admission.Standing{Limit: 7, Running: 6, Level: 0.5, RunningOfRank: 2, PartOfRank: 2}, false},
		{"and takes the one before", admission.Standing{Limit: 7, Running: 5, Level: 0.5, RunningOfRank: 2, PartOfRank: 2}, true},
		{"a tenth of large limits", admission.Standing{Limit: 100, Running: 90, Level: 0.5, RunningOfRank: 40, PartOfRank: 30}, false},
		{"but one who returned when it was told doesn't", admission.Standing{Limit: 7, Running: 6, Level: 0.5, RunningOfRank: 2, PartOfRank: 2, Returned: true}, true},
		{"an account above its part leaves a place", admission.Standing{Limit: 7, Running: 6, Level: 1, Exceeds: true}, false},
		{"a late caller leaves a place", admission.Standing{Limit: 7, Running: 6, Level: 1, Late: true, RefusedShare: 0.1}, false},
		{"and takes the one before", admission.Standing{Limit: 7, Running: 5, Level: 1, Late: true, RefusedShare: 0.1}, true},
		{"but not while others are refused", admission.Standing{Limit: 7, Running: 2, Level: 1, Late: true, RefusedShare: 0.11}, false},
		{"unless hardly any place is taken", admission.Standing{Limit: 7, Running: 1, Level: 1, Late: true, RefusedShare: 0.11}, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			NewWithT(t).Expect(admission.Fits(&x.s)).To(Equal(x.want))
		})
	}
}

func TestAccountsThatSendMuchMoreThanUsual(t *testing.T) {
	g := NewWithT(t)
	g.Expect(admission.AccountShare(23, 10)).To(Equal(1.0), "twice as usual, and three requests")
	g.Expect(admission.AccountShare(24, 10)).To(BeNumerically("~", 21.0/24, 1e-6))
	g.Expect(admission.AccountShare(100, 10)).To(BeNumerically("~", 0.21, 1e-6))
	g.Expect(admission.AccountShare(3, 0)).To(Equal(1.0), "a new account")
	g.Expect(admission.RepeatsAtOnce(2, 13)).To(BeTrue())
	g.Expect(admission.RepeatsAtOnce(2, 14)).To(BeFalse(), "a slow connection now and then")
	g.Expect(admission.RepeatsAtOnce(1, 1)).To(BeFalse(), "one request shows nothing")
}

// heard is what was known of 9 other gateways the given time ago.
func heard(age time.Duration) admission.Heard {
	return admission.Heard{Demand: demandOf(70), Running: 100, Covers: 9, Age: age}
}

func TestWhatIsKnownOfSomeGatewaysStandsForAll(t *testing.T) {
	supply := admission.Supply{Room: 100, Running: 50, Own: 10}
	own := demandOf(5)
	for _, x := range []struct {
		name     string
		news     admission.News
		gateways int
		fleet    float64
		running  float64
	}{
		{"alone", admission.News{}, 1, 5, 50},
		{"all heard", admission.News{Demand: demandOf(45), Covers: 9, Gateways: 9, Known: 9}, 10, 50, 50},
		{"a third heard", admission.News{Demand: demandOf(15), Covers: 3, Gateways: 9, Known: 9}, 10, 50, 130},
		{"none heard", admission.News{Gateways: 9, Known: 9}, 10, 50, 100},
		{"old news", admission.News{Demand: demandOf(45), Covers: 9, Gateways: 9, Known: 9, Age: 3 * time.Second}, 10, 50, 100},
		{"a zone lost", admission.News{Demand: demandOf(25), Covers: 5, Gateways: 5, Known: 9}, 6, 30, 50},
		{"cut off", admission.News{Known: 9}, 10, 50, 100},
		{"none heard any more", admission.News{Gateways: 9, Known: 9, Last: heard(20 * time.Second)}, 10, 75, 110},
		{"a third heard before", admission.News{Gateways: 9, Known: 9, Last: admission.Heard{Demand: demandOf(15), Running: 25, Covers: 3}}, 10, 50, 85},
		{"cut off after it heard all", admission.News{Known: 9, Last: heard(time.Second)}, 10, 75, 110},
		{"not heard for long", admission.News{Gateways: 9, Known: 9, Last: heard(20*time.Second + 1)}, 10, 50, 100},
		{"heard again", admission.News{Demand: demandOf(45), Covers: 9, Gateways: 9, Known: 9, Last: heard(time.Second)}, 10, 50, 50},
		{"most are lost", admission.News{Known: 9, LostFor: 20 * time.Second}, 1, 5, 50},
	} {
		t.Run(x.name, func(t *testing.T) {
			g := NewWithT(t)
			c := admission.ConditionsFrom(supply, x.news, own)
			g.Expect(c.Gateways).To(Equal(x.gateways))
			g.Expect(c.Fleet.Recent.Total()).To(BeNumerically("~", x.fleet, 1e-6))
			g.Expect(c.Fleet.Mean).To(BeNumerically("~", x.fleet, 1e-6))
			g.Expect(c.Running).To(BeNumerically("~", x.running, 1e-6))
		})
	}
}

func TestWhoWaits(t *testing.T) {
	g := NewWithT(t)
	g.Expect(admission.WaitLimit(400*time.Millisecond, 0)).To(Equal(100 * time.Millisecond))
	g.Expect(admission.WaitLimit(400*time.Millisecond, 60*time.Millisecond)).To(Equal(40 * time.Millisecond))
	g.Expect(admission.WaitLimit(400*time.Millisecond, time.Second)).To(BeZero())
	for _, x := range []struct {
		ahead int
		rate  float64
		limit time.Duration
		want  bool
	}{
		{0, 10, 100 * time.Millisecond, true},
		{0, 9.9, 100 * time.Millisecond, false},
		{1, 10, 100 * time.Millisecond, false},
		{4, 50, 100 * time.Millisecond, true},
		{0, 1e6, 0, false},
		{1000, 1e6, 100 * time.Millisecond, false},
	} {
		g.Expect(admission.ShouldWait(x.ahead, x.rate, x.limit)).To(Equal(x.want), "%+v", x)
	}
}

func TestWhenCallersReturn(t *testing.T) {
	const target, left = 400 * time.Millisecond, 6 * time.Second
	for _, x := range []struct {
		name     string
		rate     float64
		refused  float64
		expected int
		elapsed  time.Duration
		left     time.Duration
		min, max time.Duration
	}{
		{"soon enough to be in time", 40, 0.5, 0, 0, left, 100 * time.Millisecond, 200 * time.Millisecond},
		{"too late for that", 40, 0.5, 0, 150 * time.Millisecond, left, 500 * time.Millisecond, 750 * time.Millisecond},
		{"few are refused", 0, 0.1, 0, 0, left, 100 * time.Millisecond, 200 * time.Millisecond},
		{"others were told of all places", 40, 0.5, 3, 0, left, 1500 * time.Millisecond, 2 * time.Second},
		{"no place comes free", 0, 0.5, 0, 0, left, 1500 * time.Millisecond, 2 * time.Second},
		{"a third of a short time", 0, 0.5, 0, 0, 900 * time.Millisecond, 225 * time.Millisecond, 300 * time.Millisecond},
	} {
		t.Run(x.name, func(t *testing.T) {
			for _, draw := range []float64{0, 0.25, 0.499} {
				g := NewWithT(t)
				d := admission.ReturnAfter(&admission.ReturnForecast{Target: target, Elapsed: x.elapsed, Left: x.left, FreePerSecond: x.rate, RefusedShare: x.refused,
					Expected: func(time.Duration) float64 { return float64(x.expected) }, Random: func() float64 { return draw }})
				g.Expect(d).To(And(BeNumerically(">=", x.min), BeNumerically("<=", x.max)))
			}
		})
	}
}
