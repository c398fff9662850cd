package entry

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
	"github.com/silverdeck/silverdeck/wait"
)

// Watching the platform.
const (
	// watchersPerZone is how many entries of an availability zone watch the
	// platform; the others learn from them.
	watchersPerZone = 2
	// idleCheck is how often an entry that does not watch asks whether it should.
	idleCheck = time.Second
	// silenceLimit is how long an entry may hear from no other before it
	// watches by itself.
	silenceLimit = 5 * time.Second
	// firstPause is the first pause after a call that failed; it doubles.
	firstPause = 100 * time.Millisecond
	// maxPause is the longest pause.
	maxPause = 5 * time.Second
)

// watch calls once again and again while this entry is one of those that
// watch, and backs off with jitter while the platform is down.
func (e *Entry) watch(ctx context.Context, once func(context.Context) error) {
	pause := firstPause
	for ctx.Err() == nil {
		if !e.watches() {
			wait.For(ctx, idleCheck)
			continue
		}
		err := once(ctx)
		var unchanged *objectstore.UnchangedError
		var missing *objectstore.NotFoundError
		switch {
		case err == nil, errors.As(err, &unchanged):
			pause = firstPause
		case errors.As(err, &missing):
			wait.For(ctx, idleCheck)
		default:
			e.log.Debug("watch failed", "err", err)
			wait.For(ctx, time.Duration((0.5+e.random())*float64(pause)))
			pause = min(2*pause, maxPause)
		}
	}
}

// watches returns whether this entry watches the platform for its zone.
func (e *Entry) watches() bool {
	if e.spreader.silentFor() > silenceLimit {
		return true
	}
	var names []string
	for _, vm := range e.list.Load().VMs {
		if vm.Role == objectstore.RoleEntry && vm.Zone == e.cfg.Zone && !vm.Leaving {
			names = append(names, vm.Name)
		}
	}
	key := func(name string) uint64 { return xxhash.Sum64String(e.cfg.Zone + "\x00" + name) }
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(key(a), key(b)) })
	at := slices.Index(names, e.cfg.VM)
	return at < watchersPerZone
}

// watchSnapshot waits for one newer snapshot.
func (e *Entry) watchSnapshot(ctx context.Context) error {
	v, err := e.platform.Watch(ctx, snapshot.Key, e.platformVersion.Load())
	if err != nil {
		return err
	}
	s, err := snapshot.Decode(v.Data)
	if err != nil {
		return err
	}
	e.platformVersion.Store(v.Version)
	if e.holder.Advance(s) {
		e.changed(whatSnapshot, s.Revision)
	}
	return nil
}

// watchList waits for one newer list of VMs.
func (e *Entry) watchList(ctx context.Context) error {
	before := e.platform.Unreadable()
	l, err := e.platform.WatchVMs(ctx, e.list.Load().Version)
	if err != nil {
		return err
	}
	if n := e.platform.Unreadable() - before; n > 0 {
		e.log.Warn("VMs left out of the list, not readable", "count", n, "version", l.Version)
	}
	e.advanceList(&l)
	return nil
}

// advanceList takes in a list of VMs if it is newer.
func (e *Entry) advanceList(l *objectstore.VMList) {
	for {
		old := e.list.Load()
		if l.Version <= old.Version {
			return
		}
		if e.list.CompareAndSwap(old, l) {
			e.changed(whatList, l.Version)
			return
		}
	}
}
