package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/operator"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
)

type rolloutCmd struct {
	Status *rolloutStatusCmd `arg:"subcommand:status" help:"show how far a rollout is, and who is behind and why"`
	Wait   *rolloutWaitCmd   `arg:"subcommand:wait" help:"wait until it is live everywhere; exit 6 if it is not in time"`
	Pause  *rolloutSetCmd    `arg:"subcommand:pause" help:"activate no further VMs; weights still travel"`
	Resume *rolloutSetCmd    `arg:"subcommand:resume" help:"go on after a pause"`
	Undo   *rolloutSetCmd    `arg:"subcommand:undo" help:"go back to the version before"`
}

type rolloutStatusCmd struct {
	Name   string `arg:"positional" help:"rollout, or nothing for all"`
	Output string `arg:"-o,--output" default:"table" help:"table or json"`
}

type rolloutWaitCmd struct {
	Name    string        `arg:"positional" help:"rollout, or nothing for all"`
	Timeout time.Duration `arg:"--timeout" default:"10m"`
	Quiet   bool          `arg:"-q,--quiet" help:"show no progress"`
}

type rolloutSetCmd struct {
	Name string `arg:"positional,required" help:"rollout"`
}

// pollEvery is how often a wait looks.
const pollEvery = 100 * time.Millisecond

func (r *rolloutCmd) run(ctx context.Context, c *operator.Client) error {
	switch {
	case r.Status != nil:
		return r.Status.run(ctx, c)
	case r.Wait != nil:
		return r.Wait.run(ctx, c)
	case r.Pause != nil:
		return r.Pause.set(ctx, c, func(s *object.RolloutSpec) error { s.Strategy.Paused = true; return nil })
	case r.Resume != nil:
		return r.Resume.set(ctx, c, func(s *object.RolloutSpec) error { s.Strategy.Paused = false; return nil })
	case r.Undo != nil:
		return r.Undo.set(ctx, c, undo)
	}
	return &exitError{status: exitUsage, err: errors.New("rollout: status, wait, pause, resume or undo?")}
}

// errNoPrevious tells that there is nothing to go back to.
var errNoPrevious = errors.New("the rollout has no version before this one")

func undo(s *object.RolloutSpec) error {
	if s.Previous == nil {
		return errNoPrevious
	}
	s.Weights, s.Root = s.Previous.Weights, s.Previous.Root
	s.Strategy.Paused = false
	return nil
}

func (r *rolloutSetCmd) set(ctx context.Context, c *operator.Client, edit func(*object.RolloutSpec) error) error {
	s, o, err := find(ctx, c, string(object.KindRollout)+"/"+r.Name)
	if err != nil {
		return err
	}
	if err := edit(o.Spec.(*object.RolloutSpec)); err != nil {
		return err
	}
	return change(ctx, c, s, snapshot.Change{Op: snapshot.OpPut, Object: *o, Expect: o.Version})
}

func (r *rolloutStatusCmd) run(ctx context.Context, c *operator.Client) error {
	s, err := c.Status(ctx)
	if err != nil {
		return err
	}
	list := chosen(s.Rollouts, r.Name)
	if r.Output == outputJSON {
		return printJSON(list)
	}
	for _, x := range list {
		printRollout(x)
	}
	fmt.Printf("revision %d in force on %d of %d, oldest %d\n", s.Revision, s.InForce.On, s.InForce.Of, s.InForce.Oldest)
	return nil
}

func chosen(all []operator.RolloutStatus, name string) []operator.RolloutStatus {
	out := []operator.RolloutStatus{}
	for _, r := range all {
		if name == "" || r.Name == name {
			out = append(out, r)
		}
	}
	return out
}

// mib is a mebibyte, in bytes.
const mib = 1 << 20

func printRollout(r operator.RolloutStatus) {
	fmt.Printf("%s: %s %s (%s)\n", r.Name, r.Subject, r.Weights, r.Root)
	fmt.Printf("  live %d of %d, failed %d, may activate %d%s\n", r.Live, r.Replicas, r.Failed, r.Permitted, note(r.Halted))
	fmt.Printf("  chunks %d of %d; %.1f MiB from the origin, %.1f MiB from other VMs\n",
		r.ChunksHave, r.ChunksTotal, float64(r.OriginBytes)/mib, float64(r.PeerBytes)/mib)
	for _, b := range r.Behind {
		fmt.Printf("  behind: %s: %s\n", b.VM, b.Why)
	}
}

func note(s string) string {
	if s == "" {
		return ""
	}
	return "; halted: " + s
}

func (r *rolloutWaitCmd) run(ctx context.Context, c *operator.Client) error {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	began := time.Now()
	last := ""
	for {
		s, err := c.Status(ctx)
		if err == nil {
			list := chosen(s.Rollouts, r.Name)
			if live(list) {
				return nil
			}
			line := progressLine(list, time.Since(began))
			if line != last && !r.Quiet {
				fmt.Fprintln(os.Stderr, line)
				last = line
			}
		}
		select {
		case <-ctx.Done():
			return &exitError{status: exitNotLive, err: errors.New("not live everywhere in time; see rollout status")}
		case <-time.After(pollEvery):
		}
	}
}

func live(list []operator.RolloutStatus) bool {
	for _, r := range list {
		if r.Live < r.Replicas {
			return false
		}
	}
	return len(list) > 0
}

// progressLine sums up rollouts, with the time left at the pace so far.
func progressLine(list []operator.RolloutStatus, took time.Duration) string {
	var n, of, have, total int
	var fromOrigin, fromPeers int64
	for _, r := range list {
		n, of = n+r.Live, of+r.Replicas
		have, total = have+r.ChunksHave, total+r.ChunksTotal
		fromOrigin, fromPeers = fromOrigin+r.OriginBytes, fromPeers+r.PeerBytes
	}
	left := "?"
	if have > 0 && have < total {
		left = (took * time.Duration(total-have) / time.Duration(have)).Round(time.Second).String()
	}
	if total > 0 && have == total {
		left = "loading"
	}
	return fmt.Sprintf("live %d/%d, chunks %d/%d, %.1f MiB from the origin, %.1f MiB from other VMs, time left %s",
		n, of, have, total, float64(fromOrigin)/mib, float64(fromPeers)/mib, left)
}
