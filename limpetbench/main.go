// Command limpetbench runs whole small systems with stand-ins on loopback:
// the demo, experiments and measurements.
package main

import (
	"github.com/alecthomas/kong"

	"limpetmount.org/limpetbench/internal/limpetdemo"
)

// commandLine holds the commands of limpetbench.
type commandLine struct {
	Demo limpetdemo.Command `cmd:"" help:"Run the whole path with three VMs and check it."`
}

func main() {
	var line commandLine
	k := kong.Parse(&line, kong.Name("limpetbench"), kong.Description("Stand-ins, load and experiments for limpetmount."), kong.UsageOnError())
	k.FatalIfErrorf(k.Run())
}
