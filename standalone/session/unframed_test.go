package session_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/standalone/standin"
	"github.com/silverdeck/silverdeck/standalone/ticket"
)

// TestAPlainAnswerWithoutALengthDoesNotLookComplete guards against a promise that the service did not give.
func TestAPlainAnswerWithoutALengthDoesNotLookComplete(t *testing.T) {
	started(t, 2, 1, func(w *world) {
		whole := w.send(0, "/services/quotes/alert/1", `{"alert":1}`)
		w.g.Expect(whole.marked).To(BeTrue())
		w.plain["quotes-0"].CutUnframed()
		text := between(w.send(0, "/v1/tickets", "").body, `"ticket":"`, `"`)
		for i := range 3 { // run, passed on to the entry of the ticket, and repeated from what that kept
			cut := w.send((i+1)%2, "/services/quotes/alert/2", `{"alert":2}`, ticket.Header, text)
			w.g.Expect(cut.err).NotTo(HaveOccurred())
			w.g.Expect(standin.PlainAnswer("/alert/2", []byte(`{"alert":2}`))).To(HavePrefix(cut.body))
			w.g.Expect(cut.marked).To(BeFalse())
		}
	})
}
