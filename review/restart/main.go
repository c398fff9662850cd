// Command restart plays a small deployment in which all processes are killed soon after new weights were
// named. The programs of deploy/system.toml run as processes of their own on loopback addresses. The
// platform's store, the runners, the origin of weights and the clients are stand-ins in this process.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not
// run. With TROUBLE=0 in the environment it does the same without the kill.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// limit is the longest that a case may take.
const limit = 110 * time.Second

func main() {
	rule := flag.String("rule", "RECOVER", "the rule of the case: RECOVER or VERSION")
	out := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*rule, *out, os.Getenv("TROUBLE") != "0"))
}

// run plays a case and returns the exit code.
func run(rule, out string, trouble bool) int {
	c, known := cases[rule]
	if !known {
		fmt.Fprintf(os.Stderr, "no case for the rule %q\n", rule)
		return exitFailed
	}
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	broken, err := play(ctx, c, rec, trouble)
	if err == nil {
		err = ctx.Err() // the case was ended early
	}
	switch {
	case err != nil:
		rec.add("case not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		return exitBroken
	}
	return exitHeld
}

// play starts the deployment, plays the case and ends all processes.
func play(ctx context.Context, c *scenario, rec *record, trouble bool) (broken bool, err error) {
	dir, err := os.MkdirTemp("", "silverdeck-review-")
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	programs, err := filepath.Abs("target")
	if err != nil {
		return false, err
	}
	d, err := newDeployment(c.size, rec, programs, dir)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return false, err
	}
	return c.play(ctx, d, trouble)
}
