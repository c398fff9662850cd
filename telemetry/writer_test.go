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

// blockingWriter is a writer that blocks until release is closed.
type blockingWriter struct {
	release chan struct{}

	mu  sync.Mutex
	got bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

// The number of dropped lines may be reported in several log lines: if the Writer's goroutine
// starts while lines are being written, as on a loaded CI machine, the lines dropped before and
// after its start are reported separately. The sum has to be right whenever it starts. With
// GOMAXPROCS(1) the goroutine starts where the test calls synctest.Wait.
func TestWriterNeverBlocksAndReportsDroppedLines(t *testing.T) {
	const lines = 1000
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, startsAt := range []int{0, 300, 500, 999, lines} {
		t.Run(fmt.Sprintf("started after %d lines", startsAt), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &blockingWriter{release: make(chan struct{})}
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
				g.Expect(reportedDropped(g, s.got.String())).To(Equal(lines - written))
			})
		})
	}
}

var droppedLines = regexp.MustCompile(`"msg":"log lines dropped","lines":(\d+)`)

// reportedDropped returns the sum of the dropped lines that log reports.
func reportedDropped(g Gomega, log string) int {
	sum := 0
	for _, match := range droppedLines.FindAllStringSubmatch(log, -1) {
		n, err := strconv.Atoi(match[1])
		g.Expect(err).NotTo(HaveOccurred())
		sum += n
	}
	return sum
}

func TestCloseWritesBufferedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &blockingWriter{release: make(chan struct{})}
		close(s.release)
		w := telemetry.NewWriter(s)
		_, _ = w.Write([]byte("one\n"))
		_, _ = w.Write([]byte("two\n"))
		g.Expect(w.Close()).To(Succeed())
		g.Expect(s.got.String()).To(Equal("one\ntwo\n"))
	})
}

func TestCloseDoesNotWaitForABlockedWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &blockingWriter{release: make(chan struct{})}
		w := telemetry.NewWriter(s)
		_, _ = w.Write([]byte("one\n"))
		began := time.Now()
		g.Expect(w.Close()).To(Succeed())
		g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		close(s.release)
	})
}
