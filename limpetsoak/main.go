// Command limpetsoak runs the real programs as separate processes on this
// machine, injects faults from outside, and checks the promises from what
// callers and backend servers see.
package main

import (
	"fmt"
	"time"

	"github.com/alecthomas/kong"

	"limpetmount.org/limpetsoak/internal/limpetrig"
)

type commandLine struct {
	Binary  string        `help:"The program of the VMs." default:"target/limpetplatform" type:"path"`
	Seed    uint64        `help:"Seed of the faults." default:"1"`
	Runs    int           `help:"Number of runs, each with the next seed." default:"1"`
	Time    time.Duration `help:"Time with faults." default:"15s"`
	Edges   int           `help:"VMs that serve callers." default:"3"`
	Keepers int           `help:"VMs with a disk." default:"2"`
	Engines int           `help:"Stand-in engines." default:"4"`
	Logs    string        `help:"Folder for the logs of a run that fails." default:"out/soak" type:"path"`
}

// Run runs the soak; it fails when a promise was broken.
func (c *commandLine) Run() error {
	failed := 0
	for n := range c.Runs {
		seed := c.Seed + uint64(n)
		report, err := limpetrig.Run(limpetrig.Plan{
			Binary: c.Binary, Seed: seed, Time: c.Time, Edges: c.Edges, Keepers: c.Keepers, Engines: c.Engines, Logs: c.Logs,
		})
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Println(report.Line())
		for _, f := range report.Faults {
			fmt.Printf("  broken: %s\n", f)
		}
		if len(report.Faults) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d runs broke a promise; limpetsoak --seed N plays one again", failed, c.Runs)
	}
	return nil
}

func main() {
	var line commandLine
	k := kong.Parse(&line, kong.Name("limpetsoak"), kong.Description("Randomized fault soak of the real processes."))
	k.FatalIfErrorf(k.Run())
}
