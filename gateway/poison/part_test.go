package poison_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/poison"
)

// part returns the key of the n-th part in requests to a service.
func part(n byte) poison.Key {
	return poison.PartID{15: n}.Key("s")
}

// prompts is the number of requests that were made by prompt.
var prompts int

// prompt returns the suspects of a request that is like no other and has the given parts.
func prompt(parts ...byte) *poison.Suspects {
	prompts++
	r := request()
	r.Body = fmt.Append(nil, prompts)
	out := &poison.Suspects{Request: r}
	for _, n := range parts {
		out.Parts = append(out.Parts, part(n))
	}
	return out
}

// round is longer than crashes count as one.
const round = 300 * time.Millisecond

// crashRounds records rounds of crashes under requests with the given parts, and returns the time of the last.
func (g *gateway) crashRounds(from, rounds int, parts ...byte) time.Time {
	now := start
	for i := range rounds {
		now = at(time.Duration(from+i) * round)
		g.Table.RecordCrash(prompt(parts...), incarnation(from+i), now)
	}
	g.now = now
	return now
}

// assess returns the state of a new request with the given parts.
func (g *gateway) assess(parts ...byte) poison.State {
	return g.Assess(prompt(parts...), g.now).State
}

// TestRequestsThatAreNotOnTrialAreNotSentToOneEndpoint guards against a rack whose crashes move what most requests share.
func TestRequestsThatAreNotOnTrialAreNotSentToOneEndpoint(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	for i := range 3 {
		x.Table.RecordCrash(prompt(1), incarnation(i), start)
	}
	g.Expect(x.Assess(prompt(1), start)).To(Equal(poison.Assessment{State: poison.Suspected, Cause: part(1)}))
	now := x.crashRounds(3, 1, 1)
	g.Expect(x.Assess(prompt(1), now).Crashes).To(Equal(4))
}

func TestAPartIsQuarantinedAfterThreeRoundsOfCrashes(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	x.crashRounds(0, 1, 1)
	g.Expect(x.assess(1)).To(Equal(poison.Suspected), "others with the part are sent as usual")
	x.crashRounds(1, 1, 1)
	g.Expect(x.assess(1)).To(Equal(poison.OnTrial))
	x.crashRounds(2, 1, 1)
	g.Expect(x.assess(1)).To(Equal(poison.Quarantined))
	g.Expect(x.assess(2)).To(Equal(poison.Clear), "another part")
	g.Expect(x.Assess(&poison.Suspects{Request: request(), Parts: []poison.Key{poison.PartID{15: 1}.Key("other")}}, start).State).
		To(Equal(poison.Clear), "another service")
	g.Expect(x.List(at(round))).To(ContainElement(HaveField("Part", "1")))
}

// TestEndpointsThatCrashTogetherCountOnceForAPart guards against a fault of a rack that stops a popular part.
func TestEndpointsThatCrashTogetherCountOnceForAPart(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	for i := range 12 {
		x.Table.RecordCrash(prompt(1), incarnation(i), at(time.Duration(i)*10*time.Millisecond))
	}
	g.Expect(x.assess(1)).To(Equal(poison.Suspected))
	for i := range 12 {
		x.Table.RecordCrash(prompt(1), incarnation(20+i), at(time.Minute))
	}
	g.Expect(x.assess(1)).To(Equal(poison.Quarantined), "a second round, with many crashes and no answer")
}

// TestACompleteAnswerClearsTheSharedParts guards against suspicion that holds back what most requests share.
func TestACompleteAnswerClearsTheSharedParts(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	last := x.crashRounds(0, 2, 1, 2)
	x.Table.RecordAnswer(prompt(1), last, last)
	g.Expect(x.assess(1)).To(Equal(poison.OnTrial), "the answer ended before the crash")
	x.Table.RecordAnswer(prompt(1), last.Add(1), last.Add(2))
	g.Expect(x.assess(1)).To(Equal(poison.Clear))
	g.Expect(x.assess(2)).To(Equal(poison.OnTrial), "the other part was not answered")
	x.crashRounds(2, 1, 1, 2)
	g.Expect(x.assess(1)).To(Equal(poison.Suspected), "the count starts again")
	g.Expect(x.assess(2)).To(Equal(poison.Quarantined))
}

// TestPartsWithTheSameCrashesAreTriedApart guards against a quarantine that no request could end.
func TestPartsWithTheSameCrashesAreTriedApart(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	last := x.crashRounds(0, 3, 1, 2)
	g.Expect(x.assess(1, 2)).To(Equal(poison.Quarantined), "either is to blame")
	g.Expect(x.assess(1)).To(Equal(poison.OnTrial))
	g.Expect(x.assess(2, 3)).To(Equal(poison.OnTrial))
	x.Table.RecordAnswer(prompt(1), last.Add(1), last.Add(1))
	g.Expect(x.assess(1)).To(Equal(poison.Clear))
	g.Expect(x.assess(2)).To(Equal(poison.Quarantined), "no other explanation is left")
}

// TestAPartThatEndpointsSurviveIsNotHeldBack guards against rounds of crashes in which no long answer can end.
func TestAPartThatEndpointsSurviveIsNotHeldBack(t *testing.T) {
	g, x, y := NewWithT(t), newGateway(), newGateway()
	now := x.crashRounds(0, 1, 1, 2)
	x.RecordSurvival([]poison.Key{part(1)}, now)
	g.Expect(x.Record(part(1)).Survived).To(BeFalse(), "seen before the crash")
	x.RecordSurvival([]poison.Key{part(1)}, now.Add(1))
	y.Merge(poison.UnpackParts(poison.PackParts(x.Gossip(false, now))), now)
	x.crashRounds(1, 4, 1, 2)
	y.crashRounds(1, 4, 1, 2)
	for _, each := range []*gateway{x, y} {
		g.Expect(each.assess(1)).To(Equal(poison.Suspected))
		g.Expect(each.assess(2)).To(Equal(poison.Quarantined))
	}
	x.crashRounds(5, 1, 1)
	g.Expect(x.assess(1)).To(Equal(poison.Quarantined), "it crashes endpoints after a while")
}

// TestAPartThatEndpointsSurviveAfterItsQuarantineIsTried guards against a verdict from too little evidence.
func TestAPartThatEndpointsSurviveAfterItsQuarantineIsTried(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	now := x.crashRounds(0, 3, 1)
	g.Expect(x.assess(1)).To(Equal(poison.Quarantined))
	x.RecordSurvival([]poison.Key{part(1)}, now.Add(1))
	g.Expect(x.assess(1)).To(Equal(poison.OnTrial))
}

func TestAPartWithMoreCrashesExplainsThoseOfOthers(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	x.crashRounds(0, 3, 1, 2)
	last := x.crashRounds(3, 1, 2, 3)
	g.Expect(x.assess(2)).To(Equal(poison.Quarantined))
	x.now = last.Add(3 * time.Second)
	g.Expect(x.assess(2)).To(Equal(poison.OnTrial), "most of its crashes are those of another part")
	last = x.crashRounds(4, 2, 2, 3)
	x.now = last.Add(3 * time.Second)
	g.Expect(x.assess(2)).To(Equal(poison.Quarantined))
	x.Gossip(false, last.Add(time.Second))
	g.Expect(x.assess(1)).To(Equal(poison.Clear))
	g.Expect(x.assess(3)).To(Equal(poison.Clear))
}

// TestAPopularPartWithAFurtherCrashDoesNotHideTheCause guards against crashes whose cause no gateway reported.
func TestAPopularPartWithAFurtherCrashDoesNotHideTheCause(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	x.crashRounds(0, 3, 1, 2)
	last := x.crashRounds(3, 2, 1)
	x.Gossip(false, last.Add(time.Second))
	g.Expect(x.assess(1, 2)).To(Equal(poison.Quarantined))
	g.Expect(x.assess(1)).To(Equal(poison.Quarantined))
	x.now = last.Add(3 * time.Second)
	g.Expect(x.assess(1, 2)).To(Equal(poison.Quarantined))
	g.Expect(x.assess(1)).To(Equal(poison.OnTrial))
	x.Table.RecordAnswer(prompt(1), last.Add(time.Second), last.Add(time.Second))
	g.Expect(x.assess(1)).To(Equal(poison.Clear))
	g.Expect(x.assess(2)).To(Equal(poison.Quarantined))
}

// TestRecordsOfALaterGenerationKeepTheAgesOfTheirCrashes guards against rounds that are counted from wrong times.
func TestRecordsOfALaterGenerationKeepTheAgesOfTheirCrashes(t *testing.T) {
	g, x, y := NewWithT(t), newGateway(), newGateway()
	y.crashRounds(0, 1, 1)
	last := x.crashRounds(0, 1, 1)
	x.Table.RecordAnswer(prompt(1), last.Add(1), last.Add(1))
	now := x.crashRounds(1, 2, 1)
	y.Merge(poison.UnpackParts(poison.PackParts(x.Gossip(false, now))), now)
	r := y.Records([]poison.Key{part(1)})[0]
	g.Expect(r.Crashes).To(HaveLen(2))
	g.Expect(r.Ages).To(HaveLen(2))
}

// TestAPartThatWasAnsweredAfterItsQuarantineDoesNotRelapse guards against one crash that stops a popular part.
func TestAPartThatWasAnsweredAfterItsQuarantineDoesNotRelapse(t *testing.T) {
	for _, answered := range []bool{false, true} {
		g, x := NewWithT(t), newGateway()
		last := x.crashRounds(0, 3, 1)
		expired := last.Add(poison.QuarantineTime(0))
		x.Gossip(false, expired)
		g.Expect(x.assess(1)).To(Equal(poison.OnTrial), "one of its requests tells")
		want := poison.Quarantined
		if answered {
			x.Table.RecordAnswer(prompt(1), expired, expired)
			g.Expect(x.assess(1)).To(Equal(poison.Clear))
			want = poison.Suspected
		}
		x.Table.RecordCrash(prompt(1), incarnation(9), expired.Add(time.Second))
		g.Expect(x.assess(1)).To(Equal(want))
	}
}

func TestRoundsAreCountedOverAllGateways(t *testing.T) {
	g, x, y := NewWithT(t), newGateway(), newGateway()
	x.crashRounds(0, 2, 1)
	now := y.crashRounds(2, 1, 1)
	records := poison.UnpackParts(poison.PackParts(x.Gossip(false, now)))
	y.Merge(records, now)
	g.Expect(y.assess(1)).To(Equal(poison.Quarantined))
	x.Merge(poison.UnpackParts(poison.PackParts(y.Gossip(false, now))), now)
	g.Expect(x.assess(1)).To(Equal(poison.Quarantined))
}

// TestAGatewayThatStartsLearnsOfAQuarantinedPart guards against crashes that are told at once and count as one round.
func TestAGatewayThatStartsLearnsOfAQuarantinedPart(t *testing.T) {
	g, x, y := NewWithT(t), newGateway(), newGateway()
	now := x.crashRounds(0, 3, 1).Add(time.Minute)
	y.Merge(poison.UnpackParts(poison.PackParts(x.Gossip(false, now))), now)
	g.Expect(y.assess(1)).To(Equal(poison.Quarantined))
}

func TestUnpackPartsReversesPackParts(t *testing.T) {
	g := NewWithT(t)
	sent := []poison.Record{
		{Key: part(1), Generation: 3, Relapses: 1, Crashes: []poison.Incarnation{5, 6}, Ages: []time.Duration{time.Second, time.Minute}},
		{Key: part(2), Generation: 9, Confirmed: true, Survived: true, Crashes: []poison.Incarnation{1, 2, 3}, Ages: []time.Duration{1e6, 2e6, 3e6}},
	}
	data := poison.PackParts(append(sent, record(3, 1, 5)))
	g.Expect(poison.UnpackParts(data)).To(Equal(sent))
	g.Expect(poison.Pack(sent)).To(BeEmpty(), "older versions would take them for requests")
	for n := range data { // truncated anywhere, it yields only complete records
		g.Expect(len(poison.UnpackParts(data[:n]))).To(BeNumerically("<", len(sent)))
	}
}

func FuzzUnpackParts(f *testing.F) {
	f.Add(poison.PackParts([]poison.Record{{Key: part(1), Generation: 3, Confirmed: true, Crashes: []poison.Incarnation{5, 6}}}))
	f.Add([]byte("x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		for _, r := range poison.UnpackParts(data) {
			g.Expect(len(r.Crashes)).To(BeNumerically("<=", 16))
			g.Expect(poison.UnpackParts(poison.PackParts([]poison.Record{r}))).To(Equal([]poison.Record{r}))
		}
	})
}

// TestManyPartsDoNotEvictOneWithMoreCrashes guards against callers that fill the table.
func TestManyPartsDoNotEvictOneWithMoreCrashes(t *testing.T) {
	g, x := NewWithT(t), newGateway()
	x.crashRounds(0, 2, 1)
	for i := range 6000 {
		s := prompt()
		s.Parts = []poison.Key{poison.PartID{0: 1, 14: byte(i >> 8), 15: byte(i)}.Key("s")}
		x.Table.RecordCrash(s, incarnation(100+i), at(time.Minute))
	}
	g.Expect(x.assess(1)).To(Equal(poison.OnTrial))
	g.Expect(len(poison.PackParts(x.Gossip(true, at(time.Minute))))).To(BeNumerically("<", 16<<10))
}

func BenchmarkAssessParts(b *testing.B) {
	x := newGateway()
	for i := range byte(100) {
		x.Table.RecordCrash(prompt(i, 200), incarnation(int(i)), start)
	}
	s := prompt(1, 2, 3)
	for b.Loop() {
		x.Assess(s, start)
	}
}
