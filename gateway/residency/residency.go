// Package residency decides in which regions a request may be processed.
package residency

import "slices"

// Regions is a set of regions. The zero value contains all regions.
type Regions struct {
	// Restricted is set if only the regions in Names belong to the set.
	Restricted bool
	Names      []string
}

// Intersect returns the regions that are in all of the lists. An empty list stands for all
// regions.
func Intersect(lists ...[]string) Regions {
	var out Regions
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !out.Restricted:
			out = Regions{Restricted: true, Names: slices.Clone(list)}
		default:
			out.Names = slices.DeleteFunc(out.Names, func(name string) bool { return !slices.Contains(list, name) })
		}
	}
	return out
}

// Union returns the regions that are in one of the lists at least. An empty list stands for all
// regions.
func Union(lists ...[]string) Regions {
	out := Regions{Restricted: len(lists) > 0}
	for _, list := range lists {
		if len(list) == 0 {
			return Regions{}
		}
		out.Names = append(out.Names, list...)
	}
	return out
}

// Permits reports whether a request may be processed in region. A region that is not known, "",
// is permitted only if all regions are.
func (r Regions) Permits(region string) bool {
	return !r.Restricted || region != "" && slices.Contains(r.Names, region)
}
