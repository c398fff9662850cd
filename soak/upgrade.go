package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/silverdeck/silverdeck/wait"
)

// upgradePart is the part of a soak in which programs of an earlier release are replaced;
// before and after it all are of one release.
const upgradePart = 0.7

// upgrade replaces all processes one by one, in an order that the seed decides, by planned
// stops while everything else goes on.
func (w *world) upgrade(ctx context.Context) {
	r := rand.New(rand.NewPCG(w.cfg.Seed, 3))
	all := w.processes()
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	pause := time.Duration(upgradePart * float64(w.cfg.For) / float64(len(all)))
	for _, p := range all {
		if !wait.For(ctx, pause) {
			return
		}
		p.replace()
	}
}
