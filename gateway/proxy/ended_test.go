package proxy_test

import (
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// crash ends the endpoint with this ID once a request comes: its connections break, and
// none can be opened until it is back.
func (w *world) crash(id string) step {
	return func(net.Conn, *http.Request) bool {
		w.end(id)
		return false
	}
}

// end ends an endpoint's process.
func (w *world) end(id string) {
	w.setDown(id, true)
	w.endpoints[id].closeAll()
}

func TestTheEndOfAnEndpointIsToldWithWhatTheRequestsCopiesShare(t *testing.T) {
	play(t, func(w *world) {
		w.endpoints["e0"].script = []step{w.crash("e0")}
		w.endpoints["e1"].script = []step{w.crash("e1")}
		w.ask("POST", "/safe/", "x")
		ended := w.lines.with("endpoint ended")
		w.g.Expect(ended).To(HaveLen(2))
		w.g.Expect(ended[0]["endpoint"]).To(Equal("e0"))
		w.g.Expect(ended[1]["endpoint"]).To(Equal("e1"))
		w.g.Expect(ended[0]["key"]).To(Equal(ended[1]["key"]))
		w.g.Expect(w.metrics.Ended.Count()).To(Equal(int64(2)))
	}, always(hang), always(hang))
}

func TestAnAnswerThatBreaksOffIsNoEndOfItsEndpoint(t *testing.T) {
	play(t, func(w *world) {
		w.ask("POST", "/safe/", "x")
		w.g.Expect(w.lines.with("attempt failed")).NotTo(BeEmpty())
		w.g.Expect(w.lines.with("endpoint ended")).To(BeEmpty())
	}, always(raw("HTTP/1.1 200 OK\r\nId: r1\r\nStamp: st\r\nContent-Length: 9\r\n\r\nhalf")), always(text(200, "whole")))
}
