package hop_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/standalone/hop"
	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/verdict"
)

var _ = Describe("Meta", func() {
	It("survives the hop", func() {
		m := hop.Meta{Request: "r", Attempt: "r.1", Budget: 1500 * time.Millisecond, Class: object.ClassUrgent,
			Account: "a", Share: 2, Cost: 300, Model: "m", Adapter: "x", Root: "ff"}
		h := http.Header{}
		m.Set(h)
		Expect(hop.ParseMeta(h)).To(Equal(m))
	})

	It("refuses a request whose time is over as not run", func() {
		h := http.Header{}
		hop.Meta{Request: "r", Attempt: "r.1", Budget: -1}.Set(h)
		_, err := hop.ParseMeta(h)
		Expect(verdict.From(err).Verdict()).To(Equal(verdict.NotRun))
	})
})

var _ = Describe("CopyHeader", func() {
	It("leaves behind what would let net/http send a request again", func() {
		dst := http.Header{}
		hop.CopyHeader(dst, http.Header{
			"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}, "Connection": {"close"},
			"Silverdeck-Verdict": {"not-run"}, "Content-Type": {"application/json"},
		})
		Expect(dst).To(Equal(http.Header{"Content-Type": {"application/json"}}))
	})
})

var _ = Describe("EndMark", func() {
	It("matches its own answer and no other", func() {
		mark, other := hop.NewEndMark(), hop.NewEndMark()
		_, _ = mark.Write([]byte("an answer"))
		_, _ = other.Write([]byte("an answeR"))
		h := http.Header{}
		mark.SetTrailers(h)
		Expect(mark.Matches(h)).To(BeTrue())
		Expect(other.Matches(h)).To(BeFalse())
		Expect(hop.NewEndMark().Matches(http.Header{})).To(BeFalse(), "no trailers are no end")
	})
})

// answerOf returns the answer with which e is told, after a change to its text.
func answerOf(e *verdict.Error, old, replacement string) *http.Response {
	w := httptest.NewRecorder()
	hop.WriteError(w, e)
	text := &bytes.Buffer{}
	_ = w.Result().Write(text)
	r := bufio.NewReader(strings.NewReader(strings.Replace(text.String(), old, replacement, 1)))
	resp, err := http.ReadResponse(r, nil)
	Expect(err).NotTo(HaveOccurred())
	return resp
}

var _ = DescribeTable("the verdict of another process",
	func(old, replacement string, want verdict.Verdict) {
		e := verdict.NewError(verdict.Unsent{}, verdict.CodeOverloaded, "the queue is full")
		Expect(hop.ReadError(answerOf(e, old, replacement)).Verdict()).To(Equal(want))
	},
	Entry("is believed", "", "", verdict.NotRun),
	Entry("is not believed in a body that is cut", `"}}`, "", verdict.MayHaveRun),
	Entry("is not believed in a body of another form", "{", "[", verdict.MayHaveRun),
	Entry("is not believed if header and body differ", `"verdict":"not-run"`, `"verdict":"ran"    `, verdict.MayHaveRun),
	Entry("is not believed if it is told twice", "Silverdeck-Verdict:", "Silverdeck-Verdict: ran\r\nSilverdeck-Verdict:", verdict.MayHaveRun),
	Entry("is not believed with a status line in the head", "Silverdeck-Verdict:", "Retry-After: 1HTTP/1.1 200 OK\r\nSilverdeck-Verdict:", verdict.MayHaveRun),
	Entry("is not believed with a status line in the first line", "429 ", "429 TooHTTP/1.1 200 ", verdict.MayHaveRun),
)

var _ = Describe("ReadError", func() {
	It("does not believe a verdict in a body without an end", func() {
		resp := answerOf(verdict.NewError(verdict.Unsent{}, verdict.CodeOverloaded, "the queue is full"), "", "")
		resp.Body = io.NopCloser(io.MultiReader(resp.Body, strings.NewReader(strings.Repeat(" ", 1<<20))))
		Expect(hop.ReadError(resp).Verdict()).To(Equal(verdict.MayHaveRun))
	})
})

func FuzzParseLoad(f *testing.F) {
	f.Add("1/2/3")
	f.Fuzz(func(t *testing.T, s string) {
		l, ok := hop.ParseLoad(s)
		if !ok {
			return
		}
		if again, ok := hop.ParseLoad(hop.FormatLoad(l)); !ok || again != l {
			t.Fatalf("%q became %v", s, again)
		}
	})
}
