// Command silverdeck-entry is the process on the entry VMs.
package main

import (
	"time"

	"go.uber.org/fx"

	"github.com/silverdeck/silverdeck/process"
	"github.com/silverdeck/silverdeck/standalone/entry"
	"github.com/silverdeck/silverdeck/standalone/secure"
	"github.com/silverdeck/silverdeck/standalone/settings"
)

// stopLimit is how long a planned stop waits for requests in progress.
const stopLimit = 10 * time.Minute

func main() {
	cfg := settings.DefaultEntry()
	settings.FromCommandLine(cfg)
	process.Run[*entry.Entry]("silverdeck-entry", cfg.Identity, cfg.Telemetry, stopLimit, entry.New, fx.Supply(cfg), fx.Provide(secure.NewNetwork))
}
