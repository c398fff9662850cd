// Command burst measures how soon weights are live on N replicas, and how
// many bytes that takes from the origin, over real loopback TCP under a link
// rate for each VM. Ratios are against the physical bound of the same run.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/jedib0t/go-pretty/v6/table"
)

type args struct {
	Sizes    []int   `arg:"--n" help:"numbers of replicas; default 10 25 50 100 200"`
	SizeMiB  int     `arg:"--size-mib" default:"32" help:"size of the weights"`
	ChunkKiB int64   `arg:"--chunk-kib" default:"64" help:"size of a chunk"`
	LinkMiB  float64 `arg:"--link-mib" default:"2" help:"rate of each VM's link, each way, in MiB a second"`
	Copies   float64 `arg:"--copies" default:"1.25" help:"the rollout's ceiling on origin copies"`
	Only     string  `arg:"--only" help:"run only swarm or faults"`
	Degree   int     `arg:"--degree" default:"10"`
	Parallel int     `arg:"--parallel" default:"8"`
	PerPeer  int     `arg:"--per-peer" default:"1"`
}

// mib is a mebibyte, in bytes.
const mib = 1 << 20

// result is one line of the table.
type result struct {
	plan       string
	n          int
	seconds    float64
	bound      float64
	copies     float64
	controlBps float64
	cpuPercent float64
	memMiB     float64
	notes      string
}

func main() {
	var a args
	arg.MustParse(&a)
	if len(a.Sizes) == 0 {
		a.Sizes = []int{10, 25, 50, 100, 200}
	}
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.AppendHeader(table.Row{"plan", "N", "seconds", "bound", "time/bound", "origin copies", "control B/s/VM", "CPU %/VM", "memory MiB/VM", "notes"})
	for _, c := range cases(a) {
		r, err := c.run()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Fprintf(os.Stderr, "%s N=%d: %.2f of the bound, %.3f copies; %s\n", r.plan, r.n, r.seconds/r.bound, r.copies, r.notes)
		t.AppendRow(table.Row{r.plan, r.n, fmt.Sprintf("%.1f", r.seconds), fmt.Sprintf("%.1f", r.bound), fmt.Sprintf("%.2f", r.seconds/r.bound),
			fmt.Sprintf("%.3f", r.copies), fmt.Sprintf("%.0f", r.controlBps), fmt.Sprintf("%.2f", r.cpuPercent), fmt.Sprintf("%.1f", r.memMiB), r.notes})
	}
	t.Render()
	fmt.Printf("bound: size/link rate = T/2; with links shared by both directions it is T, twice that. Link %.1f MiB/s each way, origin %.1f MiB/s, weights %d MiB in chunks of %d KiB, at most %.2f copies.\n",
		a.LinkMiB, 2*a.LinkMiB, a.SizeMiB, a.ChunkKiB, a.Copies)
}

// The plans: a rollout without disturbance, and one under faults.
const (
	planSwarm  = "swarm"
	planFaults = "faults"
)

func cases(a args) []*scenario {
	var out []*scenario
	add := func(plan string, n int) {
		if a.Only == "" || a.Only == plan {
			out = append(out, &scenario{args: a, plan: plan, n: n})
		}
	}
	for _, n := range a.Sizes {
		add(planSwarm, n)
	}
	for _, n := range a.Sizes {
		add(planFaults, n)
	}
	return out
}
