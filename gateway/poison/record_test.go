package poison_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/roster"
)

// incarnation returns the n-th incarnation of an endpoint.
func incarnation(n int) roster.Incarnation {
	return roster.Incarnation{ID: "e", Born: int64(n + 1)}
}

func record(generation uint32, relapses uint8, crashes ...poison.Incarnation) poison.Record {
	return poison.Record{Key: request().Key(), Generation: generation, Relapses: relapses, Crashes: crashes}
}

func TestStateDependsOnCrashesAndRelapses(t *testing.T) {
	for _, c := range []struct {
		record poison.Record
		want   poison.State
	}{
		{record(0, 0), poison.Clear},
		{record(0, 0, 1), poison.Suspected},
		{record(0, 0, 1, 2), poison.Suspected},
		{record(0, 0, 1, 2, 3), poison.Quarantined},
		{record(4, 1), poison.Clear},
		{record(4, 1, 1), poison.Quarantined},
	} {
		NewWithT(t).Expect(c.record.State()).To(Equal(c.want), "%+v", c.record)
	}
}

func TestJoinIsIdempotentCommutativeAndAssociative(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(1, 1))
	draw := func() poison.Record {
		out := record(uint32(r.IntN(2)), uint8(r.IntN(2)))
		for range r.IntN(4) {
			out.Crashes = append(out.Crashes, poison.Incarnation(r.IntN(4)))
		}
		return poison.Join(out, record(out.Generation, 0)) // sorted and without duplicates, as gossip is
	}
	for range 2000 {
		a, b, c := draw(), draw(), draw()
		g.Expect(poison.Join(a, a)).To(Equal(a))
		g.Expect(poison.Join(a, b)).To(Equal(poison.Join(b, a)))
		g.Expect(poison.Join(poison.Join(a, b), c)).To(Equal(poison.Join(a, poison.Join(b, c))))
	}
}

func TestJoinCountsACrashOnce(t *testing.T) {
	g := NewWithT(t)
	g.Expect(poison.IncarnationOf(incarnation(1))).To(Equal(poison.IncarnationOf(incarnation(1))))
	g.Expect(poison.IncarnationOf(incarnation(1))).NotTo(Equal(poison.IncarnationOf(incarnation(2))), "the endpoint was restarted")
	g.Expect(poison.Join(record(0, 0, 7), record(0, 0, 7)).Crashes).To(HaveLen(1))
}

func TestJoinIgnoresEarlierGenerations(t *testing.T) {
	g := NewWithT(t)
	g.Expect(poison.Join(record(1, 0), record(0, 0, 1, 2, 3))).To(Equal(record(1, 0)))
}

func TestUnpackReversesPack(t *testing.T) {
	g := NewWithT(t)
	sent := []poison.Record{record(3, 1, 5, 6), record(0, 0), record(9, 0, 1, 2, 3)}
	sent = append(sent, record(9, 0, 1, 2, 3, 4, 5, 6, 7, 8))
	data := poison.Pack(sent)
	g.Expect(poison.Unpack(data)).To(Equal(sent))
	for n := range data { // truncated anywhere, it yields only complete records
		g.Expect(len(poison.Unpack(data[:n]))).To(BeNumerically("<", len(sent)))
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add(poison.Pack([]poison.Record{record(3, 1, 5, 6)}))
	f.Add([]byte("x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		for _, r := range poison.Unpack(data) {
			g.Expect(len(r.Crashes)).To(BeNumerically("<=", 8))
			g.Expect(poison.Unpack(poison.Pack([]poison.Record{r}))).To(Equal([]poison.Record{r}))
		}
	})
}

func TestQuarantineTimeDoublesWithEachRelapse(t *testing.T) {
	g := NewWithT(t)
	for n := range uint8(4) {
		g.Expect(poison.QuarantineTime(n + 1)).To(Equal(2 * poison.QuarantineTime(n)))
	}
	g.Expect(poison.QuarantineTime(200)).To(Equal(poison.QuarantineTime(4)))
}
