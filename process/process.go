// Package process runs a silverdeck program from its start to a graceful stop, with logging,
// metrics and tracing set up.
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

// ExitUsage is the exit status for invalid settings or arguments.
const ExitUsage = 2

// exitFailed is the exit status for a failed start or stop.
const exitFailed = 1

// Service is the part of a program that Run starts and stops.
type Service interface {
	// Start starts serving and returns without blocking.
	Start(ctx context.Context) error
	// Stop stops the service once the requests in progress have finished, or when ctx is
	// done.
	Stop(ctx context.Context) error
}

// Run builds a Service with newService, whose parameters fx provides, and runs it until a
// SIGTERM or SIGINT. The service has the time stop to stop. Run ends the process.
func Run[S Service](name string, id telemetry.Identity, t telemetry.Settings, stop time.Duration, newService any, opts ...fx.Option) {
	signals := notifySignals()
	var out *telemetry.Writer
	app := fx.New(append(opts,
		fx.Supply(t, id),
		fx.Provide(
			telemetry.NewStdoutWriter,
			func(w *telemetry.Writer) *log.Logger {
				return telemetry.NewLogger(w, t.LogLevel, id).With("process", name)
			},
			func() (*telemetry.Tracer, error) { return telemetry.NewTracer(t, name, id) },
			metrics.NewRegistry,
			newService,
		),
		fx.Populate(&out),
		fx.Invoke(registerHooks[S]),
		fx.StopTimeout(stop),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)...)
	if err := app.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := serve(app, signals)
	_ = out.Close() // the log itself is closed, so an error cannot be logged
	os.Exit(code)
}

// notifySignals registers for SIGTERM and SIGINT until the process exits, so that neither has
// its default effect: a signal during the start stops the service after the start, and a
// further signal during the stop is ignored. The signal handling of fx is not enough: it
// unregisters when a stop begins, and a second signal would then kill the process together
// with the requests in progress and the log lines still buffered.
func notifySignals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	return signals
}

// serve runs app until a signal arrives and returns the exit status. It does not exit itself:
// the buffered log lines have to be written first, and those of a failed stop are needed to
// diagnose it.
func serve(app *fx.App, signals <-chan os.Signal) int {
	ctx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	<-signals
	ctx, cancel = context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		return exitFailed
	}
	return 0
}

// registerHooks starts and stops s with the app. The tracer is closed after s has stopped.
func registerHooks[S Service](lc fx.Lifecycle, s S, tracer *telemetry.Tracer) {
	lc.Append(fx.Hook{OnStop: tracer.Close})
	lc.Append(fx.Hook{OnStart: s.Start, OnStop: s.Stop})
}
