// Package process runs a silverdeck binary: its command line, its settings,
// its logs and its life from start to a planned stop.
package process

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/silverdeck/silverdeck"
	"github.com/silverdeck/silverdeck/settings"
	"github.com/silverdeck/silverdeck/standalone/secure"
	"github.com/silverdeck/silverdeck/telemetry"
)

// Args is the command line that all long-running processes share.
type Args struct {
	Config      string `arg:"--config,required" help:"file of settings in JSON"`
	CheckConfig bool   `arg:"--check-config" help:"check the settings and exit"`
	PrintConfig bool   `arg:"--print-config" help:"print the settings in force and exit"`
}

// Version implements arg.Versioned.
func (Args) Version() string {
	return "silverdeck " + silverdeck.Version
}

// ExitUsage is the exit status for settings or arguments that are wrong.
const ExitUsage = 2

// Load reads the command line and the settings into s. It ends the process
// when that is all that was asked for, or when something is wrong.
func Load(s settings.Checker) {
	var args Args
	arg.MustParse(&args)
	if err := settings.Load(args.Config, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitUsage)
	}
	if args.PrintConfig {
		_ = settings.Print(os.Stdout, s)
	}
	if args.PrintConfig || args.CheckConfig {
		os.Exit(0)
	}
}

// Service is what a process runs.
type Service interface {
	// Start begins to serve and returns.
	Start(ctx context.Context) error
	// Stop ends without cutting what is in progress, for as long as ctx allows.
	Stop(ctx context.Context) error
}

// Run builds a Service by newService, which takes what fx provides, and runs
// it until a signal.
func Run[S Service](name string, id settings.Identity, t settings.Telemetry, stop time.Duration, newService any, opts ...fx.Option) {
	var out *telemetry.Writer
	app := fx.New(append(opts,
		fx.Supply(t, id),
		fx.Provide(
			telemetry.NewStandardWriter,
			func(w *telemetry.Writer) *log.Logger {
				return telemetry.NewLogger(w, t.LogLevel, id).With("process", name)
			},
			func() (*telemetry.Tracer, error) { return telemetry.NewTracer(t, name, id) },
			metrics.NewRegistry,
			secure.NewNetwork,
			newService,
		),
		fx.Populate(&out),
		fx.Invoke(hook[S]),
		fx.StopTimeout(stop),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)...)
	if err := app.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	app.Run()
	_ = out.Close()
}

func hook[S Service](lc fx.Lifecycle, s S, tracer *telemetry.Tracer) {
	lc.Append(fx.Hook{OnStop: tracer.Close})
	lc.Append(fx.Hook{OnStart: s.Start, OnStop: s.Stop})
}
