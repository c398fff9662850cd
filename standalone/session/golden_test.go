package session_test

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/format"

	"github.com/silverdeck/silverdeck/standalone/caller"
	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/standin"
	"github.com/silverdeck/silverdeck/verdict"
)

func init() { format.MaxLength = 0 } // a difference near the end of a session is shown, too

var update = flag.Bool("update", false, "write the golden sessions anew")

// changing matches what differs from run to run: names drawn at random.
var changing = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)

// golden plays f and compares what all sides said with the file of that name.
func golden(t *testing.T, name string, entries, runners int, f func(w *world)) {
	var got string
	play(t, entries, runners, func(w *world) {
		w.until(2.2)
		f(w)
		got = changing.ReplaceAllString(w.log.text(), "ID")
	})
	g := NewWithT(t)
	file := filepath.Join("testdata", name+".golden")
	if *update {
		g.Expect(os.WriteFile(file, []byte(got), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(strings.Split(got, "\n")).To(Equal(strings.Split(string(want), "\n")))
}

// call sends a request and notes question and answer.
func (w *world) call(entry int, prompt string, headers ...string) answer {
	w.log.note("caller", "asks entry-%d: %s %s", entry, prompt, strings.Join(headers, ": "))
	a := w.ask(entry, prompt, 3, headers...)
	w.log.note("caller", "is told %d, verdict %q: %s", a.status, a.header.Get(verdict.Header), strings.TrimSpace(a.body))
	return a
}

func TestGoldenRolloutWithAFailure(t *testing.T) {
	golden(t, "rollout", 1, 2, func(w *world) {
		_, err := w.apply(0, "ada", 0, basics(1)...)
		w.g.Expect(err).NotTo(HaveOccurred())
		w.until(10.2)
		w.call(0, "before the failure")
		cfg := w.agents["runner-1"].cfg
		w.log.note("fault", "the agent of runner-1 is killed")
		w.killAgent("runner-1")
		w.until(20.2)
		w.call(0, "with one runner")
		w.log.note("fault", "the agent of runner-1 starts with nothing")
		w.startAgent(cfg)
		w.until(40.2)
		w.live(0, "v1", 2, time.Minute)
	})
}

func TestGoldenDrain(t *testing.T) {
	golden(t, "drain", 1, 1, func(w *world) {
		_, err := w.apply(0, "ada", 0, basics(0)...)
		w.g.Expect(err).NotTo(HaveOccurred())
		w.until(10.2)
		a := w.call(0, "verdict on claim 7", caller.HeaderRepeat, caller.RepeatNever)
		w.g.Expect(a.right(3)).To(BeTrue())
		_, err = w.apply(0, "ada", 0, drainOf("runner-0"))
		w.g.Expect(err).NotTo(HaveOccurred())
		w.until(13.2)
		w.call(0, "with nobody left")
	})
}

func TestGoldenOutage(t *testing.T) {
	golden(t, "outage", 2, 1, func(w *world) {
		_, err := w.apply(0, "ada", 0, basics(0)...)
		w.g.Expect(err).NotTo(HaveOccurred())
		w.log.note("fault", "the platform is down")
		w.platform.SetFaults(standin.PlatformFaults{Down: true})
		w.until(10.2)
		w.call(1, "while the platform is down")
		_, err = w.apply(1, "bela", 0, drainOf("runner-0"))
		w.g.Expect(err).To(HaveOccurred())
		w.until(30.2)
		w.log.note("fault", "the platform is up, and loses the next answer to a write")
		w.platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
		_, err = w.apply(1, "bela", 0, drainOf("runner-0"))
		w.g.Expect(err).NotTo(HaveOccurred())
		w.until(40.2)
	})
}

func TestGoldenOperatorRace(t *testing.T) {
	golden(t, "race", 2, 1, func(w *world) {
		_, err := w.apply(0, "ada", 0, basics(0)...)
		w.g.Expect(err).NotTo(HaveOccurred())
		w.until(10.2)
		o := w.find(object.KindRollout, "reader")
		a, b := o, o
		a.Labels, b.Labels = map[string]string{"by": "ada"}, map[string]string{"by": "bela"}
		_, err = w.apply(0, "ada", 1, put(a, o.Version))
		w.g.Expect(err).NotTo(HaveOccurred())
		_, err = w.apply(1, "bela", 1, put(b, o.Version))
		w.g.Expect(err).To(HaveOccurred())
		w.until(20.2)
	})
}
