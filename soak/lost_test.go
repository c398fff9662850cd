package soak_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/soak"
)

// bounds are those of a deployment.
var bounds = soak.Bounds{Contact: 3 * time.Second, Grace: 8 * time.Second, Apply: 2 * time.Second, Slack: 200 * time.Millisecond}

// zero is when the cases begin.
var zero = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time so many milliseconds after zero.
func at(ms int) time.Time {
	return zero.Add(time.Duration(ms) * time.Millisecond)
}

// cut is a stream that an endpoint runs, sent at 10 s with 6 s to go and cut at 12 s.
func cut(change func(*soak.Exchange)) *soak.Exchange {
	e := &soak.Exchange{ID: "r", Sent: at(10_000), End: at(12_000), Limit: at(16_000), Begun: true, PassedOn: true, Working: true}
	if change != nil {
		change(e)
	}
	return e
}

func TestWhichRequestsCountAsLost(t *testing.T) {
	stop := func(ms int) *soak.History { return &soak.History{Stops: []time.Time{at(ms)}} }
	fault := func(from, to int) *soak.History {
		return &soak.History{Faults: []soak.Span{{From: at(from), To: at(to)}}}
	}
	change := &soak.History{Changes: []soak.Change{{Sent: at(9_000), Acked: at(9_500)}}}
	for name, c := range map[string]struct {
		e    *soak.Exchange
		h    *soak.History
		want soak.Loss
	}{
		"nothing was done":                   {cut(nil), &soak.History{}, soak.LostInCalm},
		"its time was over":                  {cut(func(e *soak.Exchange) { e.Limit = e.End }), &soak.History{}, soak.NotLost},
		"the endpoint broke it off":          {cut(func(e *soak.Exchange) { e.BrokenOff = true }), &soak.History{}, soak.NotLost},
		"no endpoint ran it, ended at once":  {cut(func(e *soak.Exchange) { e.PassedOn, e.End = false, at(10_200) }), stop(9_000), soak.NotLost},
		"no endpoint ran it, ended too late": {cut(func(e *soak.Exchange) { e.PassedOn, e.End = false, at(10_201) }), stop(9_000), soak.LostAtStop},
		"a fault while it ran":               {cut(nil), fault(11_000, 11_100), soak.NotLost},
		"a fault shortly before":             {cut(nil), fault(6_000, 7_100), soak.NotLost},
		"a fault long before":                {cut(nil), fault(6_000, 7_000), soak.LostInCalm},
		"a fault afterwards":                 {cut(nil), fault(12_000, 13_000), soak.LostInCalm},
		"a stop cuts it early":               {cut(nil), stop(9_000), soak.LostAtStop},
		"the end of a stop, at work":         {cut(nil), stop(5_300), soak.LostAtStop},
		"the end of a stop, sent in time":    {cut(func(e *soak.Exchange) { e.End = at(14_900) }), stop(7_100), soak.NotLost},
		"the end of a stop, sent late":       {cut(func(e *soak.Exchange) { e.End = at(14_900) }), stop(6_999), soak.LostAtStop},
		"the end of a stop, nobody at work":  {cut(func(e *soak.Exchange) { e.End, e.Working = at(14_900), false }), stop(7_100), soak.LostAtStop},
		"long after a stop":                  {cut(nil), stop(3_000), soak.LostInCalm},
		"a reload while it ran":              {cut(nil), &soak.History{Reloads: []time.Time{at(11_000)}}, soak.LostAtReload},
		"a reload before it":                 {cut(nil), &soak.History{Reloads: []time.Time{at(8_000)}}, soak.LostAtReload},
		"a reload long before it":            {cut(nil), &soak.History{Reloads: []time.Time{at(7_999)}}, soak.LostInCalm},
		"a configuration":                    {cut(nil), change, soak.LostAtChange},
		"a configuration, most time used":    {cut(func(e *soak.Exchange) { e.Limit = at(12_800) }), change, soak.LostInCalm},
		"a configuration long before":        {cut(func(e *soak.Exchange) { e.End = at(12_500) }), change, soak.LostInCalm},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(soak.Judge(c.e, c.h, bounds)).To(Equal(c.want))
		})
	}
}

func TestWhichKeptConnectionsEndWithoutAnAnswer(t *testing.T) {
	kept := func(e *soak.Exchange) { e.Kept, e.Begun = true, false }
	calm := &soak.History{}
	for name, c := range map[string]struct {
		change func(*soak.Exchange)
		h      *soak.History
		want   bool
	}{
		"passed on and closed":     {func(e *soak.Exchange) {}, calm, true},
		"a new connection":         {func(e *soak.Exchange) { e.Kept = false }, calm, false},
		"not passed on":            {func(e *soak.Exchange) { e.PassedOn = false }, calm, false},
		"the head had come":        {func(e *soak.Exchange) { e.Begun = true }, calm, false},
		"the endpoint broke off":   {func(e *soak.Exchange) { e.BrokenOff = true }, calm, false},
		"its time was over":        {func(e *soak.Exchange) { e.Limit = e.End }, calm, false},
		"a fault was there":        {func(e *soak.Exchange) {}, &soak.History{Faults: []soak.Span{{From: at(9_000), To: at(9_001)}}}, false},
		"a planned stop was there": {func(e *soak.Exchange) {}, &soak.History{Stops: []time.Time{at(9_000)}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			e := cut(kept)
			c.change(e)
			NewWithT(t).Expect(soak.LeftWithoutAnswer(e, c.h, bounds)).To(Equal(c.want))
		})
	}
}

func TestCutsBesideAConfigurationCountWhereTheyAreMoreThanElse(t *testing.T) {
	g := NewWithT(t)
	g.Expect(soak.TooOften(0, 100, 0, 100)).To(BeFalse())
	g.Expect(soak.TooOften(1, 100, 0, 100)).To(BeTrue(), "none else")
	g.Expect(soak.TooOften(3, 100, 1, 100)).To(BeFalse(), "three times as often")
	g.Expect(soak.TooOften(4, 100, 1, 100)).To(BeTrue())
	g.Expect(soak.TooOften(1, 1, 0, 0)).To(BeTrue(), "nothing else to compare with")
}
