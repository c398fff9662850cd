// Command requests measures the policy of routing, limits and retries against
// baselines, in one run, with the stand-in engines behind real agents and real
// entries on loopback.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/jedib0t/go-pretty/v6/table"
)

type args struct {
	Runners  int           `arg:"--runners" default:"6" help:"endpoints"`
	Slots    int           `arg:"--slots" default:"4" help:"requests that an endpoint runs at once"`
	For      time.Duration `arg:"--for" default:"4s" help:"how long each measurement lasts"`
	BasePort int           `arg:"--port" default:"31000" help:"first port"`
}

func main() {
	var a args
	arg.MustParse(&a)
	f, err := startFleet(a)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	defer f.stop()
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.AppendHeader(table.Row{"question", "figure", "target", "met"})
	add := func(question, figure, target string, met bool) {
		t.AppendRow(table.Row{question, figure, target, met})
		fmt.Fprintln(os.Stderr, question+":", figure)
	}
	f.calibrate()
	f.measureUrgent(add)
	f.measureLatency(add)
	f.measureOverload(add)
	f.measureRetries(add)
	t.Render()
	fmt.Printf("%d endpoints of %d slots, a token each %s; %.1f requests of %d tokens a second at the most; each measurement lasts %s.\n", a.Runners, a.Slots, tokenTime, f.capacity, longTokens, a.For)
}

// adder adds a row to the table.
type adder func(question, figure, target string, met bool)
