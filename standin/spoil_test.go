package standin_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/standin"
)

// pipes is a listener of connections in memory.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	c, open := <-p
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p pipes) Close() error   { return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

const (
	spoilRequest = "POST /x HTTP/1.1\r\nHost: a\r\nX-Silverdeck-Attempt-Id: r1\r\nContent-Length: 0\r\n\r\n"
	// enough is more than what any shape with an end sends, in bytes.
	enough = 1 << 20
)

// answerSpoiled sends one request that runs and returns the beginning of what comes back, and how it ended.
func answerSpoiled(shape standin.Shape, stream bool) (answer []byte, ran bool, err error) {
	p := make(pipes, 1)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran = true
		w.Header().Set("X-Silverdeck-Attempt-Id", r.Header.Get("X-Silverdeck-Attempt-Id"))
		w.Header().Set("X-Silverdeck-Response-Stamp", "i-1")
		if stream {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		_, _ = io.WriteString(w, standin.FormatEvent("r1", 1))
	})}
	served := make(chan struct{})
	go func() {
		_ = s.Serve(&standin.SpoilingListener{Listener: p, Spoil: func(string) standin.Shape { return shape }})
		close(served)
	}()
	near, far := net.Pipe()
	p <- far
	go func() { _, _ = io.WriteString(near, spoilRequest) }()
	answer, err = readSome(near)
	_ = near.Close()
	close(p)
	<-served
	_ = s.Close()
	return answer, ran, err
}

// readSome reads until the end, until enough has come, or until nothing comes any more.
func readSome(c net.Conn) ([]byte, error) {
	var all bytes.Buffer
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	_, err := io.CopyN(&all, c, enough)
	return all.Bytes(), err
}

func TestSpoiledAnswersRan(t *testing.T) {
	for group, shapes := range standin.ShapeGroups {
		for _, shape := range shapes {
			for _, stream := range []bool{false, true} {
				name := string(shape)
				if stream {
					name += ", stream"
				}
				t.Run(name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						g := NewWithT(t)
						sound, _, _ := answerSpoiled(standin.Sound, stream)
						answer, ran, err := answerSpoiled(shape, stream)
						g.Expect(ran).To(BeTrue())
						due := strings.Index(string(answer), "HTTP/1.1 200 OK\r\n")
						switch group {
						case "endless":
							g.Expect(err).NotTo(HaveOccurred(), "the answer has an end")
							g.Expect(answer).To(HaveLen(enough))
						case "cut":
							g.Expect(err).To(MatchError(io.EOF))
							g.Expect(string(answer)).NotTo(HaveSuffix("\n\n\r\n0\r\n\r\n"))
						case "continued":
							g.Expect(string(answer)).To(ContainSubstring("X-Silverdeck-Response-Stamp: "))
							g.Expect(string(answer)).NotTo(Equal(string(sound)), "the answer is sound")
						case "invalid":
							g.Expect(string(answer)).To(ContainSubstring("X-Silverdeck-Response-Stamp: i-1\r\n"))
							g.Expect(string(answer)).To(ContainSubstring(standin.FormatEvent("r1", 1)))
							g.Expect(string(answer)).To(MatchRegexp(`HTTP/1.1 000|\nX Standin:|\nX\x01Standin:|(Content-Length|Transfer-Encoding) :`))
						default:
							g.Expect(due).To(BeNumerically(">", 0), "nothing comes before the answer")
							g.Expect(string(answer[due:])).To(ContainSubstring("X-Silverdeck-Response-Stamp: i-1\r\n"))
							g.Expect(string(answer[due:])).To(ContainSubstring(standin.FormatEvent("r1", 1)))
						}
					})
				})
			}
		}
	}
}

func TestAnswersOfRequestsThatDidNotRunStaySound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := make(pipes, 1)
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Silverdeck-Attempt-Id", "r1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})}
		served := make(chan struct{})
		go func() {
			_ = s.Serve(&standin.SpoilingListener{Listener: p, Spoil: func(string) standin.Shape { return standin.CutHead }})
			close(served)
		}()
		near, far := net.Pipe()
		p <- far
		go func() { _, _ = io.WriteString(near, spoilRequest) }()
		answer, _ := readSome(near)
		NewWithT(t).Expect(string(answer)).To(And(HavePrefix("HTTP/1.1 503 "), ContainSubstring("\r\n\r\n")))
		_ = near.Close()
		close(p)
		<-served
		_ = s.Close()
	})
}
