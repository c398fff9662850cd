package compat_test

import (
	"os/exec"
	"strings"
	"testing"
)

const module = "github.com/silverdeck/silverdeck"

// linked returns the packages of this module that a program links, without the
// module's name.
func linked(t *testing.T, program string) []string {
	var problems strings.Builder
	list := exec.Command("go", "list", "-deps", module+"/cmd/"+program)
	list.Stderr = &problems
	out, err := list.Output()
	if err != nil {
		t.Fatal(err, problems.String())
	}
	var packages []string
	for _, p := range strings.Fields(string(out)) {
		if name, ours := strings.CutPrefix(p, module+"/"); ours {
			packages = append(packages, name)
		}
	}
	return packages
}

// foreign are folders that hold what a program of a deployment must not link.
var foreign = map[string][]string{
	"silverdeck-gateway":   {"standalone/", "standin", "soak"},
	"silverdeck-directory": {"standalone/", "standin", "soak", "gateway/proxy", "gateway/balance", "gateway/policy"},
	"silverdeck-sidecar":   {"standalone/", "standin", "soak", "gateway/proxy", "gateway/balance", "gateway/policy"},
	"silverdeck-entry":     {"gateway", "sidecar", "platform", "standin", "soak"},
	"silverdeck-agent":     {"gateway", "sidecar", "platform", "standin", "soak"},
	"silverdeck":           {"gateway", "sidecar", "platform", "standin", "soak"},
}

func TestNoProgramLinksTheOtherDeployment(t *testing.T) {
	for program, folders := range foreign {
		for _, p := range linked(t, program) {
			for _, folder := range folders {
				if p == strings.TrimSuffix(folder, "/") || strings.HasPrefix(p, strings.TrimSuffix(folder, "/")+"/") {
					t.Errorf("%s links %s", program, p)
				}
			}
		}
	}
}
