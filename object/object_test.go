package object_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/casefile"
	"github.com/silverdeck/silverdeck/object"
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
