package telemetry_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/telemetry"
)

// stalled is a writer that stands still until it is released.
type stalled struct {
	release chan struct{}

	mu  sync.Mutex
	got bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func TestAWriterNeverWaitsAndSaysWhatItDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &stalled{release: make(chan struct{})}
		w := telemetry.NewWriter(s)
		line := strings.Repeat("x", 1023) + "\n"
		began := time.Now()
		const lines = 1000
		for range lines {
			n, err := w.Write([]byte(line))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(n).To(Equal(len(line)))
		}
		g.Expect(time.Since(began)).To(BeZero())
		close(s.release)
		time.Sleep(time.Second)
		g.Expect(w.Close()).To(Succeed())
		written := strings.Count(s.got.String(), line)
		g.Expect(written).To(BeNumerically("<", lines))
		g.Expect(s.got.String()).To(ContainSubstring(fmt.Sprintf(`"lines":%d`, lines-written)))
	})
}

func TestAClosedWriterHasWrittenWhatItTook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &stalled{release: make(chan struct{})}
		close(s.release)
		w := telemetry.NewWriter(s)
		_, _ = w.Write([]byte("one\n"))
		_, _ = w.Write([]byte("two\n"))
		g.Expect(w.Close()).To(Succeed())
		g.Expect(s.got.String()).To(Equal("one\ntwo\n"))
	})
}

func TestClosingDoesNotWaitForAWriterThatStandsStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &stalled{release: make(chan struct{})}
		w := telemetry.NewWriter(s)
		_, _ = w.Write([]byte("one\n"))
		began := time.Now()
		g.Expect(w.Close()).To(Succeed())
		g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		close(s.release)
	})
}
