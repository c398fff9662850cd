// Package directory selects the gateway addresses returned to clients that look up which
// gateways to use.
package directory

import (
	"cmp"
	"slices"

	"github.com/silverdeck/silverdeck/gateway/residency"
	"github.com/silverdeck/silverdeck/member"
)

// maxAddresses is the maximum number of addresses in a response.
const maxAddresses = 64

// Client describes a client that looks up gateways.
type Client struct {
	Zone, Region string
	// Permitted are the regions, beside the client's own, whose gateways may get all of its
	// requests.
	Permitted residency.Regions
	// Possible are the regions in which at least some of its requests may be processed.
	Possible residency.Regions
}

// Addresses returns the addresses of the live gateways in the availability zone of the client.
// If the zone has fewer than two, gateways of other zones are added to make two, preferably
// from the client's region. Where the client's region and the permitted ones have none alive,
// those of the possible regions are added: they refuse the requests that must not be processed
// there, and without them the client would reach nobody. Successive values of turn rotate among the candidates.
func Addresses(live []member.Entry, c Client, turn int) []string {
	var selected, others, lastResort []member.Entry
	for _, e := range live {
		switch {
		case e.Zone == c.Zone:
			selected = append(selected, e)
		case e.Region == c.Region || c.Permitted.Permits(e.Region):
			others = append(others, e)
		case c.Possible.Permits(e.Region):
			lastResort = append(lastResort, e)
		}
	}
	if len(selected)+len(others) == 0 {
		others = lastResort
	}
	selected = append(selected, fallbacks(others, c.Region, minLocalGateways-len(selected), turn)...)
	out := make([]string, 0, len(selected))
	for _, e := range selected[:min(len(selected), maxAddresses)] {
		out = append(out, e.Callers)
	}
	return out
}

// minLocalGateways is the number of gateways in the client's own zone from which no others are
// added. One gateway is not enough, because it may just have died.
const minLocalGateways = 2

// fallbacks returns up to n of the entries, those of region first. Within each group the order
// is rotated by turn.
func fallbacks(entries []member.Entry, region string, n, turn int) []member.Entry {
	if n <= 0 || len(entries) == 0 {
		return nil
	}
	ordered := make([]member.Entry, 0, len(entries))
	for i := range entries {
		ordered = append(ordered, entries[(i+turn)%len(entries)])
	}
	slices.SortStableFunc(ordered, func(a, b member.Entry) int {
		return cmp.Compare(regionRank(a, region), regionRank(b, region))
	})
	return ordered[:min(n, len(ordered))]
}

// regionRank returns a sort key that puts gateways of region first.
func regionRank(e member.Entry, region string) int {
	if e.Region == region {
		return 0
	}
	return 1
}
