// Command limpetctl is the operators' client. It shows the state and the usage
// of the system, and changes its configuration while it serves requests.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"limpetmount.org/limpetctl/internal/limpetcommand"
)

func main() {
	line := limpetcommand.CommandLine{Global: limpetcommand.Global{Out: os.Stdout}}
	k := kong.Parse(&line, kong.Name("limpetctl"), kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Description("Operators' client of limpetmount.\n\n"+limpetcommand.ExitCodes),
		kong.BindTo(context.Background(), (*context.Context)(nil)), kong.Bind(&line.Global))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "limpetctl: "+err.Error())
		os.Exit(limpetcommand.ExitCode(err))
	}
}
