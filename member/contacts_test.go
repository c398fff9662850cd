package member_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/member"
)

// fleetOf returns n ready gateways in each zone; a zone is one character.
func fleetOf(zones string, n int) []member.Member {
	var out []member.Member
	for _, z := range zones {
		for i := range n {
			name := fmt.Sprintf("g-%c-%03d", z, i)
			out = append(out, member.Member{Entry: member.Entry{Name: name, Zone: string(z), Peer: name, Life: uint64(i + 1)}, Ready: true})
		}
	}
	return out
}

func TestContactsAreTheRelaysOfALargeFleet(t *testing.T) {
	g := NewWithT(t)
	c := member.ContactsOf(fleetOf("ba", 100))
	var names []string
	for _, e := range c.Gateways {
		names = append(names, e.Name)
		g.Expect(e.Life).To(BeZero())
	}
	g.Expect(names).To(Equal([]string{"g-a-000", "g-a-001", "g-b-000", "g-b-001"}))
	g.Expect(c.Size).To(Equal(200))
	g.Expect(member.ContactsOf(fleetOf("a", 31)).Gateways).To(BeEmpty(), "a small fleet needs none")
}

// Guards against contacts that grow with the fleet.
func TestContactsDoNotGrowWithTheFleet(t *testing.T) {
	g := NewWithT(t)
	g.Expect(member.ContactsOf(fleetOf("abcde", 400)).Gateways).To(HaveLen(len(member.ContactsOf(fleetOf("abcde", 100)).Gateways)))
}

func TestWhenContactsAreWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	c, restarted := member.ContactsOf(fleetOf("ab", 100)), fleetOf("ab", 100)
	for i := range restarted {
		restarted[i].Entry.Life = 7
	}
	same, fewer, half := member.ContactsOf(restarted), member.ContactsOf(fleetOf("ab", 90)), member.ContactsOf(fleetOf("ab", 50))
	other, none := member.ContactsOf(fleetOf("ab", 100)[1:]), member.ContactsOf(nil)
	g.Expect(c.Replaces(&member.Contacts{})).To(BeTrue())
	g.Expect(same.Replaces(&c)).To(BeFalse(), "processes that restarted")
	g.Expect(fewer.Replaces(&c)).To(BeFalse())
	g.Expect(half.Replaces(&c)).To(BeTrue())
	g.Expect(other.Replaces(&c)).To(BeTrue(), "a relay is gone")
	g.Expect(none.Replaces(&c)).To(BeFalse())
}
