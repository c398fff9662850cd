// Package telemetry makes a process observable: logs as JSON lines, metrics, traces with a
// span for each hop, health checks and a state dump. Log lines are buffered and written in the
// background, so that logging never blocks a request.
package telemetry

import (
	"io"

	"github.com/charmbracelet/log"
)

// NewLogger returns a logger that writes JSON lines to w, each with the VM, availability zone
// and region of the process. An invalid level leaves the default, info.
func NewLogger(w io.Writer, level string, id Identity) *log.Logger {
	l := log.NewWithOptions(w, log.Options{ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Formatter: log.JSONFormatter})
	if lv, err := log.ParseLevel(level); err == nil {
		l.SetLevel(lv)
	}
	return l.With("vm", id.VM, "zone", id.Zone, "region", id.Region)
}
