package unreadable_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway/unreadable"
)

func TestEveryRecordIsCountedButFewAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var out bytes.Buffer
		registry := metrics.NewRegistry()
		r := unreadable.New("servers", registry, log.New(&out))
		for range 1000 {
			r.Report("x", errors.New("no service"))
			time.Sleep(20 * time.Millisecond)
		}
		g.Expect(strings.Count(out.String(), "record not used")).To(Equal(2), "one at once, one after 10 s")
		g.Expect(registry.Get("gateway.unreadable.servers").(metrics.Counter).Count()).To(Equal(int64(1000)))
	})
}
