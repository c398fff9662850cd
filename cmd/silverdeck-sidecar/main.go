// Command silverdeck-sidecar is the process beside each endpoint on the users'
// platform.
package main

import (
	"github.com/silverdeck/silverdeck/platform/program"
	"github.com/silverdeck/silverdeck/sidecar"
)

func main() {
	start := program.Load()
	program.Run[*sidecar.Sidecar]("silverdeck-sidecar", start, sidecar.New)
}
