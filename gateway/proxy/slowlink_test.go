package proxy_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// slowLink delivers what is written after a while, whatever becomes of the
// connection meanwhile: it is on its way.
type slowLink struct {
	net.Conn
	far   net.Conn
	delay time.Duration
}

// newSlowLink returns the near end of a link to far.
func newSlowLink(near, far net.Conn, delay time.Duration) net.Conn {
	return &slowLink{Conn: near, far: far, delay: delay}
}

// Write implements net.Conn.
func (l *slowLink) Write(b []byte) (int, error) {
	data := append([]byte(nil), b...)
	time.AfterFunc(l.delay, func() { _, _ = l.far.Write(data) })
	return len(b), nil
}

// Close implements net.Conn.
func (l *slowLink) Close() error {
	time.AfterFunc(l.delay, func() { _ = l.far.Close() })
	return l.Conn.Close()
}

// Times of a version, as gateways keep them on the users' platform.
const (
	// versionLimit is when no request may begin on older weights any more.
	versionLimit = 8 * time.Second
	// versionMargin is how long before that gateways stop sending to them.
	versionMargin = 800 * time.Millisecond
	// linkDelay is what a request to one endpoint took on the bench.
	linkDelay = 1200 * time.Millisecond
)

func TestARequestOnASlowLinkDoesNotReachOldWeightsPastTheirLimit(t *testing.T) {
	play(t, func(w *world) {
		named := time.Now()
		w.linkDelay = linkDelay
		time.AfterFunc(versionLimit-versionMargin, func() { w.minVersion.Store(2) })
		time.Sleep(versionLimit - versionMargin - 100*time.Millisecond)
		w.ask("POST", "/stream/", "x")
		time.Sleep(linkDelay)
		for _, at := range w.endpoints["e0"].arrivals() {
			w.g.Expect(at.Sub(named)).To(BeNumerically("<", versionLimit))
		}
	}, always(hang))
}
