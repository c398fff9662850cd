package plan_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/casefile"
	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/standalone/plan"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
	"github.com/silverdeck/silverdeck/weights"
)

// parse reads a configuration and a list of VMs, a line each.
func parse(text string) (*snapshot.Snapshot, *objectstore.VMList) {
	s := &snapshot.Snapshot{Revision: 9, Objects: []object.Object{
		{Kind: object.KindModel, Name: "m", Spec: &object.ModelSpec{Source: "models/m"}},
	}}
	l := &objectstore.VMList{Version: 1}
	for _, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		fields := map[string]string{}
		for _, w := range words[2:] {
			k, v, _ := strings.Cut(w, "=")
			fields[k] = v
		}
		if words[0] == "VM" {
			_, leaving := fields["leaving"]
			l.VMs = append(l.VMs, objectstore.VM{Name: words[1], Role: objectstore.Role(fields["role"]), Zone: fields["zone"], Leaving: leaving})
			continue
		}
		priority, _ := strconv.Atoi(fields["priority"])
		version, _ := strconv.ParseInt(fields["version"], 10, 64)
		s.Objects = append(s.Objects, object.Object{Kind: object.KindRollout, Name: words[1], Version: version, Spec: &object.RolloutSpec{
			Model: "m", Weights: fields["weights"], VMs: fields["vms"], Priority: priority,
			Root: weights.Sum([]byte(fields["weights"])).String(),
		}})
	}
	return s, l
}

func show(p *plan.Plan, s *snapshot.Snapshot) string {
	var out []string
	for vm, names := range p.ByVM {
		if len(names) > 0 {
			out = append(out, vm+": "+strings.Join(names, " "))
		}
	}
	for vm := range p.Drained {
		out = append(out, "drained "+vm)
	}
	slices.Sort(out)
	for _, w := range p.Warnings(s) {
		with := ""
		if w.With.Name != "" {
			with = " with " + w.With.String()
		}
		out = append(out, fmt.Sprintf("warning %s%s: %s", w.Object, with, w.Text))
	}
	return strings.Join(out, "\n")
}

var _ = Describe("Make", func() {
	cases, err := casefile.Read("testdata/plans.txt")
	if err != nil {
		panic(err)
	}
	for _, c := range cases {
		It("plans "+c.Name, func() {
			s, l := parse(c.Input)
			Expect(show(plan.Make(s, l), s)).To(Equal(c.Want))
		})
	}
})

var _ = Describe("Permitted", func() {
	rollout := func(batch, maxFailed int) *plan.Rollout {
		r := &plan.Rollout{Spec: &object.RolloutSpec{Strategy: object.Strategy{Batch: batch, MaxFailed: maxFailed}}}
		for i := range 6 {
			r.VMs = append(r.VMs, objectstore.VM{Name: strconv.Itoa(i)})
		}
		return r
	}
	at := func(states string) func(string) plan.Activation {
		return func(vm string) plan.Activation {
			i, _ := strconv.Atoi(vm)
			return map[byte]plan.Activation{
				'.': plan.ActivationPending, 'L': plan.ActivationLive, 'F': plan.ActivationFailed, 'G': plan.ActivationGone,
			}[states[i]]
		}
	}
	DescribeTable("lets a wave begin once nobody before it is pending",
		func(batch, maxFailed int, states string, permitted int, halted bool) {
			p := rollout(batch, maxFailed).Permitted(at(states))
			Expect(p.VMs).To(Equal(permitted))
			Expect(p.Halted != "").To(Equal(halted))
		},
		Entry("all at once", 0, 0, "......", 6, false),
		Entry("the first wave", 2, 0, "......", 2, false),
		Entry("half of the first wave", 2, 0, "L.....", 2, false),
		Entry("the second wave", 2, 0, "LL....", 4, false),
		Entry("a VM that is gone holds nobody up", 2, 0, "LG....", 4, false),
		Entry("one may fail", 2, 1, "LF....", 4, false),
		Entry("none may fail", 2, 0, "LF....", 1, true),
		Entry("what is live stays", 2, 0, "LLLF..", 3, true),
		Entry("the last wave", 4, 0, "LLLL..", 6, false),
	)
})
