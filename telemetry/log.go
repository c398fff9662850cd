// Package telemetry makes a process observable: logs in JSON lines, metrics,
// traces with a span for each hop, health and a state dump. It owns the queue of
// log lines, whose writer never makes a request wait.
package telemetry

import (
	"io"

	"github.com/charmbracelet/log"
)

// NewLogger returns a logger that writes JSON lines to w with the process's
// VM, availability zone and region in each.
func NewLogger(w io.Writer, level string, id Identity) *log.Logger {
	l := log.NewWithOptions(w, log.Options{ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Formatter: log.JSONFormatter})
	if lv, err := log.ParseLevel(level); err == nil {
		l.SetLevel(lv)
	}
	return l.With("vm", id.VM, "zone", id.Zone, "region", id.Region)
}
