package admission_test

import (
	"maps"
	"testing"

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

// addShortages adds what all gateways but x told last to news.
func (f *fleet) addShortages(news *admission.News, x *gateway) {
	sums := maps.Clone(f.rates)
	sums.add(x.shortage, -1)
	news.Accounts = sums
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
