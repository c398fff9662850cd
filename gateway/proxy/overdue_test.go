package proxy_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestAnAnswerOnWeightsPastTheirLimitIsCounted(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.weightsDeadline = time.Now().Add(time.Second)
		w.send("POST", "/stream/", "x")
		w.g.Expect(w.metrics.Overdue.Count()).To(BeZero())
		time.Sleep(time.Second)
		w.send("POST", "/stream/", "x")
		w.g.Expect(w.metrics.Overdue.Count()).To(Equal(int64(1)))
	}, always(respond(http.StatusOK, stream(1), "Weights: 1")))
}
