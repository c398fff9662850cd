package session_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/verdict"
)

// raw writes bytes to a port and returns what comes back within a minute.
func (w *world) raw(addr, text string) string {
	c, err := w.net.host("stranger").DialContext(context.Background(), "tcp", addr)
	w.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte(text))
	w.g.Expect(err).NotTo(HaveOccurred())
	w.g.Expect(c.SetReadDeadline(time.Now().Add(time.Minute))).To(Succeed())
	b, _ := io.ReadAll(c)
	return string(b)
}

func TestBadInputOnAnyPortCostsNobodyElseAnything(t *testing.T) {
	started(t, 2, 2, func(w *world) {
		ports := []string{"10.1.0.1:7000", "10.1.0.1:7001", "10.1.0.1:7002", "10.1.0.1:7003", "10.2.0.1:7000", "10.2.0.1:7001"}
		for _, addr := range ports {
			w.g.Expect(w.raw(addr, "\x00\x01garbage\r\n\r\n")).To(HavePrefix("HTTP/1.1 400"), addr)
			w.g.Expect(w.raw(addr, "GET / HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("a", 1<<20)+"\r\n\r\n")).To(HavePrefix("HTTP/1.1 431"), addr)
			w.g.Expect(w.raw(addr, "PUT /nowhere HTTP/1.0\r\n\r\n")).To(MatchRegexp(`^HTTP/1.0 (404|405|401)`), addr)
			began := time.Now()
			w.raw(addr, "GET / HT")
			w.g.Expect(time.Since(began)).To(BeNumerically("<=", 15*time.Second), "a slow writer is cut off at "+addr)
		}
		for _, addr := range []string{"10.1.0.1:7002", "10.2.0.1:7000"} {
			w.raw(addr, "CONNECT /rpc HTTP/1.0\n\n"+strings.Repeat("\xff\xfe garbage in rpc", 100))
		}
		w.g.Expect(w.ask(0, "still there", 4).right(4)).To(BeTrue())
	})
}

func TestABadRequestIsToldWhatIsWrongWithIt(t *testing.T) {
	started(t, 1, 1, func(w *world) {
		big := `{"model":"claims","messages":["` + strings.Repeat("a", 9<<20) + `"]}`
		cases := []struct {
			name, path, body string
			status           int
			code             verdict.Code
		}{
			{"no JSON", "/v1/chat/completions", "not json", 400, verdict.CodeBadRequest},
			{"no object", "/v1/chat/completions", `["claims"]`, 400, verdict.CodeBadRequest},
			{"too large", "/v1/chat/completions", big, 400, verdict.CodeBadRequest},
			{"no such service", "/v1/chat/completions", `{"model":"nobody"}`, 404, verdict.CodeNotFound},
			{"no such plain service", "/services/nobody/x", "", 404, verdict.CodeNotFound},
			{"no such path", "/v2/anything", "", 404, verdict.CodeNotFound},
		}
		for _, c := range cases {
			a := w.send(0, c.path, c.body)
			w.g.Expect(a.status).To(Equal(c.status), c.name)
			w.g.Expect(a.header.Get(verdict.Header)).To(Equal("not-run"), c.name)
			var e struct{ Error struct{ Code string } }
			w.g.Expect(json.Unmarshal([]byte(a.body), &e)).To(Succeed(), c.name)
			w.g.Expect(e.Error.Code).To(Equal(string(c.code)), c.name)
		}
		r, _ := http.NewRequest(http.MethodPost, "http://10.1.0.1:7000/v1/chat/completions", strings.NewReader(`{"model":"claims"}`))
		r.Header.Set("Authorization", "Bearer wrong")
		resp, err := w.client.Do(r)
		w.g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		w.g.Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized))
	})
}
