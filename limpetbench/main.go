// Command limpetbench runs whole small systems with stand-ins on loopback:
// the demo, experiments and measurements.
package main

import (
	"github.com/alecthomas/kong"

	"limpetmount.org/limpetbench/internal/limpetdemo"
	"limpetmount.org/limpetbench/internal/limpetserver"
	"limpetmount.org/limpetbench/internal/limpetslope"
	"limpetmount.org/limpetbench/internal/limpettrial"
)

// commandLine holds the commands of limpetbench.
type commandLine struct {
	Demo       limpetdemo.Command   `cmd:"" help:"Run the whole path with three VMs and check it."`
	Experiment limpettrial.Command  `cmd:"" help:"Run a named, seeded experiment and write its table, CSV and plot."`
	Platform   limpetserver.Command `cmd:"" help:"Serve the platform's stand-ins, to try limpetd as separate processes."`
	Slopes     limpetslope.Command  `cmd:"" help:"Measure what VMs and objects cost, and project it to the design's size."`
}

func main() {
	var line commandLine
	k := kong.Parse(&line, kong.Name("limpetbench"), kong.Description("Stand-ins, load and experiments for limpetmount."), kong.UsageOnError())
	k.FatalIfErrorf(k.Run())
}
