package telemetry_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/telemetry"
)

// idle is a process without state that is ready.
type idle struct{}

func (idle) Ready() error { return nil }
func (idle) State() any   { return nil }

func TestProfilesAreServedOnlyIfAskedFor(t *testing.T) {
	for profiles, want := range map[bool]int{false: http.StatusNotFound, true: http.StatusOK} {
		h := telemetry.NewObserveHandler(metrics.NewRegistry(), idle{}, profiles)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/debug/pprof/heap", nil))
		NewWithT(t).Expect(w.Code).To(Equal(want))
	}
}
