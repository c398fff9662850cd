package poison_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/poison"
)

func request() *poison.Request {
	return &poison.Request{Method: "POST", URI: "/a/b?c", Account: "acme", Body: []byte("body")}
}

func TestCopiesOfARequestHaveTheSameKey(t *testing.T) {
	g := NewWithT(t)
	g.Expect(request().Key()).To(Equal(request().Key()))
	g.Expect(request().Key().Shape).To(Equal(request().Shape()))
	g.Expect(request().Key().String()).To(HaveLen(32))
	for name, change := range map[string]func(*poison.Request){
		"method":  func(r *poison.Request) { r.Method = "PUT" },
		"path":    func(r *poison.Request) { r.URI = "/a/c?c" },
		"account": func(r *poison.Request) { r.Account = "zeta" },
		"body":    func(r *poison.Request) { r.Body = []byte("bodx") },
		"length":  func(r *poison.Request) { r.Body = []byte("body ") },
		"bounds":  func(r *poison.Request) { r.URI, r.Account = "/a/b?cac", "me" },
	} {
		other := request()
		change(other)
		g.Expect(other.Key().Digest).NotTo(Equal(request().Key().Digest), name)
	}
}

func BenchmarkKey(b *testing.B) {
	for name, size := range map[string]int{"4KiB": 4 << 10, "4MiB": 4 << 20} {
		b.Run(name, func(b *testing.B) {
			r := request()
			r.Body = make([]byte, size)
			for b.Loop() {
				r.Key()
			}
		})
	}
}
