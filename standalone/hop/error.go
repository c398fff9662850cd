package hop

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/silverdeck/silverdeck/limitread"
	"github.com/silverdeck/silverdeck/responsehead"
	"github.com/silverdeck/silverdeck/verdict"
)

// errorBody is the body of an answer that carries a *verdict.Error, in the
// shape that OpenAI clients read.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message           string `json:"message"`
	Type              string `json:"type"`
	Code              string `json:"code"`
	Verdict           string `json:"verdict"`
	RetryAfterSeconds int    `json:"retry_after_seconds,omitempty"`
}

// ErrorJSON returns e as JSON, without the inner cause.
func ErrorJSON(e *verdict.Error) []byte {
	b, _ := json.Marshal(errorBody{Error: errorDetail{
		Message:           e.Detail,
		Type:              "silverdeck_error",
		Code:              string(e.Code),
		Verdict:           e.Verdict().String(),
		RetryAfterSeconds: seconds(e.RetryAfter),
	}})
	return b
}

// WriteError answers with e.
func WriteError(w http.ResponseWriter, e *verdict.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(verdict.Header, e.Verdict().String())
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds(e.RetryAfter)))
	}
	b := ErrorJSON(e)
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(e.Status())
	_, _ = w.Write(b)
}

// maxErrorBody bounds what is read of an error, in bytes.
const maxErrorBody = 64 << 10

// ReadError returns the error that resp carries. The peer's own verdict is believed if the answer is whole
// and consistent; otherwise the request may have run.
func ReadError(resp *http.Response) *verdict.Error {
	b, err := limitread.ReadAll(resp.Body, maxErrorBody)
	var body errorBody
	if err == nil {
		err = json.Unmarshal(b, &body)
	}
	e := &verdict.Error{
		Evidence:   verdict.Unknown{},
		Code:       verdict.Code(body.Error.Code),
		Detail:     body.Error.Message,
		RetryAfter: time.Duration(body.Error.RetryAfterSeconds) * time.Second,
	}
	stated := resp.Header.Get(verdict.Header)
	if err == nil && stated == body.Error.Verdict && responsehead.Check(resp.Status, resp.Header, verdict.Header) == responsehead.NoFault {
		e.Evidence = verdict.Reported{Result: verdict.Parse(stated)}
	}
	return e
}

func seconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
