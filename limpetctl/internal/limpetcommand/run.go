package limpetcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/chzyer/readline"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetlang"
	"limpetmount.org/internal/limpettls"
)

type runCommand struct {
	Statements []string `arg:"" optional:"" help:"Statements, separated by semicolons."`
	File       string   `help:"Read statements from a file, - for standard input." short:"f"`
}

// Run runs the statements of the arguments or of a file as one batch.
func (c runCommand) Run(ctx context.Context, g *Global) error {
	text := strings.Join(c.Statements, " ")
	if c.File != "" {
		data, err := readFile(c.File)
		if err != nil {
			return err
		}
		text = string(data)
	}
	return g.execute(ctx, text)
}

// readFile reads a file, or standard input for the name "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

type watchCommand struct {
	Query  []string      `arg:"" help:"Query, for example: show vms."`
	Period time.Duration `help:"Time between two runs of the query." default:"2s"`
}

// Run repeats a query until the process is interrupted.
func (c watchCommand) Run(ctx context.Context, g *Global) error {
	for {
		fmt.Println(time.Now().UTC().Format(time.RFC3339))
		if err := g.execute(ctx, strings.Join(c.Query, " ")); err != nil {
			return err
		}
		time.Sleep(c.Period)
	}
}

type shellCommand struct{}

const historyFile = ".limpetctl_history"

// Run reads statements from a prompt until quit, an interrupt or the end of
// input. An error of a statement does not end the shell.
func (shellCommand) Run(ctx context.Context, g *Global) error {
	home, err := os.UserHomeDir()
	if err != nil {
		home = os.TempDir()
	}
	line, err := readline.NewEx(&readline.Config{
		Prompt: "limpet> ", HistoryFile: filepath.Join(home, historyFile), AutoComplete: completer(),
	})
	if err != nil {
		return fmt.Errorf("prompt: %w", err)
	}
	defer line.Close()
	for {
		text, err := line.Readline()
		if errors.Is(err, readline.ErrInterrupt) || errors.Is(err, io.EOF) || strings.TrimSpace(text) == "quit" {
			return nil
		}
		if err != nil {
			return fmt.Errorf("prompt: %w", err)
		}
		if strings.TrimSpace(text) == "" {
			continue
		}
		if err := g.execute(ctx, text); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}

// completer completes verbs, tables, entities and the objects that verbs take.
func completer() readline.AutoCompleter {
	var tables, objects []readline.PrefixCompleterInterface
	for _, t := range limpetlang.Tables {
		tables = append(tables, readline.PcItem(t))
	}
	for _, e := range []limpetconfig.Entity{limpetconfig.Accounts, limpetconfig.Keys, limpetconfig.Services, limpetconfig.Jobs} {
		objects = append(objects, readline.PcItem(string(e)))
	}
	return readline.NewPrefixCompleter(
		readline.PcItem("show", tables...), readline.PcItem("create", objects...), readline.PcItem("set", objects...),
		readline.PcItem("remove", objects...), readline.PcItem("drain", readline.PcItem("server")),
		readline.PcItem("undrain", readline.PcItem("server")), readline.PcItem("withdraw", readline.PcItem("key")),
		readline.PcItem("release", readline.PcItem("request")), readline.PcItem("quit"),
	)
}

type languageCommand struct{}

// Run prints the reference page of the operators' language.
func (languageCommand) Run() error {
	fmt.Print(limpetlang.Reference())
	return nil
}

type authorityCommands struct {
	Create authorityCreate `cmd:"" help:"Create a new authority."`
	Issue  authorityIssue  `cmd:"" help:"Issue a certificate for a VM."`
}

type authorityCreate struct {
	Folder string `arg:"" help:"Folder for the authority's files." type:"path"`
}

// Run creates an authority, unless the folder holds one.
func (c authorityCreate) Run() error {
	if _, err := os.Stat(filepath.Join(c.Folder, limpettls.AuthorityCertFile)); err == nil {
		return fmt.Errorf("%s holds an authority already", c.Folder)
	}
	return limpettls.CreateAuthority(c.Folder)
}

type authorityIssue struct {
	Folder  string   `arg:"" help:"Folder of the authority." type:"path"`
	Name    string   `arg:"" help:"Name of the VM."`
	Address []string `help:"IP address of the VM; may be repeated." required:""`
}

// Run issues a certificate for a VM.
func (c authorityIssue) Run() error {
	var addresses []net.IP
	for _, a := range c.Address {
		ip := net.ParseIP(a)
		if ip == nil {
			return fmt.Errorf("%q is not an IP address", a)
		}
		addresses = append(addresses, ip)
	}
	return limpettls.IssueCert(c.Folder, c.Name, addresses)
}

type completionCommand struct{}

// Run prints the completion script.
func (completionCommand) Run() error {
	fmt.Print(completionScript)
	return nil
}

const completionScript = `# bash completion for limpetctl; load it with: source <(limpetctl completion)
_limpetctl() {
  local words="${COMP_WORDS[*]:1:COMP_CWORD-1}"
  local list
  case "$words" in
    account|service|job) list="list create set remove" ;;
    key) list="list create withdraw generate" ;;
    server) list="list drain undrain" ;;
    quarantine) list="list release" ;;
    usage) list="windows open" ;;
    authority) list="create issue" ;;
    "") list="status account key service job server quarantine usage run watch shell language authority completion" ;;
    *) list="--help --config --output --dry-run" ;;
  esac
  COMPREPLY=($(compgen -W "$list" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -F _limpetctl limpetctl
`
