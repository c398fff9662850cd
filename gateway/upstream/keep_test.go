package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/roster"
)

// An endpoint crashed without closing its connections and restarted at the same address under
// the same ID. The gateway reused connections to the earlier incarnation, and the requests sent
// on them were lost.
func TestConnectionsOfAnEarlierLifeAreNotUsed(t *testing.T) {
	for _, c := range []struct {
		name        string
		first, next roster.Incarnation
		connections int32
	}{
		{"same incarnation", roster.Incarnation{ID: "e", Born: 5}, roster.Incarnation{ID: "e", Born: 5}, 1},
		{"restarted", roster.Incarnation{ID: "e", Born: 5}, roster.Incarnation{ID: "e", Born: 6}, 2},
		{"another endpoint has the address", roster.Incarnation{ID: "e", Born: 5}, roster.Incarnation{ID: "f", Born: 5}, 2},
		{"older version without a start time", roster.Incarnation{ID: "e", Born: 5}, roster.Incarnation{ID: "e"}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var opened atomic.Int32
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					opened.Add(1)
				}
			}
			server.Start()
			defer server.Close()
			addr := strings.TrimPrefix(server.URL, "http://")
			client := upstream.NewClient()
			send := func() {
				x, failure := client.Do(context.Background(), addr, &upstream.Request{Method: "GET", URI: "/", Host: "h"}, upstream.Options{})
				g.Expect(failure).To(BeNil())
				_, err := io.Copy(io.Discard, x)
				g.Expect(err).NotTo(HaveOccurred())
				x.Close()
			}
			client.Prune(map[string]roster.Incarnation{addr: c.first}, time.Now())
			send()
			client.Prune(map[string]roster.Incarnation{addr: c.first}, time.Now())
			client.Prune(map[string]roster.Incarnation{addr: c.next}, time.Now())
			send()
			g.Expect(opened.Load()).To(Equal(c.connections))
		})
	}
}
