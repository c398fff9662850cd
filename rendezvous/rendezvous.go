// Package rendezvous implements rendezvous hashing (highest random weight): processes that know
// the same names choose the same one for a key, and adding or removing a name moves only the
// keys assigned to that name.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Choose returns the name with the highest hash of key and name, or "" if there are no names.
// The hash must not change, since different versions must choose the same name.
func Choose(key string, names []string) string {
	chosen, highest := "", uint64(0)
	for _, name := range names {
		if h := xxhash.Sum64String(key + "\x00" + name); chosen == "" || h > highest {
			chosen, highest = name, h
		}
	}
	return chosen
}
