package settings_test

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/casefile"
	"github.com/silverdeck/silverdeck/standalone/settings"
)

var _ = Describe("Load", func() {
	cases, err := casefile.Read("testdata/entry.txt")
	if err != nil {
		panic(err)
	}
	for _, c := range cases {
		It("judges "+c.Name, func() {
			file := filepath.Join(GinkgoT().TempDir(), "entry.json")
			Expect(os.WriteFile(file, []byte(c.Input), 0o600)).To(Succeed())
			got := "ok"
			if err := settings.Load(file, settings.DefaultEntry()); err != nil {
				got = strings.ReplaceAll(err.Error(), file, "FILE")
			}
			Expect(got).To(Equal(c.Want))
		})
	}
})
