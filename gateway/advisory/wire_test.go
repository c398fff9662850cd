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

// Gateway clocks differ, so the times of records are sent as ages and restored relative to the
// receiver's clock.
func TestRecordsKeepTheirAgesInTransit(t *testing.T) {
	g := NewWithT(t)
	sent := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	received := sent.Add(-time.Hour)
	records := []advisory.Record{
		{Endpoint: roster.Incarnation{ID: "e", Born: 5}, Limit: advisory.PerSecond(0), HeardAt: sent.Add(-3 * time.Second), ConfirmedAt: sent},
		{Endpoint: roster.Incarnation{ID: "f"}, Limit: advisory.Unlimited{}, HeardAt: sent.Add(-time.Second)},
		{Endpoint: roster.Incarnation{ID: "g"}, Limit: advisory.Unlimited{}, Leaving: true},
	}
	data, err := json.Marshal(advisory.Encode(records, sent))
	g.Expect(err).NotTo(HaveOccurred())
	var decoded []member.Advice
	g.Expect(json.Unmarshal(data, &decoded)).To(Succeed())
	g.Expect(advisory.Decode(decoded, received)).To(Equal([]advisory.Record{
		{Endpoint: roster.Incarnation{ID: "e", Born: 5}, Limit: advisory.PerSecond(0), HeardAt: received.Add(-3 * time.Second), ConfirmedAt: received},
		{Endpoint: roster.Incarnation{ID: "f"}, Limit: advisory.Unlimited{}, HeardAt: received.Add(-time.Second)},
		{Endpoint: roster.Incarnation{ID: "g"}, Limit: advisory.Unlimited{}, Leaving: true},
	}))
}

// A gateway whose clock jumps back sends negative ages, which must not yield times in the
// receiver's future.
func TestDecodedTimesAreNeverInTheFuture(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	limit, age := -1.0, int64(-5000)
	got := advisory.Decode([]member.Advice{{ID: "e", Limit: &limit, HeardMS: &age}}, now)
	g.Expect(got).To(Equal([]advisory.Record{{Endpoint: roster.Incarnation{ID: "e"}, Limit: advisory.PerSecond(0), HeardAt: now}}))
}
