package process

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"github.com/silverdeck/silverdeck"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/settings"
)

// siteArgs is the command line of the processes on the users' platform.
type siteArgs struct {
	Config      string `arg:"--config" help:"the platform's settings file; by default the one that the environment names"`
	CheckConfig bool   `arg:"--check-config" help:"check the settings and exit"`
	LogLevel    string `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

// Version implements arg.Versioned.
func (siteArgs) Version() string {
	return "silverdeck " + silverdeck.Version
}

// Site is what a process on the users' platform is started with.
type Site struct {
	*settings.Site
	path     string
	logLevel string
}

// LoadSite reads the command line and the platform's settings file. It ends
// the process when something is wrong.
func LoadSite() *Site {
	var args siteArgs
	arg.MustParse(&args)
	if args.Config == "" {
		args.Config = platform.SettingsPath()
	}
	site, err := platform.ReadSettings(args.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitUsage)
	}
	if args.CheckConfig {
		os.Exit(0)
	}
	return &Site{Site: site, path: args.Config, logLevel: args.LogLevel}
}

// Memory of a process.
const (
	// collectAt is the growth of the heap, in percent, at which it is collected.
	collectAt = 200
	// memoryShare is the part of the VM's memory that the heap may use.
	memoryShare = 0.7
	megabyte    = 1 << 20
)

// RunSite builds a Service by newService and runs it until a signal.
func RunSite[S Service](name string, site *Site, newService any) {
	debug.SetGCPercent(collectAt)
	if site.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(site.MemoryMB) * megabyte))
	}
	t := settings.Telemetry{Observe: site.Observe, LogLevel: site.logLevel}
	Run[S](name, site.Identity, t, site.Grace, newService, fx.Supply(site.Site), fx.Invoke(site.reload))
}

// reload reads the settings again on SIGHUP and says what came of it.
func (s *Site) reload(l *log.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			if _, err := platform.ReadSettings(s.path); err != nil {
				l.Error("reload failed", "err", err)
				continue
			}
			l.Info("reloaded", "path", s.path)
		}
	}()
}
