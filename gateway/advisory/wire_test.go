package advisory_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
)

// Clocks of gateways differ, so times travel as ages.
func TestRecordsKeepTheirAgesOnTheWay(t *testing.T) {
	g := NewWithT(t)
	sent := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	taken := sent.Add(-time.Hour)
	told := []advisory.Record{
		{Endpoint: roster.Incarnation{ID: "e", Born: 5}, Limit: advisory.PerSecond(0), HeardAt: sent.Add(-3 * time.Second), ConfirmedAt: sent},
		{Endpoint: roster.Incarnation{ID: "f"}, Limit: advisory.Unlimited{}, HeardAt: sent.Add(-time.Second)},
		{Endpoint: roster.Incarnation{ID: "g"}, Limit: advisory.Unlimited{}, Leaving: true},
	}
	data, err := json.Marshal(advisory.Pack(told, sent))
	g.Expect(err).NotTo(HaveOccurred())
	var read []member.Advice
	g.Expect(json.Unmarshal(data, &read)).To(Succeed())
	g.Expect(advisory.Unpack(read, taken)).To(Equal([]advisory.Record{
		{Endpoint: roster.Incarnation{ID: "e", Born: 5}, Limit: advisory.PerSecond(0), HeardAt: taken.Add(-3 * time.Second), ConfirmedAt: taken},
		{Endpoint: roster.Incarnation{ID: "f"}, Limit: advisory.Unlimited{}, HeardAt: taken.Add(-time.Second)},
		{Endpoint: roster.Incarnation{ID: "g"}, Limit: advisory.Unlimited{}, Leaving: true},
	}))
}

// A gateway whose clock jumps must not tell of the future.
func TestWhatIsToldIsNeverOfTheFuture(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	limit, age := -1.0, int64(-5000)
	got := advisory.Unpack([]member.Advice{{ID: "e", Limit: &limit, HeardMS: &age}}, now)
	g.Expect(got).To(Equal([]advisory.Record{{Endpoint: roster.Incarnation{ID: "e"}, Limit: advisory.PerSecond(0), HeardAt: now}}))
}
