package settings

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/silverdeck/silverdeck"
	"github.com/silverdeck/silverdeck/process"
)

// args is the command line of silverdeck-entry and silverdeck-agent.
type args struct {
	Config      string `arg:"--config,required" help:"file of settings in JSON"`
	CheckConfig bool   `arg:"--check-config" help:"check the settings and exit"`
	PrintConfig bool   `arg:"--print-config" help:"print the settings in force and exit"`
}

// Version implements arg.Versioned.
func (args) Version() string {
	return "silverdeck " + silverdeck.Version
}

// FromCommandLine reads the command line, and the settings that it names into s. It ends the process
// when that is all that was asked for, or when something is wrong.
func FromCommandLine(s Checker) {
	var a args
	arg.MustParse(&a)
	if err := Load(a.Config, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(process.ExitUsage)
	}
	if a.PrintConfig {
		_ = Print(os.Stdout, s)
	}
	if a.PrintConfig || a.CheckConfig {
		os.Exit(0)
	}
}
