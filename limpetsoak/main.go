// Command limpetsoak runs the system as separate processes on this machine,
// injects faults from outside, and checks the guarantees of the system by what
// callers and backend servers see.
package main

import (
	"fmt"
	"time"

	"github.com/alecthomas/kong"

	"limpetmount.org/limpetsoak/internal/limpetharness"
)

type commandLine struct {
	Binary     string        `help:"Program that each VM runs." default:"target/limpetplatform" type:"path"`
	Production string        `help:"Program of an earlier release, from which VMs are upgraded during each run." type:"path"`
	Seed       uint64        `help:"Seed of the faults." default:"1"`
	Runs       int           `help:"Number of runs, each with the next seed." default:"1"`
	Time       time.Duration `help:"Time during which faults are injected." default:"15s"`
	Edges      int           `help:"VMs that serve callers." default:"3"`
	Keepers    int           `help:"VMs with a disk." default:"2"`
	Engines    int           `help:"Fake engines." default:"4"`
	Logs       string        `help:"Folder for the logs of a run that fails." default:"out/soak" type:"path"`
}

// Run executes the runs. It returns an error if a guarantee was violated in one
// of them.
func (c *commandLine) Run() error {
	failed := 0
	for n := range c.Runs {
		seed := c.Seed + uint64(n)
		report, err := limpetharness.Run(limpetharness.Plan{
			Binary: c.Binary, Production: c.Production, Seed: seed, Time: c.Time, Edges: c.Edges, Keepers: c.Keepers, Engines: c.Engines, Logs: c.Logs,
		})
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Println(report.Summary())
		for _, v := range report.Violations {
			fmt.Printf("  violation: %s\n", v)
		}
		if len(report.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d runs violated a guarantee; limpetsoak --seed N repeats one", failed, c.Runs)
	}
	return nil
}

func main() {
	var line commandLine
	k := kong.Parse(&line, kong.Name("limpetsoak"), kong.Description("Soak test of the real processes under random faults."))
	k.FatalIfErrorf(k.Run())
}
