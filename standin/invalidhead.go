package standin

import "strings"

// The shapes whose head HTTP does not allow. The rest of the answer is sound.
const (
	// StatusZero has the status 000.
	StatusZero Shape = "status 000"
	// BlankInName has a header whose name holds a blank.
	BlankInName Shape = "name with a blank"
	// ControlInName has a header whose name holds a control byte.
	ControlInName Shape = "name with a control byte"
	// BlankInFraming has a blank behind the name of the header that frames the body.
	BlankInFraming Shape = "framing with a blank"
	// BlankInInformational has an informational answer with such a name before it.
	BlankInInformational Shape = "informational answer with a blank in a name"
)

// invalidHeads are the shapes whose head HTTP does not allow.
var invalidHeads = []Shape{StatusZero, BlankInName, ControlInName, BlankInFraming, BlankInInformational}

// spoilHead returns what is sent in place of an answer by one of invalidHeads.
func (a *dueAnswer) spoilHead(s Shape) spoilt {
	status, lines := a.head[0], append([]string{SpoilMark + ": 1"}, a.head[1:]...)
	var before string
	switch s {
	case StatusZero:
		status = "HTTP/1.1 000 Unknown"
	case BlankInName:
		lines = append(lines, "X Standin: 1")
	case ControlInName:
		lines = append(lines, "X\x01Standin: 1")
	case BlankInFraming:
		for i, line := range lines {
			for _, name := range []string{"Content-Length", "Transfer-Encoding"} {
				if value, found := strings.CutPrefix(line, name+":"); found {
					lines[i] = name + " :" + value
				}
			}
		}
	case BlankInInformational:
		before = "HTTP/1.1 103 Early Hints\r\nX Standin: 1\r\n\r\n"
	}
	head := before + status + "\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
	return spoilt{before: []byte(head), after: append([]byte{}, a.body...)}
}
