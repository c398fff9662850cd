// Package directory chooses the addresses for callers that ask which gateways to
// use. It owns nothing; it relies on the list of live gateways.
package directory

import (
	"cmp"
	"slices"

	"github.com/silverdeck/silverdeck/member"
)

// maxAddresses bounds an answer.
const maxAddresses = 64

// Addresses returns the addresses of live gateways for a caller in zone of
// region: those of its zone. When there is only one, or none, one or two others
// stand in, from its region if there are some; turn says which.
func Addresses(live []member.Entry, zone, region string, turn int) []string {
	var near, others []member.Entry
	for _, e := range live {
		if e.Zone == zone {
			near = append(near, e)
		} else {
			others = append(others, e)
		}
	}
	near = append(near, standIns(others, region, enoughNear-len(near), turn)...)
	out := make([]string, 0, len(near))
	for _, e := range near[:min(len(near), maxAddresses)] {
		out = append(out, e.Callers)
	}
	return out
}

// enoughNear is how many gateways of a caller's own zone make others needless: one may have
// just died.
const enoughNear = 2

// standIns returns n of entries, those of region first and else in turn.
func standIns(entries []member.Entry, region string, n, turn int) []member.Entry {
	if n <= 0 || len(entries) == 0 {
		return nil
	}
	ordered := make([]member.Entry, 0, len(entries))
	for i := range entries {
		ordered = append(ordered, entries[(i+turn)%len(entries)])
	}
	slices.SortStableFunc(ordered, func(a, b member.Entry) int {
		return cmp.Compare(distance(a, region), distance(b, region))
	})
	return ordered[:min(n, len(ordered))]
}

// distance orders gateways by whether they are in region.
func distance(e member.Entry, region string) int {
	if e.Region == region {
		return 0
	}
	return 1
}
