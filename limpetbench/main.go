// Command limpetbench runs complete small deployments against stub services on
// the loopback interface: the demo, experiments and cost measurements.
package main

import (
	"github.com/alecthomas/kong"

	"limpetmount.org/limpetbench/internal/limpetdemo"
	"limpetmount.org/limpetbench/internal/limpetexperiment"
	"limpetmount.org/limpetbench/internal/limpetslope"
	"limpetmount.org/limpetbench/internal/limpetstubserver"
)

// commandLine holds the commands of limpetbench.
type commandLine struct {
	Demo       limpetdemo.Command       `cmd:"" help:"Run an end-to-end demo with three VMs and check every step."`
	Experiment limpetexperiment.Command `cmd:"" help:"Run a named, seeded experiment and write its table, CSV file and plot."`
	Platform   limpetstubserver.Command `cmd:"" help:"Serve stubs of the platform's services, to run limpetd as separate processes."`
	Slopes     limpetslope.Command      `cmd:"" help:"Measure the cost of VMs and objects, and extrapolate it to the design size."`
}

func main() {
	var line commandLine
	k := kong.Parse(&line, kong.Name("limpetbench"), kong.Description("Stub services, load generation and experiments for limpetmount."), kong.UsageOnError())
	k.FatalIfErrorf(k.Run())
}
