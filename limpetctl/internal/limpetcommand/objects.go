package limpetcommand

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kong"

	"limpetmount.org/internal/limpetkey"
	"limpetmount.org/internal/limpetlang"
)

type statusCommand struct{}

// Run shows the VMs and their duties.
func (statusCommand) Run(ctx context.Context, g *Global) error {
	return g.show(ctx, "show vms sort by vm; show leases sort by duty")
}

// setFlags holds the fields of an object as field=value arguments.
type setFlags struct {
	Name   string   `arg:"" help:"Name of the object."`
	Fields []string `arg:"" optional:"" help:"Fields as field=value; limpetctl language lists them."`
	If     []string `help:"Conditions as field=value on what you saw; without them the change is unconditional." placeholder:"FIELD=VALUE"`
}

// statement returns the change of an object.
func (s setFlags) statement(verb, entity string) (string, error) {
	fields, err := assignments(s.Fields, " ")
	if err != nil {
		return "", err
	}
	conditions, err := assignments(s.If, " and ")
	if err != nil {
		return "", err
	}
	text := fmt.Sprintf("%s %s %s %s", verb, entity, limpetlang.Quote(s.Name), fields)
	if conditions != "" {
		text += " if " + conditions
	}
	return text, nil
}

func assignments(list []string, separator string) (string, error) {
	parts := make([]string, 0, len(list))
	for _, f := range list {
		field, value, ok := strings.Cut(f, "=")
		if !ok {
			return "", fmt.Errorf("%q is not of the form field=value", f)
		}
		parts = append(parts, field+"="+limpetlang.Quote(value))
	}
	return strings.Join(parts, separator), nil
}

// objectCommands holds the commands that client accounts, services and jobs
// share. The entity is the command's first word.
type objectCommands struct {
	List   objectList   `cmd:"" help:"List them with their fields."`
	Create objectCreate `cmd:"" help:"Create one."`
	Set    objectSet    `cmd:"" help:"Change one."`
	Remove objectRemove `cmd:"" help:"Remove one."`
}

func entityOf(k *kong.Context) string { return strings.Fields(k.Command())[0] }

func (s setFlags) change(ctx context.Context, k *kong.Context, g *Global, verb string) error {
	text, err := s.statement(verb, entityOf(k))
	if err != nil {
		return err
	}
	return g.show(ctx, text)
}

type objectList struct{}

// Run lists objects.
func (objectList) Run(ctx context.Context, k *kong.Context, g *Global) error {
	return g.show(ctx, "show "+entityOf(k)+"s")
}

type objectCreate struct{ setFlags }

// Run creates an object.
func (c objectCreate) Run(ctx context.Context, k *kong.Context, g *Global) error {
	return c.change(ctx, k, g, "create")
}

type objectSet struct{ setFlags }

// Run changes an object.
func (c objectSet) Run(ctx context.Context, k *kong.Context, g *Global) error {
	return c.change(ctx, k, g, "set")
}

type objectRemove struct{ setFlags }

// Run removes an object.
func (c objectRemove) Run(ctx context.Context, k *kong.Context, g *Global) error {
	return c.change(ctx, k, g, "remove")
}

type keyCommands struct {
	List     keyList     `cmd:"" help:"List keys; secrets are not stored anywhere."`
	Create   keyCreate   `cmd:"" help:"Create a key and print it once."`
	Withdraw keyWithdraw `cmd:"" help:"Withdraw a key; its running requests end."`
	Generate keyGenerate `cmd:"" help:"Print a new key and its hash without creating it, for the settings file."`
}

type keyList struct{}

// Run lists keys.
func (keyList) Run(ctx context.Context, g *Global) error { return g.show(ctx, "show keys") }

type keyCreate struct {
	Name    string `arg:"" help:"Name of the key."`
	Account string `help:"Client account that the key acts for." required:""`
	Role    string `help:"caller, trainer, viewer or operator." enum:"caller,trainer,viewer,operator" default:"caller"`
}

// Run creates a key. Only its hash leaves this process.
func (c keyCreate) Run(ctx context.Context, g *Global) error {
	token, hash := limpetkey.New(c.Name)
	err := g.show(ctx, fmt.Sprintf("create key %s account=%s role=%s hash=%s",
		limpetlang.Quote(c.Name), limpetlang.Quote(c.Account), c.Role, limpetlang.Quote(hash)))
	if err == nil && !g.DryRun {
		fmt.Fprintln(g.Out, token)
	}
	return err
}

type keyWithdraw struct {
	Name string `arg:"" help:"Name of the key."`
}

// Run withdraws a key.
func (c keyWithdraw) Run(ctx context.Context, g *Global) error {
	return g.show(ctx, "withdraw key "+limpetlang.Quote(c.Name))
}

type keyGenerate struct {
	Name string `arg:"" help:"Name of the key."`
}

// Run prints a key and its hash.
func (c keyGenerate) Run() error {
	token, hash := limpetkey.New(c.Name)
	fmt.Printf("key:  %s\nhash: %s\n", token, hash)
	return nil
}

type serverCommands struct {
	List    serverList    `cmd:"" help:"List backend servers with their load."`
	Drain   serverDrain   `cmd:"" help:"Take a backend server out of service; it finishes its requests."`
	Undrain serverUndrain `cmd:"" help:"Put a drained backend server back."`
}

type serverList struct{}

// Run lists servers.
func (serverList) Run(ctx context.Context, g *Global) error { return g.show(ctx, "show servers") }

type serverDrain struct {
	Name string `arg:"" help:"Backend server."`
}

// Run drains a server.
func (c serverDrain) Run(ctx context.Context, g *Global) error {
	return g.show(ctx, "drain server "+limpetlang.Quote(c.Name))
}

type serverUndrain struct {
	Name string `arg:"" help:"Backend server."`
}

// Run puts a server back.
func (c serverUndrain) Run(ctx context.Context, g *Global) error {
	return g.show(ctx, "undrain server "+limpetlang.Quote(c.Name))
}

type quarantineCommand struct {
	List    quarantineList    `cmd:"" help:"List quarantined requests."`
	Release quarantineRelease `cmd:"" help:"Let a quarantined request run again."`
}

type quarantineList struct{}

// Run lists quarantined requests.
func (quarantineList) Run(ctx context.Context, g *Global) error {
	return g.show(ctx, "show quarantines sort by request")
}

type quarantineRelease struct {
	Name string `arg:"" help:"Request as the list names it."`
}

// Run releases a request.
func (c quarantineRelease) Run(ctx context.Context, g *Global) error {
	return g.show(ctx, "release request "+limpetlang.Quote(c.Name))
}

type usageCommands struct {
	Windows usageWindows `cmd:"" help:"List the newest usage windows by VM and client account."`
	Open    usageOpen    `cmd:"" help:"Show counts that are not yet final, by client account."`
}

type usageWindows struct{}

// Run lists usage windows.
func (usageWindows) Run(ctx context.Context, g *Global) error {
	return g.show(ctx, "show windows sort by window desc")
}

type usageOpen struct{}

// Run shows open counts.
func (usageOpen) Run(ctx context.Context, g *Global) error {
	return g.show(ctx, "show usage group by account sum requests, tokens, server_ms sort by account")
}
