// Package limpetlang implements the operators' query and command language: the
// parser, and the evaluation of queries over tables. The package must not import
// transports.
package limpetlang

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
)

// A Batch is a list of statements, separated by semicolons. The reference page shows
// the names of this type and of the types below as the productions of the grammar.
type Batch struct {
	Statements []*Statement `parser:"';'* ( @@ ( ';'+ @@ )* )? ';'*"`
}

// A Statement is a query or a change.
type Statement struct {
	Pos    lexer.Position
	Show   *Show   `parser:"  'show' @@"`
	Change *Change `parser:"| @@"`
}

// A Show is a query over the table of one kind of object.
type Show struct {
	Entity string       `parser:"@Ident"`
	Where  []*Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Group  []string     `parser:"( 'group' 'by' @Ident ( ',' @Ident )* )?"`
	Sum    []string     `parser:"( 'sum' @Ident ( ',' @Ident )* )?"`
	Sort   *Sort        `parser:"( 'sort' 'by' @@ )?"`
	Limit  *int         `parser:"( 'limit' @Int )?"`
}

// A Condition compares a field with a value.
type Condition struct {
	Field    string `parser:"@Ident"`
	Operator string `parser:"@( '=' | '!' '=' | '<' '=' | '>' '=' | '<' | '>' | '~' )"`
	Value    *Value `parser:"@@"`
}

// A Sort is the sort order of a query.
type Sort struct {
	Field      string `parser:"@Ident"`
	Descending bool   `parser:"( @'desc' | 'asc' )?"`
}

// A Change is a command that changes the configuration. The verbs drain, undrain,
// withdraw and release are shorthand for creating or removing an object.
type Change struct {
	Verb   string     `parser:"@( 'create' | 'set' | 'remove' | 'drain' | 'undrain' | 'withdraw' | 'release' )"`
	Entity string     `parser:"@( 'account' | 'key' | 'service' | 'job' | 'server' | 'request' )"`
	Name   *Value     `parser:"@@"`
	Fields []*Setting `parser:"@@*"`
	If     []*Setting `parser:"( 'if' @@ ( 'and' @@ )* )?"`
}

// A Setting is a field and a value, as an assignment or as a condition of equality.
type Setting struct {
	Field string `parser:"@Ident '='"`
	Value *Value `parser:"@@"`
}

// A Value is a literal. Numbers may have a minus sign; words need no quotes.
type Value struct {
	Text   *string `parser:"  @String"`
	Number *string `parser:"| @( '-'? ( Float | Int ) )"`
	Word   *string `parser:"| @Ident"`
}

// String returns the value without quotes.
func (v *Value) String() string {
	switch {
	case v.Text != nil:
		return *v.Text
	case v.Number != nil:
		return *v.Number
	default:
		return *v.Word
	}
}

var languageLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Whitespace", Pattern: `\s+`},
	{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
	{Name: "Float", Pattern: `\d+\.\d+`},
	{Name: "Ident", Pattern: `[A-Za-z_][A-Za-z0-9_.:/-]*|\d+[A-Za-z_.:-][A-Za-z0-9_.:-]*`},
	{Name: "Int", Pattern: `\d+`},
	{Name: "Punct", Pattern: `[-=!<>~,;]`},
})

var parser = participle.MustBuild[Batch](
	participle.Lexer(languageLexer),
	participle.Elide("Comment", "Whitespace"),
	participle.Unquote("String"),
)

// maxBatchBytes bounds the text of a batch.
const maxBatchBytes = 256 << 10

// Parse parses a batch. Its errors are *limpeterror.Findings with line, column and
// the expected syntax.
func Parse(text string) (*Batch, error) {
	f := &limpeterror.Findings{}
	if len(text) > maxBatchBytes {
		f.Add("batch", "longer than %d bytes", maxBatchBytes)
		return nil, f
	}
	b, err := parser.ParseString("", text)
	if err != nil {
		var p participle.Error
		if errors.As(err, &p) {
			f.Add(fmt.Sprintf("%d:%d", p.Position().Line, p.Position().Column), "%s", p.Message())
		} else {
			f.Add("1:1", "%v", err)
		}
		return nil, f
	}
	if len(b.Statements) == 0 {
		f.Add("1:1", "expected a statement such as: show accounts")
		return nil, f
	}
	return b, nil
}

// Grammar returns the grammar in EBNF.
func Grammar() string { return parser.String() }

// entities maps the entity names of commands to configuration entities.
var entities = map[string]limpetconfig.Entity{
	"account": limpetconfig.Accounts, "key": limpetconfig.Keys, "service": limpetconfig.Services, "job": limpetconfig.Jobs,
	"server": limpetconfig.Drains, "request": limpetconfig.Releases,
}

// shorthands maps each shorthand verb to the entity that it applies to and to the
// verb that it stands for.
var shorthands = map[string]struct {
	entity string
	verb   limpetconfig.Verb
}{
	"drain": {"server", limpetconfig.Create}, "undrain": {"server", limpetconfig.Remove},
	"withdraw": {"key", limpetconfig.Remove}, "release": {"request", limpetconfig.Create},
}

// Changes converts the commands of a batch to configuration changes and skips its
// queries. Its errors are *limpeterror.Findings about verbs that do not apply to
// their entity.
func (b *Batch) Changes() ([]limpetconfig.Change, error) {
	f := &limpeterror.Findings{}
	var changes []limpetconfig.Change
	for _, s := range b.Statements {
		if s.Change == nil {
			continue
		}
		place := fmt.Sprintf("%d:%d", s.Pos.Line, s.Pos.Column)
		c := s.Change
		change := limpetconfig.Change{Verb: limpetconfig.Verb(c.Verb), Entity: entities[c.Entity], Name: c.Name.String(), Place: place}
		if shorthand, ok := shorthands[c.Verb]; ok {
			if c.Entity != shorthand.entity {
				f.Add(place, "%s applies to a %s", c.Verb, shorthand.entity)
			}
			change.Verb = shorthand.verb
		} else if c.Entity == "server" || c.Entity == "request" {
			f.Add(place, "use drain, undrain or release for a %s", c.Entity)
		}
		change.Settings, change.If = convertSettings(c.Fields), convertSettings(c.If)
		changes = append(changes, change)
	}
	return changes, f.Err()
}

// convertSettings converts parsed settings to configuration settings.
func convertSettings(list []*Setting) []limpetconfig.Setting {
	var out []limpetconfig.Setting
	for _, s := range list {
		out = append(out, limpetconfig.Setting{Field: s.Field, Value: s.Value.String()})
	}
	return out
}

// Quote returns text as a string literal of the language.
func Quote(text string) string { return strconv.Quote(text) }

// Singular returns the singular of an entity name, since queries may use the
// plural.
func Singular(entity string) string {
	if entity == "status" {
		return entity
	}
	return strings.TrimSuffix(entity, "s")
}
