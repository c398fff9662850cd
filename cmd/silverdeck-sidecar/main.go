// Command silverdeck-sidecar is the process beside each endpoint on the users'
// platform.
package main

import (
	"github.com/silverdeck/silverdeck/process"
	"github.com/silverdeck/silverdeck/sidecar"
)

func main() {
	site := process.LoadSite()
	process.RunSite[*sidecar.Sidecar]("silverdeck-sidecar", site, sidecar.New)
}
