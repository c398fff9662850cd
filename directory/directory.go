// Package directory answers callers that ask which entries to use.
package directory

import (
	"slices"

	"github.com/silverdeck/silverdeck/member"
)

// maxAddresses bounds an answer.
const maxAddresses = 64

// enough is how many entries of a caller's own zone make others needless.
const enough = 2

// Addresses returns the addresses of live entries for a caller in zone of
// region: those of its zone, and when there are too few, those of its region
// and then all others.
func Addresses(live []member.Entry, zone, region string) []string {
	var out []string
	add := func(wanted func(member.Entry) bool) {
		for _, e := range live {
			if wanted(e) && !slices.Contains(out, e.Callers) && len(out) < maxAddresses {
				out = append(out, e.Callers)
			}
		}
	}
	add(func(e member.Entry) bool { return e.Zone == zone })
	if len(out) < enough {
		add(func(e member.Entry) bool { return e.Region == region })
	}
	if len(out) < enough {
		add(func(member.Entry) bool { return true })
	}
	return out
}
