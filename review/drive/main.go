package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the plays by name. Each file adds its own.
var cases = map[string]func(p *platform, r *record) error{}

func main() {
	os.Exit(run(os.Args))
}

// run plays the case args[1], and writes the record to the file args[2].
func run(args []string) int {
	if len(args) > 1 && args[1] == "runner" {
		return runStreamRunner(args[2:])
	}
	if len(args) != 3 || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE RECORD")
		return exitNotRun
	}
	p, err := newPlatform()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer p.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		p.close()
		os.Exit(exitNotRun)
	}()
	r := newRecord()
	if err := cases[args[1]](p, r); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken := r.judge()
	if err := r.write(args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Println("broken rules:", broken)
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
