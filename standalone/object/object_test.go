package object_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/casefile"
	"github.com/silverdeck/silverdeck/standalone/object"
)

func check(text string) string {
	var o object.Object
	if err := json.Unmarshal([]byte(text), &o); err != nil {
		return err.Error()
	}
	if err := object.Validate(o); err != nil {
		return err.Error()
	}
	return "ok"
}

var _ = Describe("Object", func() {
	cases, err := casefile.Read("testdata/objects.txt")
	if err != nil {
		panic(err)
	}
	for _, c := range cases {
		It("judges "+c.Name, func() {
			Expect(check(c.Input)).To(Equal(c.Want))
		})
	}
})

func FuzzObject(f *testing.F) {
	f.Add(`{"kind":"Rollout","name":"r","spec":{"model":"m","weights":"v1","vms":"zone=a"}}`)
	f.Fuzz(func(t *testing.T, s string) {
		var o object.Object
		if json.Unmarshal([]byte(s), &o) != nil || object.Validate(o) != nil {
			return
		}
		b, err := json.Marshal(o)
		if err != nil {
			t.Fatal(err)
		}
		if got := check(string(b)); got != "ok" {
			t.Fatalf("%s: %s", b, got)
		}
	})
}
