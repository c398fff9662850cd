package admission_test

import (
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/admission"
	"github.com/silverdeck/silverdeck/member"
)

// rateSums holds sums of the rates of client accounts.
type rateSums map[uint32]member.AccountRate

// add adds what a gateway told, multiplied by sign.
func (s rateSums) add(told []member.Shortage, sign float64) {
	for _, x := range told {
		for _, r := range x.Accounts.Unpack() {
			sum := s[r.Account]
			s[r.Account] = member.AccountRate{Account: r.Account, Recent: sum.Recent + sign*r.Recent, Usual: sum.Usual + sign*r.Usual,
				Gateways: sum.Gateways + int(sign)*r.Gateways}
		}
	}
}

// toldSums counts the callers that were told to return by step since the epoch.
type toldSums map[int64]int

// add adds what a gateway told at the given time, multiplied by sign.
func (s toldSums) add(told []member.Shortage, sign int, at time.Time) {
	for _, x := range told {
		for i, n := range x.Told {
			s[stepOf(at)+int64(i)-member.ToldPast] += sign * n
		}
	}
}

func stepOf(at time.Time) int64 { return at.UnixNano() / int64(member.ToldStep) }

// addShortages adds what all gateways but x told last to news.
func (f *fleet) addShortages(news *admission.News, x *gateway) {
	rates, told, at := maps.Clone(f.rates), maps.Clone(f.told), epoch.Add(f.toldAt)
	if rates == nil {
		return
	}
	rates.add(x.shortage, -1)
	told.add(x.shortage, -1, at)
	news.Accounts = rates
	for i := range int64(member.ToldSteps) {
		news.Told = append(news.Told, told[stepOf(f.clock())-member.ToldPast+i])
	}
}

// expectFirstAccountServedLeast checks that the excess of the first account yields to all others.
func expectFirstAccountServedLeast(t *testing.T, g Gomega, x *total) {
	t.Helper()
	others := tally{}
	for a := 1; a < accountsInTest; a++ {
		others.add(&x.accounts[a])
		g.Expect(x.accounts[0].served()).To(BeNumerically("<", x.accounts[a].served()), "account %d", a)
	}
	t.Logf("other accounts: %v", &others)
}
