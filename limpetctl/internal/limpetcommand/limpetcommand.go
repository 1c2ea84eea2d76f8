// Package limpetcommand implements the command line of limpetctl. Most commands
// are translated into statements of the operators' language, which a VM checks
// and runs.
package limpetcommand

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"connectrpc.com/connect"
	"gopkg.in/ini.v1"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetoperator"
	"limpetmount.org/internal/limpettls"
	"limpetmount.org/internal/limpetwire"
)

// ExitCodes is the help text about exit codes.
const ExitCodes = `Exit codes: 0 done, 1 refused with findings, 2 wrong usage or configuration, 3 no VM answers, 4 key refused, 5 the change may be in force or not.`

// Exit codes.
const (
	exitFindings    = 1
	exitUsage       = 2
	exitUnreachable = 3
	exitDenied      = 4
	exitUnknown     = 5
)

// ExitCode returns the exit code of the process for an error of a command.
func ExitCode(err error) int {
	var f *limpeterror.Findings
	switch {
	case errors.As(err, &f):
		return exitFindings
	case limpeterror.Is(err, limpeterror.Unavailable):
		return exitUnreachable
	case limpeterror.Is(err, limpeterror.Denied):
		return exitDenied
	case limpeterror.Is(err, limpeterror.Unknown):
		return exitUnknown
	default:
		return exitUsage
	}
}

// Global holds the flags that all commands share.
type Global struct {
	Config string `help:"Configuration file in INI." default:"limpetctl.ini" env:"LIMPETCTL_CONFIG" type:"path"`
	Output string `help:"table or json." enum:"table,json" default:"table" short:"o"`
	DryRun bool   `help:"Show what a change would do without applying it."`
	// Out is where results are written.
	Out io.Writer `kong:"-"`
}

// CommandLine holds the commands of limpetctl.
type CommandLine struct {
	Global

	Status     statusCommand     `cmd:"" help:"Show the VMs: configuration in force, store, open requests."`
	Account    objectCommands    `cmd:"" help:"Client accounts."`
	Key        keyCommands       `cmd:"" help:"Keys of callers, trainers and operators."`
	Service    objectCommands    `cmd:"" help:"Services that requests are routed to."`
	Job        objectCommands    `cmd:"" help:"Rollout jobs."`
	Server     serverCommands    `cmd:"" help:"Backend servers."`
	Quarantine quarantineCommand `cmd:"" help:"Requests that crash backend servers."`
	Usage      usageCommands     `cmd:"" help:"Usage windows and their counts by VM."`
	Run        runCommand        `cmd:"" help:"Run statements of the operators' language."`
	Explain    explainCommand    `cmd:"" help:"Show the log lines about one request, job, item or backend server."`
	Watch      watchCommand      `cmd:"" help:"Run a query repeatedly."`
	Shell      shellCommand      `cmd:"" help:"Interactive prompt with history and completion."`
	Language   languageCommand   `cmd:"" help:"Print the language's reference page."`
	Authority  authorityCommands `cmd:"" help:"Private certificate authority for the VMs."`
	Completion completionCommand `cmd:"" help:"Print a completion script for bash."`
}

// clientConfig is the content of the configuration file: the operator addresses
// of the VMs, the operator key and the file of the certificate authority.
type clientConfig struct {
	vms       []string
	token     string
	authority string
}

// loadConfig reads the configuration file. It reports all findings at once.
func (g *Global) loadConfig() (clientConfig, error) {
	var c clientConfig
	f := &limpeterror.Findings{}
	file, err := ini.Load(g.Config)
	if errors.Is(err, os.ErrNotExist) {
		return c, fmt.Errorf("no configuration file %s; write one with the section [limpetctl] and the settings vms, key and authority, or name it with --config", g.Config)
	}
	if err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	section := file.Section("limpetctl")
	for _, k := range section.Keys() {
		switch k.Name() {
		case "vms":
			c.vms = k.Strings(",")
		case "authority":
			c.authority = k.String()
		case "key":
			data, err := os.ReadFile(k.String())
			if err != nil {
				f.Add(g.Config+": key", "%v", err)
			}
			c.token = strings.TrimSpace(string(data))
		default:
			f.Add(g.Config+": "+k.Name(), "unknown setting; the settings are vms, key and authority")
		}
	}
	if len(c.vms) == 0 {
		f.Add(g.Config+": vms", "must name the operator addresses of one or more VMs")
	}
	if c.token == "" {
		f.Add(g.Config+": key", "must name a file that holds an operator key")
	}
	if err := f.Err(); err != nil {
		return c, fmt.Errorf("configuration:\n%w", err)
	}
	return c, nil
}

const operationIDBytes = 12

// runStatements sends statements to the VMs in turn until one answers. Each
// attempt carries the same operation ID, so that a batch whose response was lost
// is not applied twice.
func (g *Global) runStatements(ctx context.Context, statements string) (*limpetwire.RunResponse, error) {
	c, err := g.loadConfig()
	if err != nil {
		return nil, err
	}
	config, err := limpettls.NewClientConfig(c.authority)
	if err != nil {
		return nil, err
	}
	operationID := make([]byte, operationIDBytes)
	// Read never fails; see crypto/rand.
	_, _ = rand.Read(operationID)
	failures := make([]error, 0, len(c.vms))
	for _, vm := range c.vms {
		response, err := limpetoperator.New(vm, c.token, config).Run(ctx, statements, hex.EncodeToString(operationID), g.DryRun)
		if err == nil {
			return response, findings(response)
		}
		switch connect.CodeOf(err) {
		case connect.CodeUnauthenticated, connect.CodePermissionDenied:
			return nil, limpeterror.Denied.Wrap(err, "VM at %s", vm)
		case connect.CodeUnknown:
			return nil, limpeterror.Unknown.Wrap(err, "VM at %s", vm)
		}
		failures = append(failures, fmt.Errorf("VM at %s: %w", vm, err))
	}
	return nil, limpeterror.Unavailable.Wrap(errors.Join(failures...), "no VM answers")
}

// findings returns the findings of a response as an error, or nil.
func findings(response *limpetwire.RunResponse) error {
	f := &limpeterror.Findings{}
	for _, l := range response.GetFindings() {
		f.Add(l.GetPlace(), "%s", l.GetText())
	}
	return f.Err()
}

// execute runs statements and prints the results.
func (g *Global) execute(ctx context.Context, statements string) error {
	response, err := g.runStatements(ctx, statements)
	if err != nil {
		return err
	}
	return g.printResults(g.Out, response)
}
