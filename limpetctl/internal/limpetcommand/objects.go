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

// Run shows the VMs and the leases of duties.
func (statusCommand) Run(ctx context.Context, g *Global) error {
	return g.execute(ctx, "show vms sort by vm; show leases sort by duty")
}

// objectArgs holds the name of an object and its fields as field=value
// arguments.
type objectArgs struct {
	Name   string   `arg:"" help:"Name of the object."`
	Fields []string `arg:"" optional:"" help:"Fields as field=value; limpetctl language lists them."`
	If     []string `help:"Expected current values as field=value; without them the change is unconditional." placeholder:"FIELD=VALUE"`
}

// statement returns the statement that applies a verb to the object.
func (s objectArgs) statement(verb, entity string) (string, error) {
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

// assignments quotes the values of a list of field=value and joins the list.
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
// share. The first word of the command names the entity.
type objectCommands struct {
	List   objectList   `cmd:"" help:"List them with their fields."`
	Create objectCreate `cmd:"" help:"Create one."`
	Set    objectSet    `cmd:"" help:"Change one."`
	Remove objectRemove `cmd:"" help:"Remove one."`
}

func entityOf(k *kong.Context) string { return strings.Fields(k.Command())[0] }

func (s objectArgs) change(ctx context.Context, k *kong.Context, g *Global, verb string) error {
	text, err := s.statement(verb, entityOf(k))
	if err != nil {
		return err
	}
	return g.execute(ctx, text)
}

type objectList struct{}

// Run lists objects.
func (objectList) Run(ctx context.Context, k *kong.Context, g *Global) error {
	return g.execute(ctx, "show "+entityOf(k)+"s")
}

type objectCreate struct{ objectArgs }

// Run creates an object.
func (c objectCreate) Run(ctx context.Context, k *kong.Context, g *Global) error {
	return c.change(ctx, k, g, "create")
}

type objectSet struct{ objectArgs }

// Run changes an object.
func (c objectSet) Run(ctx context.Context, k *kong.Context, g *Global) error {
	return c.change(ctx, k, g, "set")
}

type objectRemove struct{ objectArgs }

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
func (keyList) Run(ctx context.Context, g *Global) error { return g.execute(ctx, "show keys") }

type keyCreate struct {
	Name    string `arg:"" help:"Name of the key."`
	Account string `help:"Client account that the key acts for." required:""`
	Role    string `help:"caller, trainer, viewer or operator." enum:"caller,trainer,viewer,operator" default:"caller"`
}

// Run creates a key. Only its hash is sent to the VM; the key itself is printed.
func (c keyCreate) Run(ctx context.Context, g *Global) error {
	token, hash := limpetkey.Generate(c.Name)
	err := g.execute(ctx, fmt.Sprintf("create key %s account=%s role=%s hash=%s",
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
	return g.execute(ctx, "withdraw key "+limpetlang.Quote(c.Name))
}

type keyGenerate struct {
	Name string `arg:"" help:"Name of the key."`
}

// Run generates a key and prints it with its hash.
func (c keyGenerate) Run() error {
	token, hash := limpetkey.Generate(c.Name)
	fmt.Printf("key:  %s\nhash: %s\n", token, hash)
	return nil
}

type serverCommands struct {
	List    serverList    `cmd:"" help:"List backend servers with their load."`
	Drain   serverDrain   `cmd:"" help:"Take a backend server out of service; it finishes its requests."`
	Undrain serverUndrain `cmd:"" help:"Put a drained backend server back."`
}

type serverList struct{}

// Run lists backend servers.
func (serverList) Run(ctx context.Context, g *Global) error { return g.execute(ctx, "show servers") }

type serverDrain struct {
	Name string `arg:"" help:"Backend server."`
}

// Run takes a backend server out of service.
func (c serverDrain) Run(ctx context.Context, g *Global) error {
	return g.execute(ctx, "drain server "+limpetlang.Quote(c.Name))
}

type serverUndrain struct {
	Name string `arg:"" help:"Backend server."`
}

// Run puts a drained backend server back into service.
func (c serverUndrain) Run(ctx context.Context, g *Global) error {
	return g.execute(ctx, "undrain server "+limpetlang.Quote(c.Name))
}

type quarantineCommand struct {
	List    quarantineList    `cmd:"" help:"List quarantined requests."`
	Release quarantineRelease `cmd:"" help:"Let a quarantined request run again."`
}

type quarantineList struct{}

// Run lists quarantined requests.
func (quarantineList) Run(ctx context.Context, g *Global) error {
	return g.execute(ctx, "show quarantines sort by request")
}

type quarantineRelease struct {
	Name string `arg:"" help:"Request, as quarantine list shows it."`
}

// Run lets a quarantined request run again.
func (c quarantineRelease) Run(ctx context.Context, g *Global) error {
	return g.execute(ctx, "release request "+limpetlang.Quote(c.Name))
}

type usageCommands struct {
	Windows usageWindows `cmd:"" help:"List the newest usage windows by VM and client account."`
	Open    usageOpen    `cmd:"" help:"Show counts that are not yet final, by client account."`
}

type usageWindows struct{}

// Run lists usage windows.
func (usageWindows) Run(ctx context.Context, g *Global) error {
	return g.execute(ctx, "show windows sort by window desc")
}

type usageOpen struct{}

// Run shows the counts that are not yet final, by client account.
func (usageOpen) Run(ctx context.Context, g *Global) error {
	return g.execute(ctx, "show usage group by account sum requests, tokens, server_ms sort by account")
}
