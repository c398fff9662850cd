// Command silverdeck-agent is the small process beside each endpoint.
package main

import (
	"time"

	"go.uber.org/fx"

	"github.com/silverdeck/silverdeck/process"
	"github.com/silverdeck/silverdeck/standalone/agent"
	"github.com/silverdeck/silverdeck/standalone/secure"
	"github.com/silverdeck/silverdeck/standalone/settings"
)

func main() {
	cfg := settings.DefaultAgent()
	settings.FromCommandLine(cfg)
	stop := time.Duration(cfg.StopSeconds) * time.Second
	process.Run[*agent.Agent]("silverdeck-agent", cfg.Identity, cfg.Telemetry, stop, agent.New, fx.Supply(cfg), fx.Provide(secure.NewNetwork))
}
