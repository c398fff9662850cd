// Command silverdeck-gateway is the process on the entry VMs of the users'
// platform.
package main

import (
	"github.com/silverdeck/silverdeck/gateway"
	"github.com/silverdeck/silverdeck/platform/program"
)

func main() {
	start := program.Load()
	program.Run[*gateway.Gateway]("silverdeck-gateway", start, gateway.New)
}
