package proxy_test

import (
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// crash returns a handler that ends the endpoint id: its connections break, and it refuses new
// ones until it is set up again.
func (w *harness) crash(id string) handler {
	return func(net.Conn, *http.Request) bool {
		w.end(id)
		return false
	}
}

// end simulates the end of an endpoint's process.
func (w *harness) end(id string) {
	w.setDown(id, true)
	w.endpoints[id].closeAll()
}

func TestTheEndOfAnEndpointIsLoggedWithTheRequestKey(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.endpoints["e0"].script = []handler{w.crash("e0")}
		w.endpoints["e1"].script = []handler{w.crash("e1")}
		w.send("POST", "/safe/", "x")
		ended := w.logs.withMessage("endpoint ended")
		w.g.Expect(ended).To(HaveLen(2))
		w.g.Expect(ended[0]["endpoint"]).To(Equal("e0"))
		w.g.Expect(ended[1]["endpoint"]).To(Equal("e1"))
		w.g.Expect(ended[0]["key"]).To(Equal(ended[1]["key"]))
		w.g.Expect(w.metrics.Ended.Count()).To(Equal(int64(2)))
	}, always(hang), always(hang))
}

func TestAnAnswerThatBreaksOffIsNoEndOfItsEndpoint(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.send("POST", "/safe/", "x")
		w.g.Expect(w.logs.withMessage("attempt failed")).NotTo(BeEmpty())
		w.g.Expect(w.logs.withMessage("endpoint ended")).To(BeEmpty())
	}, always(raw("HTTP/1.1 200 OK\r\nId: r1\r\nStamp: st\r\nContent-Length: 9\r\n\r\nhalf")), always(respond(200, "whole")))
}
