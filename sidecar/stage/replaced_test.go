package stage_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
)

// Version 3 was named two seconds after version 2, of which most had left the origin and
// little had reached each VM. All turned to version 3, and half a second later the origin
// died: of version 2 some chunks had never left it, and nobody had either version.
func TestFirstCopiesOfAVersionThatIsReplacedAreBroughtInWhileTheOriginLives(t *testing.T) {
	m := newMachine(1)
	m.rate = chunks * chunkSize / (chunks * m.delay).Seconds()
	m.lost = 3
	bubble(t, func(b *stagers) {
		s := b.start(stage.Config{Endpoint: m, Origin: m, Fleet: m, Peers: alone{}})
		s.Want("m", 2, false)
		for m.seen().reads < chunks/2 {
			time.Sleep(5 * time.Millisecond)
		}
		s.Want("m", 3, false)
		time.Sleep(600 * time.Millisecond)
		m.set(func() { m.dead = true })
		time.Sleep(limit - time.Second)
		b.Expect(m.versions()).To(Equal([]int64{2}))
	})
}

func TestWhenFirstCopiesOfAReplacedVersionAreOfUse(t *testing.T) {
	const oneCopy = 1600 * time.Millisecond
	for _, c := range []struct {
		name    string
		fetched time.Duration
		oneCopy time.Duration
		useful  bool
		want    bool
	}{
		{"most has left the origin", 1500 * time.Millisecond, oneCopy, true, true},
		{"half has", 800 * time.Millisecond, oneCopy, true, true},
		{"less has", 799 * time.Millisecond, oneCopy, true, false},
		{"it could not be used any more", 1500 * time.Millisecond, oneCopy, false, false},
		{"the origin's rate is not known", 1500 * time.Millisecond, 0, true, false},
	} {
		NewWithT(t).Expect(stage.FirstCopiesOfUse(c.fetched, c.oneCopy, c.useful)).To(Equal(c.want), c.name)
	}
}
