package standin_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/standin"
)

// TestACrashThatIsRecordedLateIsNoLossOfTheGateway guards against an endpoint that counts as at work after its crash.
func TestACrashThatIsRecordedLateIsNoLossOfTheGateway(t *testing.T) {
	for _, tc := range []struct {
		name    string
		after   time.Duration
		aborted bool
		want    bool
	}{
		{"aborted by the endpoint", 20 * time.Millisecond, true, true},
		{"ended by its gateway", 20 * time.Millisecond, false, false},
		{"goes on", time.Second, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := standin.NewRecorder()
				r.RunStarted("r", "", "")
				ended := time.Now()
				time.AfterFunc(tc.after, func() { r.RunEnded("r", tc.aborted) })
				run := r.SettledRuns("r")
				NewWithT(t).Expect(run.AbortedByEndpoint(ended)).To(Equal(tc.want))
				time.Sleep(tc.after)
			})
		})
	}
}
