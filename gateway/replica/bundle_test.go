package replica_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/replica"
	"github.com/silverdeck/silverdeck/mirror"
)

// records returns n records of endpoints as the platform's store has them.
func records(n int) []mirror.Object {
	var out []mirror.Object
	for i := range n {
		out = append(out, object(fmt.Sprintf("i-%08x", 2654435761*uint32(i+1)), int64(i+1), fmt.Sprintf(
			`{"service":"claims","addr":"10.%d.%d.%d:8463","zone":"hall-%d","slots":8,"state":"ready","sequence":%d,`+
				`"born":%d,"models":[{"model":"m0","version":2,"layers":[0,1,2,3,4,5,6,7,8,9,10,11,12,13,14,15]}],`+
				`"engine":{"step_ms":11.1,"prefill_tokens_per_ms":21.3,"report_lag_ms":200}}`,
			i%5, i/250, i%250, i%5, i*7, 1790000000000+int64(i)*911)))
	}
	return out
}

// wireSize returns how many bytes an answer of s takes.
func wireSize(g Gomega, s *replica.Service, q replica.StateRequest) int {
	var reply replica.StateReply
	g.Expect(s.State(q, &reply)).To(Succeed())
	var b bytes.Buffer
	g.Expect(gob.NewEncoder(&b).Encode(reply)).To(Succeed())
	return b.Len()
}

// All of 149 gateways and 120 endpoints had lost their power. The gateways had the
// configuration half a second after they had started, but the list of endpoints after
// 1.3 s in the median and 3.4 s at the most: of each zone's 30 gateways 28 took 512 small
// records, and each change of them, from the two that read the store, over whose links
// they did not fit. With 15 gateways and 25 endpoints nobody waited.
func TestTheListOfALargeFleetIsSentAsOneBundle(t *testing.T) {
	g := NewWithT(t)
	source := newGateway("a0")
	source.give(endpoints, 512, records(512)...)
	s := replica.NewService(source.mirrors)
	plain := wireSize(g, s, replica.StateRequest{Kind: endpoints})
	bundled := wireSize(g, s, replica.StateRequest{Kind: endpoints, Bundles: true})
	t.Logf("%d bytes, %d as a bundle", plain, bundled)
	g.Expect(bundled).To(BeNumerically("<", plain/6))
	change := wireSize(g, s, replica.StateRequest{Kind: endpoints, Changed: 502, Bundles: true})
	t.Logf("a change of ten %d as a bundle", change)
	g.Expect(change).To(BeNumerically("<", plain/20))
}

func TestABundleIsTakenInAsWhatItHolds(t *testing.T) {
	g := NewWithT(t)
	source, taker := newGateway("a0"), newGateway("a1")
	list := records(300)
	list = append(list, object("large", 301, `"`+string(bytes.Repeat([]byte("route "), 4000))+`"`))
	source.give(endpoints, 301, list...)
	taker.Fetch(context.Background(), endpoints, source.serving(t))
	g.Expect(taker.mirrors[endpoints].State().Objects).To(Equal(source.mirrors[endpoints].State().Objects))
	list = append(list, object("i-new", 302, `{}`))
	source.give(endpoints, 302, list...)
	taker.Fetch(context.Background(), endpoints, source.serving(t))
	g.Expect(taker.mirrors[endpoints].State().Objects).To(HaveLen(302))
	g.Expect(taker.mirrors[endpoints].State().Version()).To(Equal(source.mirrors[endpoints].State().Version()))
}

// A gateway of an older program does not know of bundles.
func TestWhoDoesNotAskForABundleGetsNone(t *testing.T) {
	g := NewWithT(t)
	source := newGateway("a0")
	source.give(endpoints, 300, records(300)...)
	var reply replica.StateReply
	g.Expect(replica.NewService(source.mirrors).State(replica.StateRequest{Kind: endpoints}, &reply)).To(Succeed())
	g.Expect(reply.Bundle).To(BeEmpty())
	g.Expect(reply.Delta.Objects).To(HaveLen(300))
}

// brokenService answers with a bundle that can't be read.
type brokenService struct{}

// State implements the call of replica.Service.
func (brokenService) State(_ replica.StateRequest, reply *replica.StateReply) error {
	reply.Bundle = []byte("no bundle")
	return nil
}

func TestABundleThatCantBeReadCostsNothing(t *testing.T) {
	g := NewWithT(t)
	taker := newGateway("a1")
	taker.give(endpoints, 3, records(3)...)
	taker.Fetch(context.Background(), endpoints, serve(t, brokenService{}))
	g.Expect(taker.mirrors[endpoints].State().Objects).To(HaveLen(3))
}
