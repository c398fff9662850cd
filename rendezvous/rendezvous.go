// Package rendezvous chooses one of several names for a key, so that all who know the same
// names choose the same one, and a name that goes or comes moves only the keys that it had or
// gets.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Choose returns the name with the highest hash of key and name, or an empty one without
// names. Programs of several versions must choose alike.
func Choose(key string, names []string) string {
	chosen, highest := "", uint64(0)
	for _, name := range names {
		if h := xxhash.Sum64String(key + "\x00" + name); chosen == "" || h > highest {
			chosen, highest = name, h
		}
	}
	return chosen
}
