// Package limpetconfig owns the operators' configuration: its objects, the
// changes to them, and the log through which every VM gets the same changes
// in the same order. Documents are immutable; Plan and Apply return new ones.
// It must not import transports.
package limpetconfig

import (
	"maps"
	"time"
)

// Entity names a kind of object.
type Entity string

// The kinds of object that operators configure.
const (
	Accounts Entity = "account"
	Keys     Entity = "key"
	Services Entity = "service"
	Jobs     Entity = "job"
	Drains   Entity = "drain"
	Releases Entity = "release"
)

// Class says how a client account's work is ordered against others'.
type Class string

// The classes. Live work goes before rollouts.
const (
	Live    Class = "live"
	Rollout Class = "rollout"
)

// Role says what a key may do.
type Role string

// The roles of keys.
const (
	Caller   Role = "caller"
	Trainer  Role = "trainer"
	Operator Role = "operator"
	Viewer   Role = "viewer"
)

// Kind says how a service's backend servers are spoken to.
type Kind string

// The kinds of service.
const (
	Engine Kind = "engine"
	Plain  Kind = "plain"
)

// An Account holds a client account. Weight is its share of work relative to
// other accounts.
type Account struct {
	Name    string  `json:"name" lang:"-"`
	Weight  float64 `json:"weight" lang:"weight" doc:"share of work relative to other accounts"`
	Class   Class   `json:"class" lang:"class" doc:"live or rollout; live work goes first"`
	Streams int     `json:"streams" lang:"streams" doc:"largest number of open requests on one VM"`
	Changed uint64  `json:"changed" lang:"-"`
}

// A Key holds a caller's key. Hash is the SHA-256 of the secret, in hex.
type Key struct {
	Name    string `json:"name" lang:"-"`
	Account string `json:"account" lang:"account" doc:"client account that the key acts for"`
	Role    Role   `json:"role" lang:"role" doc:"caller, trainer, viewer or operator"`
	Hash    string `json:"hash" lang:"hash" doc:"SHA-256 of the secret, in hex"`
	Changed uint64 `json:"changed" lang:"-"`
}

// A Service holds a service that requests are routed to. Path is the prefix
// under which a plain service is reached.
type Service struct {
	Name       string  `json:"name" lang:"-"`
	Kind       Kind    `json:"kind" lang:"kind" doc:"engine or plain"`
	Path       string  `json:"path" lang:"path" doc:"path prefix of a plain service, for example /records"`
	Open       bool    `json:"open" lang:"open" doc:"whether requests need no key"`
	Idempotent bool    `json:"idempotent" lang:"idempotent" doc:"whether every call may be repeated"`
	Servers    int     `json:"servers" lang:"servers" doc:"backend servers to keep at least"`
	Most       int     `json:"most" lang:"most" doc:"backend servers to keep at most; 0 leaves the fleet alone"`
	CheapShare float64 `json:"cheap_share" lang:"cheap" doc:"largest share of servers in the cheap class, 0 to 1"`
	Fenced     bool    `json:"fenced" lang:"fenced" doc:"whether its servers check fencing numbers"`
	Changed    uint64  `json:"changed" lang:"-"`
}

// A Job holds a rollout job. Staleness is the largest number of published
// versions by which a sample may be older than the newest one.
type Job struct {
	Name      string `json:"name" lang:"-"`
	Account   string `json:"account" lang:"account" doc:"client account that owns the job"`
	Service   string `json:"service" lang:"service" doc:"service that generates the samples"`
	Staleness int    `json:"staleness" lang:"staleness" doc:"largest age of a sample in published versions"`
	Scorer    string `json:"scorer" lang:"scorer" doc:"address of the scoring service; empty for none"`
	Publishes bool   `json:"publishes" lang:"publishes" doc:"whether the job's trainer publishes the service's weights"`
	Parallel  int    `json:"parallel" lang:"parallel" doc:"samples generated at the same time"`
	Changed   uint64 `json:"changed" lang:"-"`
}

// A Drain takes a backend server out of service.
type Drain struct {
	Name    string `json:"name" lang:"-"`
	Changed uint64 `json:"changed" lang:"-"`
}

// A Release lets a quarantined request run again.
type Release struct {
	Name    string `json:"name" lang:"-"`
	Changed uint64 `json:"changed" lang:"-"`
}

// A Document holds the whole configuration at a log index. It must not be
// changed after it is published.
type Document struct {
	Index    uint64             `json:"index"`
	Accounts map[string]Account `json:"accounts"`
	Keys     map[string]Key     `json:"keys"`
	Services map[string]Service `json:"services"`
	Jobs     map[string]Job     `json:"jobs"`
	Drains   map[string]Drain   `json:"drains"`
	Releases map[string]Release `json:"releases"`
}

// NewDocument returns the empty configuration at index 0.
func NewDocument() *Document {
	return &Document{
		Accounts: map[string]Account{}, Keys: map[string]Key{}, Services: map[string]Service{},
		Jobs: map[string]Job{}, Drains: map[string]Drain{}, Releases: map[string]Release{},
	}
}

func (d *Document) clone() *Document {
	return &Document{
		Index: d.Index, Accounts: maps.Clone(d.Accounts), Keys: maps.Clone(d.Keys),
		Services: maps.Clone(d.Services), Jobs: maps.Clone(d.Jobs),
		Drains: maps.Clone(d.Drains), Releases: maps.Clone(d.Releases),
	}
}

// Verb says what a change does.
type Verb string

// The verbs of changes.
const (
	Create Verb = "create"
	Set    Verb = "set"
	Remove Verb = "remove"
)

// A Setting gives a field a value, written as in the operators' language.
type Setting struct {
	Field string `json:"field"`
	Value string `json:"value"`
}

// A Change holds one statement of a batch. Each condition must hold before
// the batch, or the batch is refused whole.
type Change struct {
	Verb     Verb      `json:"verb"`
	Entity   Entity    `json:"entity"`
	Name     string    `json:"name"`
	Settings []Setting `json:"settings,omitempty"`
	If       []Setting `json:"if,omitempty"`
	// Place is where the statement stands, for findings.
	Place string `json:"-"`
}

// An Entry holds one accepted batch. Index is contiguous from 1. Operation
// identifies the batch, so that an unknown outcome can be resolved.
type Entry struct {
	Index     uint64    `json:"index"`
	Operation string    `json:"operation"`
	Who       string    `json:"who"`
	At        time.Time `json:"at"`
	Changes   []Change  `json:"changes"`
}
