package work_test

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/work"
	"github.com/silverdeck/silverdeck/routes"
)

const ms = time.Millisecond

// engine makes 5 tokens of each answer in 50 ms, and prefills 1,000 tokens in 40 ms.
var engine = &routes.Engine{
	Slots: 12, StepTime: 10 * ms, Stride: 5,
	PrefillTokensPerSecond: 25000, MeanPromptTokens: 1000, MeanAnswerTokens: 100,
}

var service = work.Service{Engine: engine, GapTarget: 300 * ms}

var _ = DescribeTable("the places of an endpoint with 12 slots",
	func(s work.Service, pace float64, want int) {
		Expect(work.Places(&s, 12, pace)).To(Equal(want))
		Expect(work.SpeedOf(&s, 12, pace).Places).To(BeNumerically("==", want))
	},
	Entry("are its slots at the engine's figures", service, 1.0, 12),
	Entry("or if it is hardly slower", service, work.SlowPace-0.01, 12),
	Entry("or if its pace is unknown", service, 0.0, 12),
	Entry("are fewer for a slow endpoint", service, 2.0, 4),
	Entry("and fewer still for a slower one", service, 2.5, 2),
	Entry("but at least one", service, 8.0, 1),
	Entry("are its slots if the engine's figures are unknown", work.Service{GapTarget: 300 * ms}, 2.5, 12),
	Entry("or if the streams have no gap target", work.Service{Engine: engine}, 2.5, 12),
)

var _ = Describe("The places of an endpoint", func() {
	It("never rise with its pace", func() {
		for before, pace := 12, 1.0; pace < 9; pace += 0.1 {
			places := work.Places(&service, 12, pace)
			Expect(places).To(BeNumerically("<=", before), "pace %v", pace)
			before = places
		}
	})
	It("are its slots at the engine's figures even if these do not suffice for its targets", func() {
		s := work.Service{Engine: engine, GapTarget: 60 * ms}
		Expect(work.Places(&s, 12, 1)).To(Equal(12))
		Expect(work.Places(&s, 12, 2)).To(BeNumerically(">=", 1))
	})
	It("keep three of four mean streams within the gap target, and one more would not", func() {
		places := work.Places(&service, 12, 2)
		Expect(shareInTime(places, 2)).To(BeNumerically(">=", 0.72))
		Expect(shareInTime(places+1, 2)).To(BeNumerically("<", 0.78))
	})
})

// shareInTime returns the share of mean streams without a pause above the gap target at an endpoint
// with the given pace that runs n streams. It draws the prefills within each pause one by one.
func shareInTime(n int, pace float64) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	pass := pace * (50 * ms).Seconds()
	prefill := pace * (40 * ms).Seconds()
	inTime, streams := 0, 20000
	duration := prefill + 20*pass
	for range 3 { // the duration with the prefills of others
		duration = prefill + 20*pass/(1-float64(n-1)/duration*prefill)
	}
	rate := float64(n-1) / duration
	for range streams {
		late := false
		for range 20 {
			late = late || pause(random, pass, prefill, rate) > 0.3
		}
		if !late {
			inTime++
		}
	}
	return float64(inTime) / float64(streams)
}

// pause returns one pause between events. Prefills that start during it lengthen it, and more may
// start meanwhile.
func pause(random *rand.Rand, pass, prefill, rate float64) float64 {
	end := pass
	for at := random.ExpFloat64() / rate; at < end; at += random.ExpFloat64() / rate {
		end += prefill * random.ExpFloat64()
	}
	return end
}

var _ = DescribeTable("a pace",
	func(pace, want float64) {
		Expect(work.ClampPace(pace)).To(Equal(want))
	},
	Entry("is taken as it is", 2.5, 2.5),
	Entry("that is unknown counts as 1", 0.0, 1.0),
	Entry("below 1 counts as 1", 0.5, 1.0),
	Entry("below 0 counts as 1", -3.0, 1.0),
	Entry("that is no number counts as 1", math.NaN(), 1.0),
	Entry("is bounded", 1000.0, 8.0),
)

var _ = DescribeTable("the expected lengths of a stream",
	func(stated work.Stated, e *routes.Engine, want work.Tokens) {
		Expect(stated.Lengths(e)).To(Equal(want))
	},
	Entry("are those that its caller states", work.Stated{Prompt: 700, MaxAnswer: 400, Hint: 50}, engine, work.Tokens{Prompt: 700, Answer: 50}),
	Entry("are the engine's means if nothing is stated", work.Stated{}, engine, work.Tokens{Prompt: 1000, Answer: 100}),
	Entry("with a guess above the bound", work.Stated{Prompt: 700, MaxAnswer: 400, Hint: 900}, engine, work.Tokens{Prompt: 700, Answer: 400}),
	Entry("with a mean above the bound", work.Stated{Prompt: 700, MaxAnswer: 30}, engine, work.Tokens{Prompt: 700, Answer: 30}),
	Entry("with a bound alone", work.Stated{Prompt: 700, MaxAnswer: 400}, engine, work.Tokens{Prompt: 700, Answer: 100}),
	Entry("without an engine", work.Stated{Prompt: 700}, nil, work.Tokens{Prompt: 700}),
)

// stream returns a stream with a prefill of 40 ms and an answer of the given number of tokens.
func stream(answer float64, left, firstWithin time.Duration) work.Stream {
	w := work.StreamOf(engine, work.Tokens{Prompt: 1000, Answer: answer})
	w.Left, w.FirstWithin = left, firstWithin
	return w
}

var _ = DescribeTable("whether a stream fits at an endpoint",
	func(pace, load float64, w work.Stream, want work.Fit) {
		s := work.SpeedOf(&service, 12, pace)
		Expect(s.Fit(&w, load, 0)).To(Equal(want))
	},
	// An answer of 200 tokens takes 40 ms of prefill and 40 passes of 50 ms if it runs alone.
	Entry("that is idle", 1.0, 0.0, stream(200, 2040*ms, 0), work.InTime),
	Entry("that is idle, if it ends too late", 1.0, 0.0, stream(200, 2040*ms-1, 0), work.EndsLate),
	Entry("that is full, if it would end in time at an idle one", 1.0, 1.0, stream(200, 2040*ms, 0), work.EndsLate),
	Entry("if even a quarter of the answer ends too late", 1.0, 0.0, stream(200, 540*ms-1, 0), work.NeverEnds),
	Entry("if a quarter of the answer just ends in time", 1.0, 0.0, stream(200, 540*ms, 0), work.EndsLate),
	Entry("that is slow, if it ends in time at others", 2.5, 0.0, stream(200, 3000*ms, 0), work.EndsLate),
	Entry("that is slow, with a short answer", 2.5, 0.0, stream(50, 3000*ms, 0), work.InTime),
	// At a pace of 2.5 the first event follows after 100 ms of prefill and a pass of 125 ms.
	Entry("that is slow, if the first event comes in time", 2.5, 0.0, stream(50, 3000*ms, 225*ms), work.InTime),
	Entry("that is slow, if the first event comes too late", 2.5, 0.0, stream(50, 3000*ms, 225*ms-1), work.BeginsLate),
	Entry("at its figures, however late the first event", 1.0, 0.0, stream(50, 3000*ms, 1), work.InTime),
	Entry("without a deadline", 2.5, 0.0, stream(5000, 0, 0), work.InTime),
	Entry("of unknown work", 2.5, 0.0, work.Stream{Left: 1}, work.InTime),
)

var _ = Describe("An endpoint without known figures", func() {
	It("takes any stream", func() {
		s := work.SpeedOf(&work.Service{}, 12, 2.5)
		w := stream(5000, 1, 1)
		Expect(s.Fit(&w, 9, time.Hour)).To(Equal(work.InTime))
	})
})

var _ = Describe("The estimated times of a stream", func() {
	It("grow with the load up to a full endpoint", func() {
		s := work.SpeedOf(&service, 12, 1)
		w := stream(100, time.Minute, 0)
		Expect(s.Gap(0)).To(Equal(50 * ms))
		Expect(s.Gap(0.5)).To(BeNumerically(">", s.Gap(0)))
		Expect(s.Gap(1)).To(BeNumerically(">", s.Gap(0.5)))
		Expect(s.Gap(1.25)).To(Equal(s.Gap(1)))
		Expect(s.End(&w, w.Events, 0)).To(Equal(40*ms + 20*50*ms))
		Expect(s.FirstEvent(&w, 0, 0)).To(Equal(90 * ms))
		Expect(s.FirstEvent(&w, 0, 40*ms)).To(Equal(130 * ms))
		Expect(s.FirstEvent(&w, 1, 0)).To(Equal(90*ms + s.Gap(1)/2))
	})
})

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// observe adds n streams of 11 events with the given mean pause.
func observe(o *work.Observations, all *work.ServiceRatio, n int, gap time.Duration) {
	s := work.SpeedOf(&service, 12, 1)
	for range n {
		o.Observe(all, &s, 11, 10*gap, start)
	}
}

var _ = Describe("The pace that streams show", func() {
	var o work.Observations
	var all work.ServiceRatio
	full := work.SpeedOf(&service, 12, 1).FullGap
	BeforeEach(func() {
		o, all = work.Observations{}, work.ServiceRatio{}
		var others work.Observations
		observe(&others, &all, 100, full/2)
	})

	It("is 1 at a full endpoint that works at its figures", func() {
		observe(&o, &all, 100, full)
		Expect(o.Pace()).To(Equal(1.0))
	})
	It("is that of a slow one after some streams", func() {
		observe(&o, &all, 7, 2*full)
		Expect(o.Pace()).To(Equal(1.0))
		observe(&o, &all, 1, 2*full)
		Expect(o.Pace()).To(BeNumerically("~", 2, 0.01))
	})
	It("does not change its class with single streams", func() {
		observe(&o, &all, 20, full)
		observe(&o, &all, 1, 3*full)
		Expect(o.Pace()).To(Equal(1.0))
		observe(&o, &all, 20, 2*full)
		observe(&o, &all, 1, full/2)
		Expect(o.Pace()).To(BeNumerically(">", 1.5))
	})
	It("returns to 1", func() {
		observe(&o, &all, 20, 2*full)
		observe(&o, &all, 20, full)
		Expect(o.Pace()).To(Equal(1.0))
	})
	It("is bounded", func() {
		observe(&o, &all, 20, 50*full)
		Expect(o.Pace()).To(BeNumerically("<=", 3))
	})
	It("is 1 if all endpoints appear slow alike", func() {
		var others work.Observations
		observe(&others, &all, 500, 2*full)
		observe(&o, &all, 20, 2*full)
		Expect(o.Pace()).To(Equal(1.0))
	})
	It("is 1 before there are others to compare with", func() {
		all = work.ServiceRatio{}
		observe(&o, &all, 63, 2*full)
		Expect(o.Pace()).To(Equal(1.0))
	})
	It("returns to 1 without streams", func() {
		observe(&o, &all, 20, 2*full)
		Expect(o.Expire(start.Add(30 * time.Second))).To(BeFalse())
		Expect(o.Pace()).To(BeNumerically(">", 1.5))
		Expect(o.Expire(start.Add(30*time.Second + 1))).To(BeTrue())
		Expect(o.Pace()).To(Equal(1.0))
		Expect(o.Expire(start.Add(time.Hour))).To(BeFalse())
	})
	It("does not follow from short streams or without figures", func() {
		s := work.SpeedOf(&service, 12, 1)
		for range 20 {
			o.Observe(&all, &s, 3, time.Minute, start)
			o.Observe(&all, &work.Speed{}, 11, time.Minute, start)
		}
		Expect(o.Pace()).To(Equal(1.0))
	})
})
