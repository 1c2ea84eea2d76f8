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
		{"path that differs only in case", create(limpetconfig.Services, "r2", "kind", "plain", "path", "/Records"), "overlaps"},
		{"path of the system", create(limpetconfig.Services, "r2", "kind", "plain", "path", "/v1/x"), "system's own"},
		{"dot segment", create(limpetconfig.Services, "r2", "kind", "plain", "path", "/a/../b"), "plain prefix"},
		{"engine service without keys", create(limpetconfig.Services, "e", "open", "true"), "cannot be open"},
		{"referenced account", limpetconfig.Change{Verb: limpetconfig.Remove, Entity: limpetconfig.Accounts, Name: "desk"}, "would not exist"},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("the batch is rejected with the reason, and the document is unchanged", t, func() {
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

func TestConditionalChange(t *testing.T) {
	Convey("a change is rejected if its condition does not hold", t, func() {
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

// A counterInput is the input of an operation in the history: a read, or a
// conditional increment of a counter. The counter is the streams field of an
// account.
type counterInput struct {
	read bool
	from int
	to   int
}

// counterModel models a register with conditional writes. The output of a read is
// the value. The output of a write is 1 if it was accepted and 0 if it was
// rejected; writes with an unknown outcome are not recorded.
var counterModel = porcupine.Model{
	Init: func() any { return 1 },
	Step: func(state, input, output any) (bool, any) {
		in, out, now := input.(counterInput), output.(int), state.(int)
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
				Convey("concurrent operators and readers see the same order", t, func() {
					history, regressions := runOperators(seed)
					So(regressions, ShouldBeEmpty)
					So(porcupine.CheckOperations(counterModel, history), ShouldBeTrue)
				})
			})
		})
	}
}

// runOperators lets operators increment a counter through the log over a store with
// injected faults, while VMs read the log. It returns the history of reads and of
// accepted and rejected changes, and a message for each read that returned an older
// document than the one before.
func runOperators(seed uint64) (history []porcupine.Operation, regressions []string) {
	const operators, increments, readers = 3, 6, 2
	stub := limpetstub.NewStore()
	log := limpetconfig.NewLog(stub.Client(), time.Now)
	ctx := context.Background()
	base, _, err := log.Append(ctx, limpetconfig.NewDocument(), "base", "test", []limpetconfig.Change{create(limpetconfig.Accounts, "c", "streams", "1")})
	if err != nil {
		return nil, []string{err.Error()}
	}
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	stub.Fault = func(string, string) limpetstub.Fault {
		mu.Lock()
		defer mu.Unlock()
		if random.IntN(3) > 0 {
			return limpetstub.NoFault
		}
		return []limpetstub.Fault{limpetstub.Refused, limpetstub.RequestLost, limpetstub.ReplyLost}[random.IntN(3)]
	}
	stub.Delay = time.Millisecond
	began := time.Now()
	record := func(client int, in counterInput, call time.Duration, out int) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call.Nanoseconds(), Return: time.Since(began).Nanoseconds()})
	}
	var g errgroup.Group
	for operator := range operators {
		g.Go(func() error {
			doc := base
			for i := range increments {
				call := time.Since(began)
				if next, _, err := log.Read(ctx, doc); err == nil {
					doc = next
					record(operator, counterInput{read: true}, call, doc.Accounts["c"].MaxOpenRequests)
				}
				from := doc.Accounts["c"].MaxOpenRequests
				change := set(limpetconfig.Accounts, "c", "streams", fmt.Sprint(from+1))
				change.If = []limpetconfig.Setting{{Field: "streams", Value: fmt.Sprint(from)}}
				call = time.Since(began)
				next, _, err := log.Append(ctx, doc, fmt.Sprintf("%d/%d", operator, i), "test", []limpetconfig.Change{change})
				var f *limpeterror.Findings
				switch {
				case err == nil:
					doc = next
					record(operator, counterInput{from: from, to: from + 1}, call, 1)
				case errors.As(err, &f):
					record(operator, counterInput{from: from, to: from + 1}, call, 0)
				}
			}
			return nil
		})
	}
	for vm := range readers {
		g.Go(func() error {
			doc := base
			for range 4 * increments {
				call := time.Since(began)
				next, _, err := log.Read(ctx, doc)
				if next.Index < doc.Index || next.Accounts["c"].MaxOpenRequests < doc.Accounts["c"].MaxOpenRequests {
					mu.Lock()
					regressions = append(regressions, fmt.Sprintf("VM %d went back from index %d to %d", vm, doc.Index, next.Index))
					mu.Unlock()
				}
				if doc = next; err == nil {
					record(operators+vm, counterInput{read: true}, call, doc.Accounts["c"].MaxOpenRequests)
				}
				time.Sleep(3 * time.Millisecond)
			}
			return nil
		})
	}
	_ = g.Wait()
	return history, regressions
}

func TestApplySegmentIgnoresOlderSegments(t *testing.T) {
	Convey("an older segment, from a stale read or a late watch event, does not change the document", t, func() {
		stub := limpetstub.NewStore()
		log := limpetconfig.NewLog(stub.Client(), time.Now)
		ctx := context.Background()
		doc, _, err := log.Append(ctx, limpetconfig.NewDocument(), "1", "test", []limpetconfig.Change{create(limpetconfig.Accounts, "a")})
		So(err, ShouldBeNil)
		older, err := stub.Client().Get(ctx, limpetconfig.LogKey)
		So(err, ShouldBeNil)
		doc, _, err = log.Append(ctx, doc, "2", "test", []limpetconfig.Change{create(limpetconfig.Accounts, "b")})
		So(err, ShouldBeNil)
		next, entries, err := log.ApplySegment(ctx, doc, older.Data)
		So(err, ShouldBeNil)
		So(entries, ShouldBeEmpty)
		So(next.Index, ShouldEqual, 2)
	})
}

func TestCompaction(t *testing.T) {
	Convey("a VM that missed several compactions catches up from the snapshot", t, func() {
		stub := limpetstub.NewStore()
		log := limpetconfig.NewLog(stub.Client(), time.Now)
		ctx := context.Background()
		doc := limpetconfig.NewDocument()
		stale := doc
		var err error
		for i := range 150 {
			doc, _, err = log.Append(ctx, doc, fmt.Sprint(i), "test", []limpetconfig.Change{create(limpetconfig.Accounts, fmt.Sprintf("a%d", i))})
			So(err, ShouldBeNil)
		}
		caughtUp, _, err := log.Read(ctx, stale)
		So(err, ShouldBeNil)
		So(caughtUp.Index, ShouldEqual, 150)
		So(caughtUp.Accounts, ShouldResemble, doc.Accounts)
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

func TestReplayGivesTheSameDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := baseDocument()
		var entries []limpetconfig.Entry
		planned := base
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			name := rapid.SampledFrom([]string{"a", "b", "desk", "c/d"}).Draw(t, "name")
			verb := rapid.SampledFrom([]limpetconfig.Verb{limpetconfig.Create, limpetconfig.Set, limpetconfig.Remove}).Draw(t, "verb")
			c := create(limpetconfig.Accounts, name, "weight", fmt.Sprint(rapid.IntRange(-1, 5).Draw(t, "weight")))
			c.Verb = verb
			next, err := limpetconfig.Plan(planned, []limpetconfig.Change{c})
			if err != nil {
				continue
			}
			entries = append(entries, limpetconfig.Entry{Index: next.Index, Changes: []limpetconfig.Change{c}})
			planned = next
		}
		replayed := base
		for _, e := range entries {
			next, err := limpetconfig.Apply(replayed, e)
			if err != nil {
				t.Fatalf("accepted entry %d rejected on replay: %v", e.Index, err)
			}
			replayed = next
		}
		if fmt.Sprint(replayed) != fmt.Sprint(planned) {
			t.Fatalf("replayed document is %v, want %v", replayed, planned)
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
		for _, index := range []uint64{0, s.Base, s.LastIndex(), s.LastIndex() + 1} {
			if entries, ok := s.EntriesAfter(index); ok && len(entries) > len(s.Entries) {
				t.Fatalf("%d entries after %d of %d", len(entries), index, len(s.Entries))
			}
		}
	})
}
