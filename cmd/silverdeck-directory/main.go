// Command silverdeck-directory is the process that answers look-ups of gateways on the users'
// platform.
package main

import (
	"github.com/silverdeck/silverdeck/lookup"
	"github.com/silverdeck/silverdeck/platform/program"
)

func main() {
	start := program.Load()
	program.Run[*lookup.Directory]("silverdeck-directory", start, lookup.New)
}
