package limpetslope

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"time"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetroute"
	"limpetmount.org/limpetbench/internal/limpetplot"
)

// An objectCost holds the cost of one object among count objects of a kind.
type objectCost struct {
	kind          string
	count         int
	heapBytes     float64       // per object
	snapshotBytes float64       // per object
	change        time.Duration // of one configuration change, or one routing decision
}

var objectCounts = []int{100, 1000, 10000}

// measureObjects measures configuration documents and candidate lists of
// increasing size.
func measureObjects() ([]objectCost, error) {
	var costs []objectCost
	for _, count := range objectCounts {
		for _, kind := range []limpetconfig.Entity{limpetconfig.Accounts, limpetconfig.Keys, limpetconfig.Jobs} {
			c, err := measureDocument(kind, count)
			if err != nil {
				return nil, err
			}
			costs = append(costs, c)
		}
		costs = append(costs, measureEngines(count))
	}
	return costs, nil
}

// heapInUse returns the size of the heap after garbage collection, in bytes.
func heapInUse() uint64 { return collectGarbage().HeapAlloc }

// measureDocument measures a configuration document with count objects of a kind,
// and the time to plan one change to it.
func measureDocument(kind limpetconfig.Entity, count int) (objectCost, error) {
	c := objectCost{kind: string(kind), count: count}
	baseDocument, err := limpetconfig.Plan(limpetconfig.NewDocument(), []limpetconfig.Change{
		{Verb: limpetconfig.Create, Entity: limpetconfig.Accounts, Name: "base"},
		{Verb: limpetconfig.Create, Entity: limpetconfig.Services, Name: "drafts"},
	})
	if err != nil {
		return c, err
	}
	var batch []limpetconfig.Change
	for i := range count {
		change := limpetconfig.Change{Verb: limpetconfig.Create, Entity: kind, Name: fmt.Sprintf("%s%d", kind, i)}
		switch kind {
		case limpetconfig.Keys:
			change.Settings = []limpetconfig.Setting{{Field: "account", Value: "base"}, {Field: "hash", Value: strings.Repeat("ab", 32)}}
		case limpetconfig.Jobs:
			change.Settings = []limpetconfig.Setting{{Field: "account", Value: "base"}, {Field: "service", Value: "drafts"}}
		}
		batch = append(batch, change)
	}
	before := heapInUse()
	d, err := limpetconfig.Plan(baseDocument, batch)
	if err != nil {
		return c, err
	}
	c.heapBytes = (float64(heapInUse()) - float64(before)) / float64(count)
	data, err := json.Marshal(d)
	if err != nil {
		return c, err
	}
	c.snapshotBytes = float64(len(data)) / float64(count)
	one := []limpetconfig.Change{{Verb: limpetconfig.Set, Entity: limpetconfig.Accounts, Name: "base", Settings: []limpetconfig.Setting{{Field: "weight", Value: "2"}}}}
	const rounds = 20
	start := time.Now()
	for range rounds {
		if _, err := limpetconfig.Plan(d, one); err != nil {
			return c, err
		}
	}
	c.change = time.Since(start) / rounds
	runtime.KeepAlive(batch)
	runtime.KeepAlive(d)
	return c, nil
}

// measureEngines measures routing candidates as a node's view holds them, and the
// time of a routing decision among all of them.
func measureEngines(count int) objectCost {
	c := objectCost{kind: "engine", count: count}
	before := heapInUse()
	candidates := make([]limpetroute.Candidate, 0, count)
	for i := range count {
		s := limpetroute.NewServer(limpetorder.Server{ID: fmt.Sprintf("drafts-zone-%d", i), Zone: "a", Address: "10.0.0.1:7000"})
		candidates = append(candidates, limpetroute.Candidate{Server: s, Capacity: 8})
	}
	c.heapBytes = (float64(heapInUse()) - float64(before)) / float64(count)
	defer runtime.KeepAlive(candidates)
	const rounds = 200
	start := time.Now()
	for i := range rounds {
		limpetroute.Pick(candidates, limpetroute.Query{Zone: "a", Prefix: 1, Random: uint64(i)})
	}
	c.change = time.Since(start) / rounds
	return c
}

func objectReport(costs []objectCost) *limpetplot.Report {
	r := &limpetplot.Report{Name: "slopes-object", Columns: []string{"object", "number", "memory bytes each", "snapshot bytes each", "one change, or one routing decision, us"}}
	for _, c := range costs {
		snapshotBytes := "-"
		if c.snapshotBytes > 0 {
			snapshotBytes = fmt.Sprintf("%.0f", c.snapshotBytes)
		}
		r.Add(c.kind, fmt.Sprint(c.count), fmt.Sprintf("%.0f", c.heapBytes), snapshotBytes, fmt.Sprintf("%.1f", float64(c.change.Nanoseconds())/1000))
	}
	return r
}
