// Command limpetd is the daemon that runs on each VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetnode"
	"limpetmount.org/internal/limpetsettings"
)

// commandLine holds the commands of limpetd.
type commandLine struct {
	Run       runCommand       `cmd:"" default:"withargs" help:"Run the daemon until SIGTERM, which shuts it down gracefully."`
	Check     checkCommand     `cmd:"" help:"Check a settings file and print all findings."`
	Reference referenceCommand `cmd:"" help:"Print the reference page of all settings."`
	Events    eventsCommand    `cmd:"" help:"Print the catalogue of log events."`
}

type runCommand struct {
	Settings string `help:"Settings file." default:"limpetd.ini" type:"path"`
}

// Run runs the daemon until SIGTERM or SIGINT, then shuts it down gracefully.
func (c *runCommand) Run() error {
	settings, err := limpetsettings.Load(c.Settings)
	if err != nil {
		return withHint(c.Settings, err)
	}
	log, err := limpetlog.New(os.Stderr, settings.Log.Level, settings.Log.Format, settings.VM.Name)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	node, err := limpetnode.Start(context.Background(), settings, limpetnode.NewDeps(settings.Platform), log)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return node.Shutdown(context.Background())
}

type checkCommand struct {
	File string `arg:"" help:"Settings file." type:"path"`
}

// Run reports all findings of a settings file.
func (c *checkCommand) Run() error {
	if _, err := limpetsettings.Load(c.File); err != nil {
		return withHint(c.File, err)
	}
	fmt.Println(c.File + ": no findings")
	return nil
}

type referenceCommand struct{}

// Run prints the reference page of the settings.
func (referenceCommand) Run() error {
	fmt.Print(limpetsettings.Reference())
	return nil
}

type eventsCommand struct{}

// Run prints the catalogue of log events.
func (eventsCommand) Run() error {
	fmt.Print(limpetlog.Reference())
	return nil
}

// withHint adds to a settings error what the operator can do about it.
func withHint(path string, err error) error {
	var f *limpeterror.Findings
	switch {
	case errors.As(err, &f):
		return fmt.Errorf("%d findings in %s:\n%w\nlimpetd reference lists all settings", len(f.List), path, err)
	case errors.Is(err, os.ErrNotExist):
		return fmt.Errorf("%w; give a file with --settings, docs/SETTINGS.md has an example", err)
	default:
		return err
	}
}

func main() {
	var line commandLine
	k := kong.Parse(&line, kong.Name("limpetd"), kong.Description("Rollout service between callers and backend servers."), kong.UsageOnError())
	k.FatalIfErrorf(k.Run())
}
