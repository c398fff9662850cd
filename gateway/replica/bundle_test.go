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

// records returns n endpoint records as stored by the platform.
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

// wireSize returns the encoded size of the reply to q.
func wireSize(g Gomega, s *replica.Service, q replica.StateRequest) int {
	var reply replica.StateReply
	g.Expect(s.State(q, &reply)).To(Succeed())
	var b bytes.Buffer
	g.Expect(gob.NewEncoder(&b).Encode(reply)).To(Succeed())
	return b.Len()
}

// 149 gateways and 120 endpoints restarted after a complete power loss. The gateways had the
// configuration within 0.5 s of their start, but the list of endpoints only after 1.3 s
// (median) to 3.4 s: in each zone, 28 of the 30 gateways fetched 512 small records, and every
// change to them, from the two that watch the store, which exceeded the capacity of their
// links. With 15 gateways and 25 endpoints there was no delay.
func TestTheListOfALargeFleetIsSentAsOneBundle(t *testing.T) {
	g := NewWithT(t)
	source := newGateway("a0")
	source.setCopy(endpoints, 512, records(512)...)
	s := replica.NewService(source.mirrors)
	plain := wireSize(g, s, replica.StateRequest{Kind: endpoints})
	bundled := wireSize(g, s, replica.StateRequest{Kind: endpoints, Bundles: true})
	t.Logf("%d bytes, bundled %d bytes", plain, bundled)
	g.Expect(bundled).To(BeNumerically("<", plain/6))
	change := wireSize(g, s, replica.StateRequest{Kind: endpoints, Changed: 502, Bundles: true})
	t.Logf("ten changed records, bundled: %d bytes", change)
	g.Expect(change).To(BeNumerically("<", plain/20))
}

func TestABundleYieldsTheSameCopy(t *testing.T) {
	g := NewWithT(t)
	source, target := newGateway("a0"), newGateway("a1")
	list := records(300)
	list = append(list, object("large", 301, `"`+string(bytes.Repeat([]byte("route "), 4000))+`"`))
	source.setCopy(endpoints, 301, list...)
	target.Fetch(context.Background(), endpoints, source.serve(t))
	g.Expect(target.mirrors[endpoints].State().Objects).To(Equal(source.mirrors[endpoints].State().Objects))
	list = append(list, object("i-new", 302, `{}`))
	source.setCopy(endpoints, 302, list...)
	target.Fetch(context.Background(), endpoints, source.serve(t))
	g.Expect(target.mirrors[endpoints].State().Objects).To(HaveLen(302))
	g.Expect(target.mirrors[endpoints].State().Version()).To(Equal(source.mirrors[endpoints].State().Version()))
}

// Gateways running an older version do not support bundles.
func TestNoBundleIsSentUnlessRequested(t *testing.T) {
	g := NewWithT(t)
	source := newGateway("a0")
	source.setCopy(endpoints, 300, records(300)...)
	var reply replica.StateReply
	g.Expect(replica.NewService(source.mirrors).State(replica.StateRequest{Kind: endpoints}, &reply)).To(Succeed())
	g.Expect(reply.Bundle).To(BeEmpty())
	g.Expect(reply.Delta.Objects).To(HaveLen(300))
}

// brokenService responds with a bundle that cannot be decoded.
type brokenService struct{}

// State implements the RPC method of replica.Service.
func (brokenService) State(_ replica.StateRequest, reply *replica.StateReply) error {
	reply.Bundle = []byte("no bundle")
	return nil
}

func TestAnUnreadableBundleLeavesTheCopyUnchanged(t *testing.T) {
	g := NewWithT(t)
	target := newGateway("a1")
	target.setCopy(endpoints, 3, records(3)...)
	target.Fetch(context.Background(), endpoints, serve(t, brokenService{}))
	g.Expect(target.mirrors[endpoints].State().Objects).To(HaveLen(3))
}
