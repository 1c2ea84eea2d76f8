package limpetconfig

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"limpetmount.org/internal/limpeterror"
)

const (
	// Default field values of new objects.
	defaultWeight          = 1
	defaultMaxOpenRequests = 256
	defaultMaxStaleness    = 2
	defaultConcurrency     = 64

	hashBytes     = 32
	maxNameLength = 64
)

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)

// reservedPaths are served by the system itself and cannot be the path of a plain
// service.
var reservedPaths = []string{"/v1", "/health", "/ready"}

// entityOps holds the operations on the objects of one entity.
type entityOps struct {
	create func(name string) any
	get    func(d *Document, name string) (any, bool)
	put    func(d *Document, name string, v any)
	remove func(d *Document, name string)
	names  func(d *Document) []string
	check  func(d *Document, v any, place string, f *limpeterror.Findings)
}

// newEntityOps returns the operations on the map that objects selects.
func newEntityOps[T any](objects func(*Document) map[string]T, create func(string) T, check func(*Document, T, string, *limpeterror.Findings)) entityOps {
	return entityOps{
		create: func(name string) any { v := create(name); return &v },
		get: func(d *Document, name string) (any, bool) {
			v, ok := objects(d)[name]
			return &v, ok
		},
		put:    func(d *Document, name string, v any) { objects(d)[name] = *v.(*T) },
		remove: func(d *Document, name string) { delete(objects(d), name) },
		names: func(d *Document) []string {
			names := make([]string, 0, len(objects(d)))
			for n := range objects(d) {
				names = append(names, n)
			}
			sort.Strings(names)
			return names
		},
		check: func(d *Document, v any, place string, f *limpeterror.Findings) { check(d, *v.(*T), place, f) },
	}
}

var entities = map[Entity]entityOps{
	Accounts: newEntityOps(func(d *Document) map[string]Account { return d.Accounts },
		func(n string) Account {
			return Account{Name: n, Weight: defaultWeight, Class: Live, MaxOpenRequests: defaultMaxOpenRequests}
		}, checkAccount),
	Keys: newEntityOps(func(d *Document) map[string]Key { return d.Keys },
		func(n string) Key { return Key{Name: n, Role: Caller} }, checkKey),
	Services: newEntityOps(func(d *Document) map[string]Service { return d.Services },
		func(n string) Service { return Service{Name: n, Kind: Engine} }, checkService),
	Jobs: newEntityOps(func(d *Document) map[string]Job { return d.Jobs },
		func(n string) Job {
			return Job{Name: n, MaxStaleness: defaultMaxStaleness, Concurrency: defaultConcurrency}
		}, checkJob),
	Drains: newEntityOps(func(d *Document) map[string]Drain { return d.Drains },
		func(n string) Drain { return Drain{Name: n} }, func(*Document, Drain, string, *limpeterror.Findings) {}),
	Releases: newEntityOps(func(d *Document) map[string]Release { return d.Releases },
		func(n string) Release { return Release{Name: n} }, func(*Document, Release, string, *limpeterror.Findings) {}),
}

func checkAccount(_ *Document, a Account, place string, f *limpeterror.Findings) {
	if a.Weight <= 0 || a.Weight > 1e6 {
		f.Add(place, "weight must be above 0 and at most 1e6")
	}
	if a.Class != Live && a.Class != Rollout {
		f.Add(place, "class must be live or rollout, not %q", a.Class)
	}
	if a.MaxOpenRequests < 1 {
		f.Add(place, "streams must be at least 1")
	}
}

func checkKey(d *Document, k Key, place string, f *limpeterror.Findings) {
	if _, ok := d.Accounts[k.Account]; !ok {
		f.Add(place, "no account %q", k.Account)
	}
	if data, err := hex.DecodeString(k.Hash); err != nil || len(data) != hashBytes {
		f.Add(place, "hash must be %d bytes in hex", hashBytes)
	}
	switch k.Role {
	case Caller, Trainer, Operator, Viewer:
	default:
		f.Add(place, "role must be caller, trainer, viewer or operator, not %q", k.Role)
	}
}

func checkService(d *Document, s Service, place string, f *limpeterror.Findings) {
	switch s.Kind {
	case Engine:
		if s.Open {
			f.Add(place, "an engine service cannot be open")
		}
	case Plain:
		checkPath(d, s, place, f)
	default:
		f.Add(place, "kind must be engine or plain, not %q", s.Kind)
	}
	if s.MinServers < 0 || s.MaxServers < 0 || (s.MaxServers > 0 && s.MaxServers < s.MinServers) {
		f.Add(place, "servers must be 0 to most")
	}
	if s.MaxCheapShare < 0 || s.MaxCheapShare > 1 {
		f.Add(place, "cheap must be 0 to 1")
	}
}

func checkPath(d *Document, s Service, place string, f *limpeterror.Findings) {
	if !strings.HasPrefix(s.Path, "/") || len(s.Path) < 2 || strings.HasSuffix(s.Path, "/") || strings.ContainsAny(s.Path, "%?#;\\ ") || strings.Contains(s.Path, "//") || strings.Contains(s.Path, "/.") {
		f.Add(place, "path must be a plain prefix such as /records, not %q", s.Path)
		return
	}
	for _, r := range reservedPaths {
		if pathsOverlap(r, strings.ToLower(s.Path)) {
			f.Add(place, "path %s is the system's own", r)
		}
	}
	for _, o := range d.Services {
		if o.Name != s.Name && o.Kind == Plain && pathsOverlap(strings.ToLower(o.Path), strings.ToLower(s.Path)) {
			f.Add(place, "path overlaps with service %s", o.Name)
		}
	}
}

// pathsOverlap reports whether one path is equal to the other or a prefix of it at
// a segment boundary.
func pathsOverlap(a, b string) bool {
	return strings.HasPrefix(a+"/", b+"/") || strings.HasPrefix(b+"/", a+"/")
}

func checkJob(d *Document, j Job, place string, f *limpeterror.Findings) {
	if _, ok := d.Accounts[j.Account]; !ok {
		f.Add(place, "no account %q", j.Account)
	}
	if s, ok := d.Services[j.Service]; !ok || s.Kind != Engine {
		f.Add(place, "no engine service %q", j.Service)
	}
	if j.MaxStaleness < 0 {
		f.Add(place, "staleness must be at least 0")
	}
	if j.Concurrency < 1 {
		f.Add(place, "parallel must be at least 1")
	}
	if j.Scorer != "" {
		if _, err := netip.ParseAddrPort(j.Scorer); err != nil {
			f.Add(place, "scorer must be an IP address with a port, not %q", j.Scorer)
		}
	}
	for _, o := range d.Jobs {
		if j.Publishes && o.Publishes && o.Name != j.Name && o.Service == j.Service {
			f.Add(place, "job %s publishes the weights of %s already", o.Name, j.Service)
		}
	}
}

// Plan returns the document after a batch, or all findings about the batch as
// *limpeterror.Findings. A batch is applied completely or not at all. Conditions
// are evaluated against d.
func Plan(d *Document, changes []Change) (*Document, error) {
	f := &limpeterror.Findings{}
	if len(changes) == 0 {
		f.Add("batch", "no changes")
	}
	next := d.clone()
	next.Index = d.Index + 1
	for _, c := range changes {
		planChange(d, next, c, f)
	}
	for _, c := range changes {
		if ops, ok := entities[c.Entity]; ok && c.Verb != Remove {
			if v, ok := ops.get(next, c.Name); ok {
				ops.check(next, v, c.Place, f)
			}
		}
	}
	checkReferences(next, f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return next, nil
}

// planChange applies one change to next. Its conditions are evaluated against
// before.
func planChange(before, next *Document, c Change, f *limpeterror.Findings) {
	ops, ok := entities[c.Entity]
	if !ok {
		f.Add(c.Place, "unknown kind of object %q", c.Entity)
		return
	}
	if !validName.MatchString(c.Name) || len(c.Name) > maxNameLength {
		f.Add(c.Place, "name must be at most %d letters, digits and . _ : -, not %q", maxNameLength, c.Name)
		return
	}
	checkConditions(before, ops, c, f)
	v, exists := ops.get(next, c.Name)
	switch {
	case c.Verb == Create && exists:
		f.Add(c.Place, "%s %s exists already", c.Entity, c.Name)
		return
	case c.Verb != Create && !exists:
		f.Add(c.Place, "no %s %s", c.Entity, c.Name)
		return
	case c.Verb == Remove:
		ops.remove(next, c.Name)
		return
	case c.Verb == Create:
		v = ops.create(c.Name)
	}
	for _, s := range c.Settings {
		if err := SetField(v, s.Field, s.Value); err != nil {
			f.Add(c.Place, "%s %s: %v", c.Entity, c.Name, err)
		}
	}
	reflect.ValueOf(v).Elem().FieldByName("Changed").SetUint(next.Index)
	ops.put(next, c.Name, v)
}

func checkConditions(before *Document, ops entityOps, c Change, f *limpeterror.Findings) {
	v, exists := ops.get(before, c.Name)
	for _, s := range c.If {
		if !exists {
			f.Add(c.Place, "condition on %s: no %s %s", s.Field, c.Entity, c.Name)
			continue
		}
		got, err := GetField(v, s.Field)
		if err != nil {
			f.Add(c.Place, "condition: %v", err)
		} else if got != s.Value {
			f.Add(c.Place, "condition on %s: it is %s, not %s", s.Field, got, s.Value)
		}
	}
}

// checkReferences adds a finding for each key or job whose account or service does
// not exist in d.
func checkReferences(d *Document, f *limpeterror.Findings) {
	for _, n := range entities[Keys].names(d) {
		if a := d.Keys[n].Account; d.Accounts[a].Name == "" {
			f.Add("batch", "key %s belongs to account %s, which would not exist", n, a)
		}
	}
	for _, n := range entities[Jobs].names(d) {
		j := d.Jobs[n]
		if d.Accounts[j.Account].Name == "" || d.Services[j.Service].Name == "" {
			f.Add("batch", "job %s needs account %s and service %s", n, j.Account, j.Service)
		}
	}
}

// Apply returns the document after a log entry. The error has type Conflict if the
// index of the entry is not the next one after that of d, and wraps the findings if
// the entry is invalid.
func Apply(d *Document, e Entry) (*Document, error) {
	if e.Index != d.Index+1 {
		return nil, limpeterror.Conflict.New("entry %d does not follow index %d", e.Index, d.Index)
	}
	next, err := Plan(d, e.Changes)
	if err != nil {
		return nil, fmt.Errorf("entry %d: %w", e.Index, err)
	}
	return next, nil
}

// SetField parses value and sets the field of object with the given name in the
// operators' language. object must be a pointer to a struct. The error has type
// Invalid if there is no such field or the value has the wrong type.
func SetField(object any, name, value string) error {
	field, err := fieldByName(object, name)
	if err != nil {
		return err
	}
	switch field.Kind() {
	case reflect.String:
		field.SetString(value)
	case reflect.Bool:
		b, err := strconv.ParseBool(value)
		if err != nil {
			return limpeterror.Invalid.New("%s must be true or false, not %q", name, value)
		}
		field.SetBool(b)
	case reflect.Int:
		n, err := strconv.ParseInt(value, 10, 32)
		if err != nil {
			return limpeterror.Invalid.New("%s must be a whole number, not %q", name, value)
		}
		field.SetInt(n)
	case reflect.Float64:
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return limpeterror.Invalid.New("%s must be a number, not %q", name, value)
		}
		field.SetFloat(n)
	}
	return nil
}

// GetField returns the value of the field of object with the given name in the
// operators' language. The field "changed" is the log index of the object's last
// change. object must be a pointer to a struct. The error has type Invalid if there
// is no such field.
func GetField(object any, name string) (string, error) {
	if name == "changed" {
		return fmt.Sprint(reflect.ValueOf(object).Elem().FieldByName("Changed").Uint()), nil
	}
	field, err := fieldByName(object, name)
	if err != nil {
		return "", err
	}
	return fmt.Sprint(field.Interface()), nil
}

func fieldByName(object any, name string) (reflect.Value, error) {
	v := reflect.ValueOf(object).Elem()
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("lang") == name && name != "-" {
			return v.Field(i), nil
		}
	}
	return reflect.Value{}, limpeterror.Invalid.New("no field %q; the fields are %s", name, strings.Join(fieldNames(v.Type()), ", "))
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if n := t.Field(i).Tag.Get("lang"); n != "-" {
			names = append(names, n)
		}
	}
	return names
}

// An Object is a configured object with its field values in the syntax of the
// operators' language.
type Object struct {
	Name   string
	Fields []Setting
}

// Objects returns the objects of an entity, sorted by name, without key hashes.
func (d *Document) Objects(e Entity) []Object {
	ops := entities[e]
	var objects []Object
	for _, n := range ops.names(d) {
		v, _ := ops.get(d, n)
		o := Object{Name: n}
		for _, field := range Fields(e) {
			value, _ := GetField(v, field.Name)
			o.Fields = append(o.Fields, Setting{Field: field.Name, Value: value})
		}
		objects = append(objects, o)
	}
	return objects
}

// A Field is the name and the documentation of a field.
type Field struct {
	Name string
	Doc  string
}

// Fields returns the fields of an entity that operators may see. Key hashes are left
// out.
func Fields(e Entity) []Field {
	t := reflect.TypeOf(entities[e].create("x")).Elem()
	var fields []Field
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		if n := tag.Get("lang"); n != "-" && n != "hash" {
			fields = append(fields, Field{Name: n, Doc: tag.Get("doc")})
		}
	}
	return append(fields, Field{Name: "changed", Doc: "log index of the last change"})
}

// Entities returns all entities, always in the same order.
func Entities() []Entity {
	return []Entity{Accounts, Keys, Services, Jobs, Drains, Releases}
}
