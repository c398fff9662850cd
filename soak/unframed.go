package soak

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// drawUnframed returns what happens in MixUnframed.
func (w *world) drawUnframed(r *rand.Rand) fault {
	entry := w.entries[r.IntN(len(w.entries))]
	runner := w.runners[r.IntN(len(w.runners))]
	link := w.runnerLinks[r.IntN(len(w.runnerLinks))]
	down := leastDown + time.Duration(r.Int64N(int64(spreadDown)))
	unframed := fault{"runner frames nothing", func() { runner.setUnframed(true) }, func() { runner.setUnframed(false) }, true}
	all := []fault{
		unframed, unframed, unframed, unframed,
		{"runner ends by itself", func() { runner.crash(down, w.firstVersion(runner)) }, nil, true},
		{"runner link reset", func() { link.Set(Link{Refuse: true}) }, func() { link.Set(Link{}) }, true},
		{"entry killed", func() { entry.signal(syscall.SIGKILL) }, nil, false},
		{"entry stopped", entry.askToStop, nil, false},
		{"entry frozen", func() { entry.signal(syscall.SIGSTOP) }, func() { entry.signal(syscall.SIGCONT) }, false},
		{"configuration", w.configure, nil, false},
	}
	return all[r.IntN(len(all))]
}

// setUnframed makes the runner send answers with neither a length nor chunks, or ends that.
func (s *slot) setUnframed(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runner.SetUnframed(on)
}

// errUnmarkedEnd means that an answer ended with its connection and that it is not whole.
var errUnmarkedEnd = errors.New("soak: the answer ended with its connection")

// isUnframed reports whether an answer has neither a length nor chunks.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// checkFraming looks at an answer without a mark of its end: only an endpoint may have left it out.
func (c *caller) checkFraming(resp *http.Response, id string) {
	if isUnframed(resp) && !c.world.witness.Runs(id).Unframed {
		c.world.witness.AddViolation("request %s got an answer without the mark of its end that its endpoint set", id)
	}
}

// isCutUnframed reports whether got is a part of an answer to whose end no mark was set.
func isCutUnframed(resp *http.Response, got, whole string) bool {
	return isUnframed(resp) && len(got) < len(whole) && strings.HasPrefix(whole, got)
}
