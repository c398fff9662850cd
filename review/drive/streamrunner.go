package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// Streams of the stand-in runners.
const (
	streamEvents = 20
	streamPause  = 150 * time.Millisecond
	modelName    = "daka510000"
)

// streamRunner is a stand-in of a model runner, in a process of its own. It resumes streams after
// Last-Event-Id and prints a line for each request that it runs.
type streamRunner struct {
	id       string
	unframed int64
	answers  atomic.Int64
	places   atomic.Int64
	limit    int64
}

// runStreamRunner is the main function of the process of a streamRunner.
func runStreamRunner(args []string) int {
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	id := flags.String("id", "", "the runner's ID")
	addr := flags.String("addr", "", "its address")
	unframed := flags.Int64("unframed", 0, "one in so many answers has neither a length nor chunks; 0 for none")
	slots := flags.Int64("slots", 16, "requests at once")
	_ = flags.Parse(args) // exits on an error
	l, err := net.Listen("tcp4", *addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r := &streamRunner{id: *id, unframed: *unframed, limit: 2 * *slots}
	for {
		c, err := l.Accept()
		if err != nil {
			return exitHeld
		}
		go r.serveConn(c)
	}
}

// serveConn serves the requests of one connection.
func (r *streamRunner) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if !r.answer(c, q) {
			return
		}
	}
}

// answer answers a request and reports whether the connection may be used again.
func (r *streamRunner) answer(c net.Conn, q *http.Request) bool {
	id := q.Header.Get(attemptHeader)
	if want := q.Header.Get(instanceHeader); want != "" && want != r.id {
		_, err := c.Write(format(http.StatusMisdirectedRequest, id, notRunHeader+": 1\r\n", ""))
		return err == nil
	}
	defer r.places.Add(-1)
	if r.places.Add(1) > r.limit {
		_, err := c.Write(format(http.StatusServiceUnavailable, id, notRunHeader+": 1\r\n", "full\n"))
		return err == nil
	}
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	unframed := r.unframed > 0 && r.answers.Add(1)%r.unframed == 0
	fmt.Printf("%s runs %s after event %d unframed %t\n", r.id, id, first, unframed)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nX-Silverdeck-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n", attemptHeader, id, stampHeader, r.id, id)
	if unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for n := first + 1; n <= streamEvents; n++ {
		time.Sleep(streamPause)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(c, event); err != nil {
			return false
		}
	}
	if unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
