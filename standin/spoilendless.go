package standin

import (
	"bytes"
	"fmt"
	"strings"
)

// Sizes of what has no end, in bytes a part.
const (
	// headPart is the size in a head, where nothing has been passed on yet.
	headPart = 32 << 10
	// bodyPart is the size in a body.
	bodyPart = 4 << 10
	// eventsPart is the number of events.
	eventsPart = 8
)

// again returns a function that returns part each time.
func again(part string) func(int) []byte {
	b := []byte(part)
	return func(int) []byte { return b }
}

// chunk returns one chunk.
func chunk(data string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
}

// spoilEndless returns what is sent in place of an answer by a shape without an end.
func (a *dueAnswer) spoilEndless(s Shape) spoilt {
	filler := strings.Repeat("a", headPart)
	body := again(chunk(filler[:bodyPart]))
	signed := a.chunkedHead(a.head[1:])
	switch s {
	case EndlessStatus:
		return spoilt{before: []byte("HTTP/1.1 200 "), endless: again(filler)}
	case EndlessHeader:
		return spoilt{before: []byte(strings.Join(a.head, "\r\n") + "\r\nX-Filler: "), endless: again(filler)}
	case EndlessHeaders:
		line := "X-Filler: " + filler[:100] + "\r\n"
		return spoilt{before: []byte(strings.Join(a.head, "\r\n") + "\r\n"), endless: again(strings.Repeat(line, headPart/len(line)))}
	case EndlessInformational:
		const one = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
		return spoilt{endless: again(strings.Repeat(one, headPart/len(one)))}
	case EndlessRefusal:
		return spoilt{before: []byte("HTTP/1.1 503 Service Unavailable\r\nX-Silverdeck-Not-Executed: 1\r\nX-Silverdeck-Attempt-Id: " + a.id +
			"\r\nTransfer-Encoding: chunked\r\n\r\n"), endless: body}
	case EndlessUnsigned:
		return spoilt{before: []byte(a.chunkedHead([]string{"X-Silverdeck-Attempt-Id: " + a.id})), endless: body}
	case EndlessEvents:
		if a.stream {
			return spoilt{before: []byte(signed), endless: a.events()}
		}
	case EndlessExtension:
		return spoilt{before: []byte(signed + "5;a="), endless: again(filler)}
	case EndlessTrailer:
		return spoilt{before: []byte(signed + chunk(a.firstBody()) + "0\r\nX-Filler: "), endless: again(filler)}
	}
	return spoilt{before: []byte(signed), endless: body}
}

// firstBody returns the known content of the body.
func (a *dueAnswer) firstBody() string {
	if !a.stream {
		return string(a.body)
	}
	return FormatEvent(a.id, a.firstEvent())
}

// firstEvent returns the number of the first event of a stream.
func (a *dueAnswer) firstEvent() int {
	n := 1
	if i := bytes.Index(a.body, []byte("id: ")); i >= 0 {
		_, _ = fmt.Sscanf(string(a.body[i:]), "id: %d", &n)
	}
	return n
}

// events returns events from the first one of the answer on.
func (a *dueAnswer) events() func(n int) []byte {
	first := a.firstEvent()
	return func(n int) []byte {
		var out string
		for i := range eventsPart {
			out += FormatEvent(a.id, first+n*eventsPart+i)
		}
		return []byte(chunk(out))
	}
}
