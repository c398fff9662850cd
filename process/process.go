// Package process runs a program of silverdeck from its start to a planned stop,
// with its logs, metrics and traces.
package process

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/silverdeck/silverdeck/telemetry"
)

// ExitUsage is the exit status for settings or arguments that are wrong.
const ExitUsage = 2

// exitFailed is the exit status of a start or stop that failed.
const exitFailed = 1

// Service is what a process runs.
type Service interface {
	// Start begins to serve and returns.
	Start(ctx context.Context) error
	// Stop ends without cutting what is in progress, for as long as ctx allows.
	Stop(ctx context.Context) error
}

// Run builds a Service by newService, which takes what fx provides, and runs
// it until a signal.
func Run[S Service](name string, id telemetry.Identity, t telemetry.Settings, stop time.Duration, newService any, opts ...fx.Option) {
	asked := takeSignals()
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
	code := serve(app, asked)
	_ = out.Close() // there is nowhere left to say so
	os.Exit(code)
}

// takeSignals takes the signals of a planned stop until the process is gone, so that none has
// its default effect: one that comes before the start is over stops the service once it is,
// and a further one during the stop changes nothing. What fx takes of them it lets go of when
// a stop begins; the next signal then ended the process with the requests that it was to
// bring to an end, and without its last lines.
func takeSignals() <-chan os.Signal {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGTERM, os.Interrupt)
	return asked
}

// serve runs app until a signal and returns the exit status. The caller exits once the
// last lines are written: those of a stop that failed are the ones that will be looked for.
func serve(app *fx.App, asked <-chan os.Signal) int {
	ctx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	<-asked
	ctx, cancel = context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		return exitFailed
	}
	return 0
}

func hook[S Service](lc fx.Lifecycle, s S, tracer *telemetry.Tracer) {
	lc.Append(fx.Hook{OnStop: tracer.Close})
	lc.Append(fx.Hook{OnStart: s.Start, OnStop: s.Stop})
}
