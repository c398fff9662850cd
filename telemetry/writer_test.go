package telemetry_test

import (
	"bytes"
	"fmt"
	"regexp"
	"runtime"
	"strconv"
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

// A run of CI beside busy processes found the whole count in no line: the Writer's
// goroutine had started only in the middle of the lines, so that what was dropped before
// and after that was told in two lines. The count of all lines together is what must hold,
// whenever it starts. On one processor it starts where the test waits for it.
func TestAWriterNeverWaitsAndSaysWhatItDropped(t *testing.T) {
	const lines = 1000
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, startsAt := range []int{0, 300, 500, 999, lines} {
		t.Run(fmt.Sprintf("started after %d lines", startsAt), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &stalled{release: make(chan struct{})}
				w := telemetry.NewWriter(s)
				line := strings.Repeat("x", 1023) + "\n"
				began := time.Now()
				for i := range lines {
					if i == startsAt {
						synctest.Wait()
					}
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
				g.Expect(toldDropped(g, s.got.String())).To(Equal(lines - written))
			})
		})
	}
}

var droppedLines = regexp.MustCompile(`"msg":"log lines dropped","lines":(\d+)`)

// toldDropped returns how many lines log says were dropped, in all.
func toldDropped(g Gomega, log string) int {
	sum := 0
	for _, told := range droppedLines.FindAllStringSubmatch(log, -1) {
		n, err := strconv.Atoi(told[1])
		g.Expect(err).NotTo(HaveOccurred())
		sum += n
	}
	return sum
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
