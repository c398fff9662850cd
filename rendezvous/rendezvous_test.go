package rendezvous_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/rendezvous"
)

// Removing a name must move only the keys assigned to it.
func TestAKeyStaysWhereItWasWhenAnotherNameGoes(t *testing.T) {
	g := NewWithT(t)
	had := map[string]int{}
	for i := range 300 {
		key := fmt.Sprint("key", i)
		chosen := rendezvous.Choose(key, []string{"a", "b", "c"})
		had[chosen]++
		if chosen != "c" {
			g.Expect(rendezvous.Choose(key, []string{"b", "a"})).To(Equal(chosen))
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		g.Expect(had[name]).To(BeNumerically(">", 60), name)
	}
	g.Expect(rendezvous.Choose("key", nil)).To(BeEmpty())
}

// Different versions that run side by side during an upgrade must choose the same name.
func TestTheChoiceStaysFromOneReleaseToTheNext(t *testing.T) {
	g := NewWithT(t)
	names := []string{"10.0.0.1:7700", "10.0.0.2:7700", "10.0.0.3:7700"}
	got := ""
	for _, key := range []string{"llm", "portal", "reader", "s"} {
		got += rendezvous.Choose(key, names)[7:8]
	}
	g.Expect(got).To(Equal("1333"))
}
