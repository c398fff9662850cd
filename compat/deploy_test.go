package compat_test

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// maxLookUps is how many processes a caller asks for addresses, the nearest first.
const maxLookUps = 3

// A caller whose zone is lost must ask a process of another zone, or it reaches nobody.
func TestACallerLooksUpGatewaysBeyondItsZone(t *testing.T) {
	data, err := os.ReadFile("../deploy/system.toml")
	if err != nil {
		t.Fatal(err)
	}
	asked := 0
	for _, role := range strings.Split(string(data), "[roles.")[1:] {
		if !regexp.MustCompile(`(?m)^serves = .*"directory"`).MatchString(role) {
			continue
		}
		asked++
		count := regexp.MustCompile(`(?m)^count = (\d+)$`).FindStringSubmatch(role)
		if count == nil {
			t.Fatalf("all VMs of a class answer look-ups: [roles.%s", role)
		}
		if n, _ := strconv.Atoi(count[1]); n >= maxLookUps {
			t.Errorf("%d VMs of a zone answer look-ups, a caller asks %d", n, maxLookUps)
		}
	}
	if asked != 1 {
		t.Errorf("%d roles answer look-ups, want 1", asked)
	}
}
