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

// An endpoint crashed without a word and was back at its address under its ID. The gateway
// went on with connections of its earlier life, and what was sent there was lost.
func TestConnectionsOfAnEarlierLifeAreNotUsed(t *testing.T) {
	for _, c := range []struct {
		name        string
		first, next roster.Incarnation
		connections int32
	}{
		{"one life", roster.Incarnation{ID: "e", Born: 5}, roster.Incarnation{ID: "e", Born: 5}, 1},
		{"started again", roster.Incarnation{ID: "e", Born: 5}, roster.Incarnation{ID: "e", Born: 6}, 2},
		{"another endpoint has the address", roster.Incarnation{ID: "e", Born: 5}, roster.Incarnation{ID: "f", Born: 5}, 2},
		{"older programs do not tell", roster.Incarnation{ID: "e", Born: 5}, roster.Incarnation{ID: "e"}, 1},
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
			client.Keep(map[string]roster.Incarnation{addr: c.first}, time.Now())
			send()
			client.Keep(map[string]roster.Incarnation{addr: c.first}, time.Now())
			client.Keep(map[string]roster.Incarnation{addr: c.next}, time.Now())
			send()
			g.Expect(opened.Load()).To(Equal(c.connections))
		})
	}
}
