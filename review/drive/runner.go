package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Header names of the pages.
const (
	attemptHeader  = "X-Silverdeck-Attempt-Id"
	instanceHeader = "X-Silverdeck-Expect-Instance"
	deadlineHeader = "X-Silverdeck-Deadline-Ms"
	stampHeader    = "X-Silverdeck-Response-Stamp"
	notRunHeader   = "X-Silverdeck-Not-Executed"
	tenantHeader   = "X-Silverdeck-Tenant"
	keyHeader      = "X-Silverdeck-Credential"
)

// runner is a stand-in of a runner of a plain service: it works on slots requests at a time, queues a
// few more, and refuses the others as not run.
type runner struct {
	id     string
	record *record
	work   time.Duration
	slots  chan struct{}
	places atomic.Int64
	limit  int64
	// surplus is the share of answers that are sent a second time, in the place where the next answer
	// on the connection is due, in thousandths; 0 for none.
	surplus atomic.Int64
	// shed is the share of requests that are refused although there is room, in thousandths.
	shed atomic.Int64
	// arrived, if not nil, is called for each request for this runner.
	arrived func(id string)
	// owed counts the answers that were sent a second time, refusals those of them that say that a
	// request did not run.
	owed, refusals atomic.Int64
}

// serve serves the connections of l until it is closed.
func (r *runner) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.serveConn(c)
	}
}

// serveConn serves the requests of one connection, one at a time.
func (r *runner) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	var again []byte
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if again != nil {
			if _, err := c.Write(again); err != nil {
				return
			}
			again = nil
		}
		answer, refusal := r.answer(q)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if rand.Int64N(1000) < r.surplus.Load() {
			again = answer
			r.owed.Add(1)
			if refusal {
				r.refusals.Add(1)
			}
			r.record.note("%s owes a second answer to request %s, refused: %t", r.id, q.Header.Get(attemptHeader), refusal)
		}
	}
}

// answer runs a request, unless it is for another runner or there is no room, and returns the answer
// and whether it refuses the request.
func (r *runner) answer(q *http.Request) ([]byte, bool) {
	id := q.Header.Get(attemptHeader)
	if want := q.Header.Get(instanceHeader); want != "" && want != r.id {
		return format(http.StatusMisdirectedRequest, id, notRunHeader+": 1\r\n", ""), true
	}
	if r.arrived != nil {
		r.arrived(id)
	}
	refused := format(http.StatusServiceUnavailable, id, notRunHeader+": 1\r\n", "full\n")
	if rand.Int64N(1000) < r.shed.Load() {
		return refused, true
	}
	if r.places.Add(1) > r.limit {
		r.places.Add(-1)
		return refused, true
	}
	defer r.places.Add(-1)
	ms, _ := strconv.Atoi(q.Header.Get(deadlineHeader))
	left := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer left.Stop()
	select {
	case r.slots <- struct{}{}:
	case <-left.C:
		return refused, true
	}
	defer func() { <-r.slots }()
	r.record.ran(id, r.id)
	time.Sleep(r.work)
	return format(http.StatusOK, id, stampHeader+": "+r.id+"."+id+"\r\n", "answer to "+id+"\n"), false
}

// format returns an answer in HTTP/1.1.
func format(status int, id, header, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), attemptHeader, id, header, len(body), body)
}
