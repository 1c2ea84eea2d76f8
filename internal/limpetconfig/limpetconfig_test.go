package limpetconfig_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstub"
)

func create(entity limpetconfig.Entity, name string, fields ...string) limpetconfig.Change {
	c := limpetconfig.Change{Verb: limpetconfig.Create, Entity: entity, Name: name, Place: "1:1"}
	for i := 0; i+1 < len(fields); i += 2 {
		c.Settings = append(c.Settings, limpetconfig.Setting{Field: fields[i], Value: fields[i+1]})
	}
	return c
}

func set(entity limpetconfig.Entity, name, field, value string) limpetconfig.Change {
	c := create(entity, name, field, value)
	c.Verb = limpetconfig.Set
	return c
}

var validHash = strings.Repeat("ab", 32)

func baseDocument() *limpetconfig.Document {
	d, err := limpetconfig.Plan(limpetconfig.NewDocument(), []limpetconfig.Change{
		create(limpetconfig.Accounts, "desk", "weight", "3"),
		create(limpetconfig.Keys, "k1", "account", "desk", "hash", validHash),
		create(limpetconfig.Services, "drafts"),
		create(limpetconfig.Services, "records", "kind", "plain", "path", "/records"),
	})
	if err != nil {
		panic(err)
	}
	return d
}

func TestPlanFindings(t *testing.T) {
	for _, c := range []struct {
		name   string
		change limpetconfig.Change
		want   string
	}{
		{"unknown account", create(limpetconfig.Keys, "k2", "account", "nobody", "hash", validHash), "no account"},
		{"short hash", create(limpetconfig.Keys, "k2", "account", "desk", "hash", "ab"), "32 bytes"},
		{"unknown field", create(limpetconfig.Accounts, "a", "colour", "red"), "no field"},
		{"not a number", set(limpetconfig.Accounts, "desk", "weight", "heavy"), "must be a number"},
		{"zero weight", set(limpetconfig.Accounts, "desk", "weight", "0"), "above 0"},
		{"exists", create(limpetconfig.Accounts, "desk"), "exists already"},
		{"missing", set(limpetconfig.Accounts, "d", "weight", "1"), "no account d"},
		{"bad name", create(limpetconfig.Accounts, "a/b"), "name must be"},
		{"reserved name of open routes", create(limpetconfig.Accounts, "(open)"), "name must be"},
		{"overlapping path", create(limpetconfig.Services, "r2", "kind", "plain", "path", "/records/fees"), "overlaps"},
		{"path of other case", create(limpetconfig.Services, "r2", "kind", "plain", "path", "/Records"), "overlaps"},
		{"the system's path", create(limpetconfig.Services, "r2", "kind", "plain", "path", "/v1/x"), "system's own"},
		{"dot segment", create(limpetconfig.Services, "r2", "kind", "plain", "path", "/a/../b"), "plain prefix"},
		{"open engine", create(limpetconfig.Services, "e", "open", "true"), "cannot be open"},
		{"referenced account", limpetconfig.Change{Verb: limpetconfig.Remove, Entity: limpetconfig.Accounts, Name: "desk"}, "would not exist"},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("the batch is refused with the reason", t, func() {
				d := baseDocument()
				before, _ := json.Marshal(d)
				_, err := limpetconfig.Plan(d, []limpetconfig.Change{create(limpetconfig.Accounts, "good"), c.change})
				var f *limpeterror.Findings
				So(errors.As(err, &f), ShouldBeTrue)
				So(f.Error(), ShouldContainSubstring, c.want)
				after, _ := json.Marshal(d)
				So(string(after), ShouldEqual, string(before))
			})
		})
	}
}

func TestConditionalChanges(t *testing.T) {
	Convey("a change whose condition fails changes nothing", t, func() {
		d := baseDocument()
		c := set(limpetconfig.Accounts, "desk", "weight", "5")
		c.If = []limpetconfig.Setting{{Field: "weight", Value: "3"}}
		next, err := limpetconfig.Plan(d, []limpetconfig.Change{c})
		So(err, ShouldBeNil)
		So(next.Accounts["desk"].Weight, ShouldEqual, 5)
		_, err = limpetconfig.Plan(next, []limpetconfig.Change{c})
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "it is 5, not 3")
	})
}

// A logInput is one operation of the history: an increment of a counter kept
// in an account's streams, or a read by a VM.
type logInput struct {
	read bool
	from int
	to   int
}

// counterModel is a register that changes by conditional writes; the output is
// the value read, or 1 for an accepted write, 0 for a refused one, and -1 for
// one whose outcome is unknown.
var counterModel = porcupine.Model{
	Init: func() any { return 1 },
	Step: func(state, input, output any) (bool, any) {
		in, out, now := input.(logInput), output.(int), state.(int)
		switch {
		case in.read:
			return out == now, now
		case out == 1:
			return now == in.from, in.to
		default:
			return now != in.from, now
		}
	},
}

func TestLogIsLinearizableUnderFaults(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("racing operators and readers see one order", t, func() {
					events, reverted := runOperators(seed)
					So(reverted, ShouldBeEmpty)
					So(porcupine.CheckOperations(counterModel, events), ShouldBeTrue)
				})
			})
		})
	}
}

// runOperators lets operators increment a counter over a store with faults
// while VMs follow the log. It returns the history of accepted and refused
// changes with their true times, and every case of a VM that went back.
func runOperators(seed uint64) (history []porcupine.Operation, reverted []string) {
	const operators, tries, followers = 3, 6, 2
	stub := limpetstub.NewStore()
	log := limpetconfig.NewLog(stub.Client(), time.Now)
	ctx := context.Background()
	base, _, err := log.Append(ctx, limpetconfig.NewDocument(), "base", "test", []limpetconfig.Change{create(limpetconfig.Accounts, "c", "streams", "1")})
	if err != nil {
		return nil, []string{err.Error()}
	}
	r := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	stub.Fault = func(string, string) limpetstub.Fault {
		mu.Lock()
		defer mu.Unlock()
		if r.IntN(3) > 0 {
			return limpetstub.None
		}
		return []limpetstub.Fault{limpetstub.Refused, limpetstub.LostBefore, limpetstub.LostAfter}[r.IntN(3)]
	}
	stub.Delay = time.Millisecond
	began := time.Now()
	record := func(client int, in logInput, call time.Duration, out int) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call.Nanoseconds(), Return: time.Since(began).Nanoseconds()})
	}
	var g errgroup.Group
	for o := range operators {
		g.Go(func() error {
			doc := base
			for i := range tries {
				call := time.Since(began)
				if next, _, err := log.Read(ctx, doc); err == nil {
					doc = next
					record(o, logInput{read: true}, call, doc.Accounts["c"].Streams)
				}
				from := doc.Accounts["c"].Streams
				change := set(limpetconfig.Accounts, "c", "streams", fmt.Sprint(from+1))
				change.If = []limpetconfig.Setting{{Field: "streams", Value: fmt.Sprint(from)}}
				call = time.Since(began)
				next, _, err := log.Append(ctx, doc, fmt.Sprintf("%d/%d", o, i), "test", []limpetconfig.Change{change})
				var f *limpeterror.Findings
				switch {
				case err == nil:
					doc = next
					record(o, logInput{from: from, to: from + 1}, call, 1)
				case errors.As(err, &f):
					record(o, logInput{from: from, to: from + 1}, call, 0)
				}
			}
			return nil
		})
	}
	for v := range followers {
		g.Go(func() error {
			doc := base
			for range 4 * tries {
				call := time.Since(began)
				next, _, err := log.Read(ctx, doc)
				if next.Index < doc.Index || next.Accounts["c"].Streams < doc.Accounts["c"].Streams {
					mu.Lock()
					reverted = append(reverted, fmt.Sprintf("VM %d went from %d to %d", v, doc.Index, next.Index))
					mu.Unlock()
				}
				if doc = next; err == nil {
					record(operators+v, logInput{read: true}, call, doc.Accounts["c"].Streams)
				}
				time.Sleep(3 * time.Millisecond)
			}
			return nil
		})
	}
	_ = g.Wait()
	return history, reverted
}

func TestStaleReadsAndLateWatchesChangeNothing(t *testing.T) {
	Convey("an older segment never reverts a document", t, func() {
		stub := limpetstub.NewStore()
		log := limpetconfig.NewLog(stub.Client(), time.Now)
		ctx := context.Background()
		doc, _, err := log.Append(ctx, limpetconfig.NewDocument(), "1", "test", []limpetconfig.Change{create(limpetconfig.Accounts, "a")})
		So(err, ShouldBeNil)
		old, err := stub.Client().Get(ctx, limpetconfig.LogKey)
		So(err, ShouldBeNil)
		doc, _, err = log.Append(ctx, doc, "2", "test", []limpetconfig.Change{create(limpetconfig.Accounts, "b")})
		So(err, ShouldBeNil)
		next, entries, err := log.Follow(ctx, doc, old.Data)
		So(err, ShouldBeNil)
		So(entries, ShouldBeEmpty)
		So(next.Index, ShouldEqual, 2)
	})
}

func TestCompaction(t *testing.T) {
	Convey("a VM that slept through many compactions catches up", t, func() {
		stub := limpetstub.NewStore()
		log := limpetconfig.NewLog(stub.Client(), time.Now)
		ctx := context.Background()
		doc := limpetconfig.NewDocument()
		sleeper := doc
		var err error
		for i := range 150 {
			doc, _, err = log.Append(ctx, doc, fmt.Sprint(i), "test", []limpetconfig.Change{create(limpetconfig.Accounts, fmt.Sprintf("a%d", i))})
			So(err, ShouldBeNil)
		}
		woken, _, err := log.Read(ctx, sleeper)
		So(err, ShouldBeNil)
		So(woken.Index, ShouldEqual, 150)
		So(woken.Accounts, ShouldResemble, doc.Accounts)
		audit, err := stub.Client().List(ctx, "config/audit/")
		So(err, ShouldBeNil)
		archived := map[uint64]bool{}
		for _, v := range audit {
			var entries []limpetconfig.Entry
			So(json.Unmarshal(v.Data, &entries), ShouldBeNil)
			for _, e := range entries {
				archived[e.Index] = true
			}
		}
		for i := uint64(1); i <= 100; i++ {
			So(archived[i], ShouldBeTrue)
		}
		snapshots, err := stub.Client().List(ctx, "config/snapshot/")
		So(err, ShouldBeNil)
		So(len(snapshots), ShouldBeLessThanOrEqualTo, 2)
	})
}

func TestApplyIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := baseDocument()
		var entries []limpetconfig.Entry
		at := doc
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			name := rapid.SampledFrom([]string{"a", "b", "desk", "c/d"}).Draw(t, "name")
			verb := rapid.SampledFrom([]limpetconfig.Verb{limpetconfig.Create, limpetconfig.Set, limpetconfig.Remove}).Draw(t, "verb")
			c := create(limpetconfig.Accounts, name, "weight", fmt.Sprint(rapid.IntRange(-1, 5).Draw(t, "weight")))
			c.Verb = verb
			next, err := limpetconfig.Plan(at, []limpetconfig.Change{c})
			if err != nil {
				continue
			}
			entries = append(entries, limpetconfig.Entry{Index: next.Index, Changes: []limpetconfig.Change{c}})
			at = next
		}
		replayed := doc
		for _, e := range entries {
			next, err := limpetconfig.Apply(replayed, e)
			if err != nil {
				t.Fatalf("accepted entry %d refused: %v", e.Index, err)
			}
			replayed = next
		}
		if fmt.Sprint(replayed) != fmt.Sprint(at) {
			t.Fatalf("replay differs: %v and %v", replayed, at)
		}
	})
}

func FuzzDecodeSegment(f *testing.F) {
	f.Add([]byte(`{"base":3,"entries":[{"index":4,"operation":"x","changes":[]}]}`))
	f.Add([]byte(`{"base":18446744073709551615,"entries":[{"index":0}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := limpetconfig.DecodeSegment(data)
		if err != nil {
			return
		}
		for _, index := range []uint64{0, s.Base, s.Last(), s.Last() + 1} {
			if entries, ok := s.After(index); ok && len(entries) > len(s.Entries) {
				t.Fatalf("%d entries after %d of %d", len(entries), index, len(s.Entries))
			}
		}
	})
}
