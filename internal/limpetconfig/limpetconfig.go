// Package limpetconfig defines the configuration that operators change: its
// objects, the changes to them, and the replicated log from which every VM reads
// the same changes in the same order. Documents are immutable; Plan and Apply
// return new ones. The package must not import transports.
package limpetconfig

import (
	"maps"
	"time"
)

// Entity is a kind of object.
type Entity string

// The kinds of configurable objects.
const (
	Accounts Entity = "account"
	Keys     Entity = "key"
	Services Entity = "service"
	Jobs     Entity = "job"
	Drains   Entity = "drain"
	Releases Entity = "release"
)

// Class is the priority class of a client account's work.
type Class string

// The priority classes. Live work is scheduled before rollouts.
const (
	Live    Class = "live"
	Rollout Class = "rollout"
)

// Role is the set of operations that a key may use.
type Role string

// The roles of keys.
const (
	Caller   Role = "caller"
	Trainer  Role = "trainer"
	Operator Role = "operator"
	Viewer   Role = "viewer"
)

// Kind is the kind of a service. It decides which protocol is used with its backend
// servers.
type Kind string

// The kinds of services.
const (
	Engine Kind = "engine"
	Plain  Kind = "plain"
)

// An Account is a client account. Weight is its share of work relative to other
// accounts. Changed, as in all kinds of objects, is the log index of the last
// change.
type Account struct {
	Name            string  `json:"name" lang:"-"`
	Weight          float64 `json:"weight" lang:"weight" doc:"share of work relative to other accounts"`
	Class           Class   `json:"class" lang:"class" doc:"live or rollout; live work goes first"`
	MaxOpenRequests int     `json:"streams" lang:"streams" doc:"maximum number of open requests on one VM"`
	Changed         uint64  `json:"changed" lang:"-"`
}

// A Key is a bearer key of a client account. Hash is the SHA-256 of the token, in
// hex.
type Key struct {
	Name    string `json:"name" lang:"-"`
	Account string `json:"account" lang:"account" doc:"client account that the key belongs to"`
	Role    Role   `json:"role" lang:"role" doc:"caller, trainer, viewer or operator"`
	Hash    string `json:"hash" lang:"hash" doc:"SHA-256 of the secret, in hex"`
	Changed uint64 `json:"changed" lang:"-"`
}

// A Service is a service that requests are routed to. Path is the path prefix of
// a plain service.
type Service struct {
	Name          string  `json:"name" lang:"-"`
	Kind          Kind    `json:"kind" lang:"kind" doc:"engine or plain"`
	Path          string  `json:"path" lang:"path" doc:"path prefix of a plain service, for example /records"`
	Open          bool    `json:"open" lang:"open" doc:"whether requests are accepted without a key"`
	Idempotent    bool    `json:"idempotent" lang:"idempotent" doc:"whether every call may be retried"`
	MinServers    int     `json:"servers" lang:"servers" doc:"minimum number of backend servers"`
	MaxServers    int     `json:"most" lang:"most" doc:"maximum number of backend servers; 0 turns automatic ordering off"`
	MaxCheapShare float64 `json:"cheap_share" lang:"cheap" doc:"maximum share of servers in the cheap class, 0 to 1"`
	Fenced        bool    `json:"fenced" lang:"fenced" doc:"whether its servers check fencing tokens"`
	Changed       uint64  `json:"changed" lang:"-"`
}

// A Job is a rollout job. MaxStaleness is the maximum number of published weight
// versions by which a sample may lag behind the newest one.
type Job struct {
	Name         string `json:"name" lang:"-"`
	Account      string `json:"account" lang:"account" doc:"client account that owns the job"`
	Service      string `json:"service" lang:"service" doc:"service that generates the samples"`
	MaxStaleness int    `json:"staleness" lang:"staleness" doc:"maximum age of a sample, in published versions"`
	Scorer       string `json:"scorer" lang:"scorer" doc:"address of the scoring service; empty for none"`
	Publishes    bool   `json:"publishes" lang:"publishes" doc:"whether the job's trainer publishes the service's weights"`
	Concurrency  int    `json:"parallel" lang:"parallel" doc:"number of samples generated concurrently"`
	Changed      uint64 `json:"changed" lang:"-"`
}

// A Drain takes the backend server of the same name out of service.
type Drain struct {
	Name    string `json:"name" lang:"-"`
	Changed uint64 `json:"changed" lang:"-"`
}

// A Release lets the quarantined request of the same name run again.
type Release struct {
	Name    string `json:"name" lang:"-"`
	Changed uint64 `json:"changed" lang:"-"`
}

// A Document is the complete configuration at a log index. It must not be
// modified once other goroutines can read it.
type Document struct {
	Index    uint64             `json:"index"`
	Accounts map[string]Account `json:"accounts"`
	Keys     map[string]Key     `json:"keys"`
	Services map[string]Service `json:"services"`
	Jobs     map[string]Job     `json:"jobs"`
	Drains   map[string]Drain   `json:"drains"`
	Releases map[string]Release `json:"releases"`
}

// NewDocument returns an empty configuration at index 0.
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

// Verb is the operation of a change.
type Verb string

// The verbs of changes.
const (
	Create Verb = "create"
	Set    Verb = "set"
	Remove Verb = "remove"
)

// A Setting is a field and its value in the syntax of the operators' language.
type Setting struct {
	Field string `json:"field"`
	Value string `json:"value"`
}

// A Change is one statement of a batch. The whole batch is rejected unless the
// conditions in If hold in the document before the batch.
type Change struct {
	Verb     Verb      `json:"verb"`
	Entity   Entity    `json:"entity"`
	Name     string    `json:"name"`
	Settings []Setting `json:"settings,omitempty"`
	If       []Setting `json:"if,omitempty"`
	// Place is the position of the statement in the batch. Findings cite it.
	Place string `json:"-"`
}

// An Entry is one accepted batch in the log. Indexes are contiguous from 1.
// Operation is a unique identifier of the batch. By it, a writer that got no
// response finds out whether the batch was appended.
type Entry struct {
	Index     uint64    `json:"index"`
	Operation string    `json:"operation"`
	Author    string    `json:"who"`
	At        time.Time `json:"at"`
	Changes   []Change  `json:"changes"`
}
