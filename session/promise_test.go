package session_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestARequestIsServedEndToEnd(t *testing.T) {
	play(t, 2, 3, func(w *world) {
		time.Sleep(2 * time.Second)
		_, err := w.apply(0, "ada", 0, basics(0)...)
		w.g.Expect(err).NotTo(HaveOccurred())
		w.live(1, "v1", 3, 30*time.Second)
		for i := range 2 {
			a := w.ask(i, "two nights in Mandeville", 8)
			w.g.Expect(a.right(8)).To(BeTrue(), a.body)
		}
		p := w.send(0, "/services/quotes/alert/1", `{"alert":1}`)
		w.g.Expect(p.status).To(Equal(200), p.body)
	})
}
