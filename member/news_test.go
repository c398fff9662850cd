package member_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/roster"
)

// fatalRequest is a request that makes endpoints terminate.
var fatalRequest = &poison.Request{Method: "POST", URI: "/go", Account: "acme", Body: []byte("fatal")}

// fatalPart is a part of its prompt.
var fatalPart = poison.PartID{1}.Key("s")

// reportFailures makes each of three gateways observe that an endpoint terminated during the
// request.
func reportFailures(nodes []*node) {
	for i := range 3 {
		at := nodes[i*(len(nodes)-1)/2]
		at.poison.RecordCrash(&poison.Suspects{Request: fatalRequest, Parts: []poison.Key{fatalPart}}, roster.Incarnation{ID: fmt.Sprint("e", i)}, time.Now())
	}
}

// quarantinedBy returns how many of nodes have quarantined the request.
func quarantinedBy(nodes []*node) int {
	count := 0
	for _, n := range nodes {
		if n.poison.State(fatalRequest.Key()) == poison.Quarantined {
			count++
		}
	}
	return count
}

// propagationCases are fleets with the time within which information from one gateway reaches
// all.
var propagationCases = []struct {
	size int
	loss float64
	// within allows some milliseconds of transit and a delay of 20 ms for each hop, of which
	// there are three with relays. Lost information arrives with the next heartbeat.
	within time.Duration
}{
	{6, 0, 50 * time.Millisecond},
	{39, 0, 100 * time.Millisecond},
	{60, 0, 100 * time.Millisecond},
	{6, 0.05, 600 * time.Millisecond},
	{39, 0.05, 600 * time.Millisecond},
}

// Copies of a request reach many gateways within tens of milliseconds. Each gateway that has
// not heard of the terminated endpoints would send the request to one more.
func TestEndsUnderARequestAreKnownByAllSoon(t *testing.T) {
	for _, c := range propagationCases {
		t.Run(fmt.Sprintf("%d gateways, loss %g", c.size, c.loss), func(t *testing.T) {
			runFleet(t, c.size, func(f *fleet, nodes []*node) {
				f.mu.Lock()
				f.loss = c.loss
				f.mu.Unlock()
				reportFailures(nodes)
				time.Sleep(c.within)
				f.Expect(quarantinedBy(nodes)).To(Equal(c.size))
			})
		})
	}
}

// A gateway that was partitioned or has just started learns of quarantined requests before it
// counts as connected.
func TestWhoWasCutOffIsToldOfQuarantinedRequests(t *testing.T) {
	for _, size := range []int{6, 39} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, func(f *fleet, nodes []*node) {
				away := nodes[size-1]
				f.mu.Lock()
				f.blocked = func(from, to string) bool { return from == away.entry.Name || to == away.entry.Name }
				f.mu.Unlock()
				for i := range 3 {
					nodes[i].poison.RecordCrash(&poison.Suspects{Request: fatalRequest, Parts: []poison.Key{fatalPart}}, roster.Incarnation{ID: fmt.Sprint("e", i)}, time.Now())
				}
				time.Sleep(5 * time.Second)
				f.Expect(quarantinedBy(nodes)).To(Equal(size - 1))
				f.mu.Lock()
				f.blocked = nil
				f.mu.Unlock()
				time.Sleep(2500 * time.Millisecond) // within the platform's contact time of 3 s
				f.Expect(quarantinedBy(nodes)).To(Equal(size))
			})
		})
	}
}

func TestNothingIsToldWhileNoEndpointEnds(t *testing.T) {
	runFleet(t, 6, func(f *fleet, nodes []*node) {
		f.Expect(nodes[0].describe().Poison).To(BeEmpty())
	})
}
