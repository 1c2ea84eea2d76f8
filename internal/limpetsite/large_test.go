package limpetsite_test

import (
	"fmt"
	"testing"
	"time"

	"limpetmount.org/internal/limpetsite"
)

// largeState returns a deployment of a number of engines, 140 client accounts and as
// many routes.
func largeState(engines int) *limpetsite.State {
	state := limpetsite.NewState()
	config := &limpetsite.Config{}
	for n := range 140 {
		config.Accounts = append(config.Accounts, limpetsite.Account{Name: fmt.Sprint("a", n), Keys: [][32]byte{limpetsite.HashKey(fmt.Sprint("k", n))}})
		config.Routes = append(config.Routes, limpetsite.Route{Host: "h", Prefix: fmt.Sprintf("/p%d/", n)})
	}
	state.Apply(limpetsite.Record{Key: "config", Revision: 1, Config: config}, time.Time{})
	for n := range engines {
		state.Apply(engineRecord(n, 1, uint64(n+2)), time.Time{})
	}
	return state
}

func engineRecord(n, version int, revision uint64) limpetsite.Record {
	id := fmt.Sprintf("e%04d", n)
	return limpetsite.Record{Key: limpetsite.ServerKey + id, Revision: revision, Server: &limpetsite.Server{
		ID: id, Service: "llm", Address: id, Zone: "a", Slots: 6, Models: map[string]int{"m0": version, "m1": 1, "m2": 1}, Incarnation: 1, Software: "llm/1",
	}}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, engines := range []int{36, 300, 2880} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			state := largeState(engines)
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				state.Apply(engineRecord(n%engines, n+2, uint64(engines+n+10)), time.Time{})
				state.Snapshot()
			}
		})
	}
}
