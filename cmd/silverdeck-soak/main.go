// Command silverdeck-soak runs our programs as processes beside stand-ins,
// injects random faults and checks what the system promises.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/silverdeck/silverdeck/soak"
)

type args struct {
	Seed     uint64   `arg:"--seed" default:"1" help:"the first seed"`
	Seeds    int      `arg:"--seeds" default:"1" help:"how many seeds, one after the other"`
	Seconds  int      `arg:"--seconds" default:"10" help:"how long faults come, for each seed"`
	Entries  int      `arg:"--entries" default:"3" help:"how many entries"`
	Runners  int      `arg:"--runners" default:"3" help:"how many model endpoints, each with a sidecar"`
	Callers  int      `arg:"--callers" help:"how many callers send requests at once"`
	Routes   int      `arg:"--routes" help:"how many more routes the configuration has"`
	Events   int      `arg:"--events" help:"how many events a stream has"`
	PauseMS  int      `arg:"--pause-ms" help:"the time between two events of a stream, in milliseconds"`
	Mix      soak.Mix `arg:"--mix" default:"faults" help:"what happens meanwhile: faults, long for planned work on busy VMs beside streams of seconds, crash for a request that ends each endpoint that runs it, answers for endpoints that tell of themselves in their answers, places for regions, evacuations and cold endpoints, overload for more streams than the endpoints can serve, unframed for endpoints that break off answers with neither a length nor chunks, or parts for a part of prompts that ends each endpoint that answers it, restored for a store that returns from copies some seconds old, late for second answers of endpoints and a store that applies writes seconds late, spoiled for endpoints that break off answers or send bytes that are no answer, more than one answer or one without an end, or starts for kills of all processes soon after new weights were named"`
	Spoil    []string `arg:"--spoil,separate" help:"a group of shapes of spoiled answers in the mix spoiled, once for each: surplus, nameless, spliced, continued, garbage, cut, invalid or endless; by default all"`
	Programs string   `arg:"--programs" default:"bin" help:"the folder of the built programs"`
	Previous string   `arg:"--previous" help:"a folder of programs of an earlier release, from which processes start and are replaced one by one"`
	Out      string   `arg:"--out" default:"out/soak" help:"a folder for settings and logs"`
}

func main() {
	var a args
	arg.MustParse(&a)
	failed := 0
	for i := range a.Seeds {
		if !play(&a, a.Seed+uint64(i)) {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", a.Seeds-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// play plays one seed and returns whether it kept every promise.
func play(a *args, seed uint64) bool {
	work := filepath.Join(a.Out, fmt.Sprint(seed))
	if err := os.MkdirAll(work, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	report, err := soak.Run(soak.Config{
		Seed: seed, For: time.Duration(a.Seconds) * time.Second, Entries: a.Entries, Runners: a.Runners,
		Callers: a.Callers, Routes: a.Routes, Events: a.Events, EventPause: time.Duration(a.PauseMS) * time.Millisecond,
		Mix: a.Mix, Spoil: a.Spoil, Programs: a.Programs, Previous: a.Previous, Work: work,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	fmt.Println(report)
	for _, line := range report.Broken {
		fmt.Println("  broken:", line)
	}
	if len(report.Broken) > 0 {
		for _, line := range report.Faults {
			fmt.Println("  fault:", line)
		}
	}
	return len(report.Broken) == 0
}
