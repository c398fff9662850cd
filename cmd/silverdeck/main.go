// Command silverdeck is the operators' command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/silverdeck/silverdeck"
	"github.com/silverdeck/silverdeck/responsehead"
	"github.com/silverdeck/silverdeck/standalone/operator"
)

// Exit statuses that scripts can use.
const (
	// exitFailed is for whatever has no status of its own.
	exitFailed = 1
	// exitUsage is for wrong arguments.
	exitUsage = 2
	// exitConflict is for a change that another operator's came before.
	exitConflict = 3
	// exitUnknown is for a change that may have been accepted.
	exitUnknown = 4
	// exitWarnings is for files or a configuration with warnings.
	exitWarnings = 5
	// exitNotLive is for a rollout that is not live in time.
	exitNotLive = 6
)

type args struct {
	Entry    string `arg:"--entry,env:SILVERDECK_ENTRY" default:"http://127.0.0.1:7001" help:"URL of an entry's operators' port"`
	Operator string `arg:"--as,env:SILVERDECK_OPERATOR" help:"your name, where no tokens are set up; else your login"`
	Token    string `arg:"--token,env:SILVERDECK_TOKEN" help:"your token"`

	Apply    *applyCmd    `arg:"subcommand:apply" help:"create or change objects from files, all together or none"`
	Get      *getCmd      `arg:"subcommand:get" help:"list objects, endpoints, or show one object"`
	Describe *describeCmd `arg:"subcommand:describe" help:"show one object with what it selects and what is odd about it"`
	Delete   *deleteCmd   `arg:"subcommand:delete" help:"delete an object"`
	Label    *labelCmd    `arg:"subcommand:label" help:"set labels of an object: key=value, or key- to remove"`
	Diff     *applyCmd    `arg:"subcommand:diff" help:"show what apply would change"`
	Rollout  *rolloutCmd  `arg:"subcommand:rollout" help:"watch and steer a rollout"`
	Drain    *drainCmd    `arg:"subcommand:drain" help:"take VMs out of service for new work"`
	Undrain  *undrainCmd  `arg:"subcommand:undrain" help:"end a drain"`
	Events   *eventsCmd   `arg:"subcommand:events" help:"show what happened last"`
	Validate *applyCmd    `arg:"subcommand:validate" help:"check files, or with no file the configuration in force; exit 5 on warnings"`
	Manifest *manifestCmd `arg:"subcommand:manifest" help:"write the manifest of a file of weights, to publish beside it"`
	Key      *keyCmd      `arg:"subcommand:key" help:"print the digest of an API key or token, for objects and settings"`
}

// Description implements arg.Described.
func (args) Description() string {
	return "silverdeck edits the labelled objects that say which weights reach which VMs\n" +
		"and client accounts, and shows how far the fleet matches them.\n" +
		"\nExit status: 0 done, 1 failed, 2 wrong arguments, 3 conflict with another\n" +
		"operator, 4 not known whether the change was accepted, 5 warnings, 6 not live.\n"
}

// Version implements arg.Versioned.
func (args) Version() string {
	return "silverdeck " + silverdeck.Version
}

// command is one subcommand.
type command interface {
	// run carries the command out.
	run(ctx context.Context, c *operator.Client) error
}

// exitError carries an exit status.
type exitError struct {
	status int
	err    error
}

// Error returns the cause's text.
func (e *exitError) Error() string {
	return e.err.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error {
	return e.err
}

// httpLimit bounds one call to an entry.
const httpLimit = 30 * time.Second

func main() {
	var a args
	p := arg.MustParse(&a)
	cmd, ok := p.Subcommand().(command)
	if !ok {
		p.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
	if a.Diff != nil {
		a.Diff.diff = true
	}
	if a.Validate != nil {
		a.Validate.validate = true
	}
	client := &http.Client{Transport: responsehead.DefaultTransport(), Timeout: httpLimit}
	c := &operator.Client{Base: a.Entry, Operator: operatorName(a.Operator), Token: a.Token, HTTP: client}
	if err := cmd.run(context.Background(), c); err != nil {
		fmt.Fprintln(os.Stderr, "silverdeck:", err)
		os.Exit(status(err))
	}
}

func operatorName(s string) string {
	if s != "" {
		return s
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func status(err error) int {
	var e *exitError
	if errors.As(err, &e) {
		return e.status
	}
	var answer *operator.AnswerError
	if errors.As(err, &answer) {
		switch answer.Code {
		case operator.CodeConflict:
			return exitConflict
		case operator.CodeUnknown:
			return exitUnknown
		}
	}
	return exitFailed
}
