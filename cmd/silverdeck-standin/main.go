// Command silverdeck-standin runs one of the stand-ins for the systems that
// silverdeck meets, or drives requests through a running system.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/silverdeck/silverdeck/standalone/standin"
)

// mib is a mebibyte, in bytes.
const mib = 1 << 20

type platformCmd struct {
	Listen string  `arg:"--listen,required" help:"address to listen at"`
	Reads  float64 `arg:"--reads" default:"2000" help:"reads a second"`
	Writes float64 `arg:"--writes" default:"100" help:"writes a second"`
}

type originCmd struct {
	Listen   string   `arg:"--listen,required" help:"address to listen at"`
	Weights  []string `arg:"--weights,separate" help:"path=MiB of weights to publish"`
	ChunkKiB int64    `arg:"--chunk-kib" default:"1024" help:"size of a chunk"`
	LinkMiB  float64  `arg:"--link-mib" help:"rate of the link in MiB a second; 0 is no limit"`
}

type engineCmd struct {
	Listen      string `arg:"--listen,required" help:"address to listen at"`
	Unfenced    bool   `arg:"--unfenced" help:"do not check the epoch of orders"`
	Slots       int    `arg:"--slots" default:"64" help:"requests that run at once"`
	TokenMicros int    `arg:"--token-micros" default:"500" help:"time of a token"`
	LoadMillis  int    `arg:"--load-millis" default:"50" help:"time of a load beside the reading"`
}

type plainCmd struct {
	Listen string `arg:"--listen,required" help:"address to listen at"`
}

type args struct {
	Platform *platformCmd `arg:"subcommand:platform" help:"the platform's object API and list of VMs"`
	Origin   *originCmd   `arg:"subcommand:origin" help:"the origin of weights"`
	Engine   *engineCmd   `arg:"subcommand:engine" help:"a model engine"`
	Plain    *plainCmd    `arg:"subcommand:plain" help:"a plain service"`
	Drive    *driveCmd    `arg:"subcommand:drive" help:"send requests and check the answers"`
}

func main() {
	var a args
	p := arg.MustParse(&a)
	var err error
	switch {
	case a.Platform != nil:
		err = http.ListenAndServe(a.Platform.Listen, standin.NewPlatform(a.Platform.Reads, a.Platform.Writes))
	case a.Origin != nil:
		err = runOrigin(a.Origin)
	case a.Engine != nil:
		err = http.ListenAndServe(a.Engine.Listen, standin.NewEngine(standin.EngineConfig{
			Fenced:    !a.Engine.Unfenced,
			Slots:     a.Engine.Slots,
			TokenTime: time.Duration(a.Engine.TokenMicros) * time.Microsecond,
			LoadTime:  time.Duration(a.Engine.LoadMillis) * time.Millisecond,
		}))
	case a.Plain != nil:
		err = http.ListenAndServe(a.Plain.Listen, standin.NewPlain())
	case a.Drive != nil:
		err = drive(a.Drive)
	default:
		p.Fail("which stand-in?")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runOrigin(c *originCmd) error {
	o := standin.NewOrigin(c.LinkMiB * mib)
	for _, w := range c.Weights {
		path, size, ok := strings.Cut(w, "=")
		var n int
		if _, err := fmt.Sscanf(size, "%d", &n); !ok || err != nil {
			return fmt.Errorf("weights %q: want path=MiB", w)
		}
		if _, err := o.Put(path, standin.Weights(path, n*mib), c.ChunkKiB<<10); err != nil {
			return err
		}
	}
	return http.ListenAndServe(c.Listen, o)
}
