package session_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/standalone/caller"
)

// TestAnEntryHoldsNoMoreOfAnswersThanItMay guards against entries that run out of memory with the answers of a faulty engine.
func TestAnEntryHoldsNoMoreOfAnswersThanItMay(t *testing.T) {
	const held = 1 << 20
	for name, headers := range map[string][]string{"plain": nil, "marked": {caller.HeaderRepeat, caller.RepeatNever}} {
		t.Run(name, func(t *testing.T) {
			started(t, 1, 1, func(w *world) {
				e := w.entries["entry-0"]
				w.killEntry("entry-0")
				e.cfg.MaxHeldBytes = held
				w.startEntry(e.cfg)
				w.live(0, "v1", 1, 30*time.Second)
				time.Sleep(time.Second)
				answerOf := func(size int) answer {
					w.plain["quotes-0"].SendRaw(func(string) string {
						return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
					})
					return w.send(0, "/services/quotes/alert/1", `{"alert":1}`, headers...)
				}
				for range 3 {
					a := answerOf(held + 1)
					w.g.Expect(a.status).To(BeNumerically(">=", http.StatusInternalServerError))
					w.g.Expect(a.body).To(ContainSubstring("no memory"))
					b := answerOf(held)
					w.g.Expect(b.status).To(Equal(http.StatusOK))
					w.g.Expect(b.body).To(HaveLen(held))
				}
			})
		})
	}
}
