package standin

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Shape is how an endpoint spoils an answer. The request has run in any case.
type Shape string

// The shapes. Where nothing else is said, the answer follows what is described.
const (
	// Sound leaves the answer as it is.
	Sound Shape = ""
	// SurplusRefusal sends a whole refusal of another request.
	SurplusRefusal Shape = "surplus refusal"
	// NamelessRefusal sends a whole refusal without an ID.
	NamelessRefusal Shape = "nameless refusal"
	// SplicedHeader breaks off a refusal of this request inside a header line.
	SplicedHeader Shape = "refusal broken off in a header line"
	// SplicedOther breaks off a refusal of another request inside a header line.
	SplicedOther Shape = "refusal of another request broken off in a header line"
	// SplicedStatus breaks off a refusal inside its status line.
	SplicedStatus Shape = "refusal broken off in the status line"
	// SplicedNameless breaks off a refusal inside a header line before its ID.
	SplicedNameless Shape = "refusal broken off before its ID"
	// SplicedBody breaks off a refusal of this request inside its body.
	SplicedBody Shape = "refusal broken off in its body"
	// SplitBody is SplicedBody where the first bytes of the answer complete that body and the rest comes later.
	SplitBody Shape = "refusal completed by a part of the answer"
	// ContinuedAnswer breaks off the answer inside its body, with one to another request behind it.
	ContinuedAnswer Shape = "answer broken off with another one behind"
	// RecordOfTLS sends an alert record of TLS.
	RecordOfTLS Shape = "TLS record"
	// HeaderWithoutColon sends a head in which a header line has no colon.
	HeaderWithoutColon Shape = "header without a colon"
	// NegativeLength sends a head with a negative Content-Length.
	NegativeLength Shape = "negative length"
	// CutHead closes the connection inside the head of the answer.
	CutHead Shape = "cut in the head"
	// CutBody closes the connection inside the body of the answer.
	CutBody Shape = "cut in the body"
	// EndlessStatus and those below send something in place of the answer until the peer closes.
	EndlessStatus Shape = "endless status line"
	// EndlessHeader is a header line without an end.
	EndlessHeader Shape = "endless header line"
	// EndlessHeaders are header lines without an end.
	EndlessHeaders Shape = "endless headers"
	// EndlessInformational are informational answers without an end.
	EndlessInformational Shape = "endless informational answers"
	// EndlessRefusal is a refusal of this request with a body without an end.
	EndlessRefusal Shape = "endless refusal"
	// EndlessUnsigned is a body without an end and without a signature.
	EndlessUnsigned Shape = "endless unsigned body"
	// EndlessSigned is a signed body without an end, of a stream an event.
	EndlessSigned Shape = "endless signed body"
	// EndlessEvents are events without an end, for a plain request a signed body.
	EndlessEvents Shape = "endless events"
	// EndlessExtension is the extension of a chunk without an end.
	EndlessExtension Shape = "endless chunk extension"
	// EndlessTrailer is a trailer line without an end.
	EndlessTrailer Shape = "endless trailer"
)

// ShapeGroups are shapes of one kind, by the name of the kind.
var ShapeGroups = map[string][]Shape{
	"surplus":   {SurplusRefusal},
	"nameless":  {NamelessRefusal},
	"spliced":   {SplicedHeader, SplicedOther, SplicedStatus, SplicedNameless, SplicedBody},
	"continued": {SplitBody, ContinuedAnswer},
	"garbage":   {RecordOfTLS, HeaderWithoutColon, NegativeLength},
	"cut":       {CutHead, CutBody},
	"invalid":   invalidHeads,
	"endless": {EndlessStatus, EndlessHeader, EndlessHeaders, EndlessInformational, EndlessRefusal, EndlessUnsigned,
		EndlessSigned, EndlessEvents, EndlessExtension, EndlessTrailer},
}

// SpoilMark is in each answer that an endpoint sends in addition to the one that is due.
const SpoilMark = "X-Standin-Spoilt"

// SpoilingListener accepts connections on which answers to requests that ran are spoiled.
type SpoilingListener struct {
	net.Listener
	// Spoil returns how the answer to the request id is spoiled.
	Spoil func(id string) Shape
}

// Accept implements net.Listener.
func (l *SpoilingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &spoilingConn{Conn: c, spoil: l.Spoil}, nil
}

// spoilingConn spoils answers. The first write after a read begins an answer with its whole head.
type spoilingConn struct {
	net.Conn
	spoil func(id string) Shape

	mu sync.Mutex
	// due is set while the next write begins an answer.
	due bool
	// last is the ID of the last answer that was begun.
	last string
}

// Read implements net.Conn.
func (c *spoilingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.due = true
		c.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (c *spoilingConn) Write(p []byte) (int, error) {
	a, shape := c.begin(p)
	if shape == Sound {
		return c.Conn.Write(p)
	}
	s := a.spoil(shape)
	if err := c.send(s); err != nil {
		return 0, err
	}
	if s.endless != nil {
		return 0, c.sendEndless(s)
	}
	if s.after == nil {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return len(p), nil
}

// begin returns the answer that p begins, and how it is spoiled.
func (c *spoilingConn) begin(p []byte) (*dueAnswer, Shape) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.due {
		return nil, Sound
	}
	c.due = false
	a := parseAnswer(p)
	if a == nil {
		return nil, Sound
	}
	a.other = c.last
	if a.other == "" {
		a.other = "another-" + a.id
	}
	c.last = a.id
	return a, c.spoil(a.id)
}

// spliceGap is the time between what comes before an answer and the answer, in one half of all cases.
const spliceGap = 3 * time.Millisecond

// send sends what comes before and the answer, at once or one after the other.
func (c *spoilingConn) send(s spoilt) error {
	before, after := s.before, s.after
	if !s.gap && rand.IntN(2) == 0 {
		before, after = slices.Concat(before, after), nil
	}
	if _, err := c.Conn.Write(before); err != nil || after == nil {
		return err
	}
	time.Sleep(spliceGap)
	_, err := c.Conn.Write(after)
	return err
}

// endlessPause is the time between two parts without an end.
const endlessPause = time.Millisecond

// sendEndless sends until the peer closes the connection.
func (c *spoilingConn) sendEndless(s spoilt) error {
	for n := 0; ; n++ {
		if _, err := c.Conn.Write(s.endless(n)); err != nil {
			return err
		}
		time.Sleep(endlessPause)
	}
}

// spoilt is what is sent in place of an answer.
type spoilt struct {
	before, after []byte
	// gap is set if after is never sent at once with before.
	gap bool
	// endless returns the parts that follow without an end, or is nil.
	endless func(n int) []byte
}

// dueAnswer is the answer to a request that ran, of which the first bytes are known.
type dueAnswer struct {
	id string
	// other is the ID of another request.
	other string
	all   []byte
	// head are the lines of the head, without ends, body what is known of the body.
	head   []string
	body   []byte
	stream bool
}

// parseAnswer returns the answer that p begins, or nil if its request did not run.
func parseAnswer(p []byte) *dueAnswer {
	head, body, found := bytes.Cut(p, []byte("\r\n\r\n"))
	a := &dueAnswer{all: p, head: strings.Split(string(head), "\r\n"), body: body}
	a.id = a.value("X-Silverdeck-Attempt-Id")
	a.stream = a.value("Content-Type") == "text/event-stream"
	if !found || a.id == "" || a.value("X-Silverdeck-Response-Stamp") == "" {
		return nil
	}
	return a
}

// value returns the value of a header.
func (a *dueAnswer) value(name string) string {
	for _, line := range a.head {
		if value, found := strings.CutPrefix(line, name+": "); found {
			return value
		}
	}
	return ""
}

// chunkedHead returns the head of an answer in chunks with these headers.
func (a *dueAnswer) chunkedHead(headers []string) string {
	out := "HTTP/1.1 200 OK\r\n"
	for _, line := range headers {
		if !strings.HasPrefix(line, "Content-Length: ") && !strings.HasPrefix(line, "Transfer-Encoding: ") {
			out += line + "\r\n"
		}
	}
	return out + "Transfer-Encoding: chunked\r\n\r\n"
}

// another returns a whole answer to another request that ran.
func (a *dueAnswer) another() []byte {
	body := ResponseBody(a.other, SpoilMark)
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Silverdeck-Attempt-Id: %s\r\nX-Silverdeck-Response-Stamp: another\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s",
		a.other, SpoilMark, len(body), body)
}

// refusalStatuses are the statuses of refusals.
var refusalStatuses = []string{"503 Service Unavailable", "421 Misdirected Request", "429 Too Many Requests", "408 Request Timeout"}

// refusal returns the status line and the other lines of the head of a refusal in any order. It names no
// request if id is empty.
func refusal(id string) (string, []string) {
	status := refusalStatuses[rand.IntN(len(refusalStatuses))]
	lines := []string{SpoilMark + ": 1", "Retry-After: 0.250", "Date: " + time.Now().UTC().Format(time.RFC1123)}
	if !strings.HasPrefix(status, "421") || rand.IntN(2) == 0 {
		lines = append(lines, "X-Silverdeck-Not-Executed: 1")
	}
	if id != "" {
		lines = append(lines, "X-Silverdeck-Attempt-Id: "+id)
	}
	rand.Shuffle(len(lines), func(i, j int) { lines[i], lines[j] = lines[j], lines[i] })
	return "HTTP/1.1 " + status, lines
}

// refusalBody is the body of a refusal.
const refusalBody = "no room left, " + SpoilMark

// wholeRefusal returns a refusal with a body of which all is sent but the last missing bytes.
func wholeRefusal(id string, missing int) []byte {
	status, lines := refusal(id)
	return fmt.Appendf(nil, "%s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, strings.Join(lines, "\r\n"), len(refusalBody), refusalBody[:len(refusalBody)-missing])
}

// cutRefusal returns the beginning of a refusal that ends inside the value of a header.
func cutRefusal(id string) []byte {
	status, lines := refusal(id)
	lines = lines[:1+rand.IntN(len(lines))]
	last := lines[len(lines)-1]
	value := strings.Index(last, ": ") + len(": ")
	lines[len(lines)-1] = last[:value+rand.IntN(len(last)-value+1)]
	return []byte(status + "\r\n" + strings.Join(lines, "\r\n"))
}

// cutStatus returns a part of a status line.
func cutStatus() []byte {
	status, _ := refusal("")
	return []byte(status[:1+rand.IntN(len(status))])
}

// spoil returns what is sent in place of an answer.
func (a *dueAnswer) spoil(s Shape) spoilt {
	switch s {
	case SurplusRefusal:
		return spoilt{before: wholeRefusal(a.other, 0), after: a.all}
	case NamelessRefusal:
		return spoilt{before: wholeRefusal("", 0), after: a.all}
	case SplicedHeader:
		return spoilt{before: cutRefusal(a.id), after: a.all}
	case SplicedOther:
		return spoilt{before: cutRefusal(a.other), after: a.all}
	case SplicedStatus:
		return spoilt{before: cutStatus(), after: a.all}
	case SplicedNameless:
		return spoilt{before: cutRefusal(""), after: a.all}
	case SplicedBody:
		return spoilt{before: wholeRefusal(a.id, 1+rand.IntN(len(refusalBody))), after: a.all}
	case SplitBody:
		missing := 1 + rand.IntN(len(refusalBody))
		return spoilt{before: append(wholeRefusal(a.id, missing), a.all[:missing]...), after: a.all[missing:], gap: true}
	case ContinuedAnswer:
		return spoilt{before: a.all[:len(a.all)-1-rand.IntN(max(len(a.body), 1))], after: a.another()}
	case RecordOfTLS:
		return spoilt{before: []byte{21, 3, 3, 0, 2, 2, 40}, after: a.all}
	case HeaderWithoutColon:
		return spoilt{before: []byte("HTTP/1.1 503 Service Unavailable\r\n" + SpoilMark + "\r\nX-Silverdeck-Not-Executed: 1\r\n\r\n"), after: a.all}
	case NegativeLength:
		return spoilt{before: []byte("HTTP/1.1 503 Service Unavailable\r\nX-Silverdeck-Not-Executed: 1\r\nContent-Length: -1\r\n\r\n"), after: a.all}
	case CutHead:
		return spoilt{before: a.all[:1+rand.IntN(len(a.all)-len(a.body)-1)]}
	case CutBody:
		return spoilt{before: a.all[:len(a.all)-1-rand.IntN(max(len(a.body), 1))]}
	}
	if slices.Contains(invalidHeads, s) {
		return a.spoilHead(s)
	}
	return a.spoilEndless(s)
}
