// Command silverdeck-gateway is the process on the entry VMs of the users'
// platform.
package main

import (
	"github.com/silverdeck/silverdeck/edge"
	"github.com/silverdeck/silverdeck/process"
)

func main() {
	site := process.LoadSite()
	process.RunSite[*edge.Edge]("silverdeck-gateway", site, edge.New)
}
