package mirror

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// State is a copy of all objects at one revision.
type State struct {
	Revision int64
	// Changed is the highest revision of any object seen so far, including deletions.
	Changed int64
	// Digest is a hash of the names and revisions of all objects.
	Digest  uint64
	Objects map[string]Object
	// Era is the era of the store to which all revisions belong.
	Era int64
}

// Position returns the position of the copy.
func (s *State) Position() Position {
	return Position{Era: s.Era, Revision: s.Revision}
}

// Version identifies a copy, to determine which of two is newer.
type Version struct {
	Revision int64  `json:"rev"`
	Digest   uint64 `json:"digest"`
	// Era is the store's; older versions omit and ignore it.
	Era int64 `json:"era,omitempty"`
}

// Version returns the copy's version.
func (s *State) Version() Version {
	return Version{Revision: s.Revision, Digest: s.Digest, Era: s.Era}
}

// Position returns the position of the copy.
func (v Version) Position() Position {
	return Position{Era: v.Era, Revision: v.Revision}
}

// NewerThan reports whether v is a later copy than u with different objects.
func (v Version) NewerThan(u Version) bool {
	return v.Position().After(u.Position()) && (v.Digest != u.Digest || v.Era != u.Era || u.Revision == 0)
}

// digest returns the object's contribution to a copy's digest.
func (o *Object) digest() uint64 {
	return xxhash.Sum64String(o.Name + "\x00" + strconv.FormatInt(o.Revision, 10))
}

// put adds o, replacing any object with the same name.
func (s *State) put(o Object) {
	s.remove(o.Name)
	s.Objects[o.Name] = o
	s.Digest ^= o.digest()
	s.Changed = max(s.Changed, o.Revision)
}

func (s *State) remove(name string) {
	if old, found := s.Objects[name]; found {
		s.Digest ^= old.digest()
		delete(s.Objects, name)
	}
}

// newState returns an empty copy at p with room for n objects.
func newState(p Position, n int) *State {
	return &State{Era: p.Era, Revision: p.Revision, Objects: make(map[string]Object, n)}
}

// Delta is the difference of a copy from an older one.
type Delta struct {
	Version Version
	// Names lists all objects of the copy; Objects holds those that are newer than the older
	// copy.
	Names   []string
	Objects []Object
}

// Since returns the difference of s from a copy that has all changes up to revision changed.
func (s *State) Since(changed int64) *Delta {
	d := &Delta{Version: s.Version(), Names: make([]string, 0, len(s.Objects))}
	for name, o := range s.Objects {
		d.Names = append(d.Names, name)
		if o.Revision > changed {
			d.Objects = append(d.Objects, o)
		}
	}
	return d
}

// Apply returns s with d applied. It returns false if an object is missing from both s and d,
// or if the digest of the result differs from that of d. Objects of another era are not used.
func (s *State) Apply(d *Delta) (*State, bool) {
	if d.Version.Era != s.Era && d.Version.Era != 0 {
		s = &State{}
	}
	out := newState(d.Version.Position(), len(d.Names))
	changed := make(map[string]Object, len(d.Objects))
	for _, o := range d.Objects {
		changed[o.Name] = o
	}
	for _, name := range d.Names {
		o, found := changed[name]
		if !found {
			o, found = s.Objects[name]
		}
		if !found {
			return nil, false
		}
		out.put(o)
	}
	out.Changed = max(out.Changed, s.Changed)
	return out, out.Digest == d.Version.Digest
}
